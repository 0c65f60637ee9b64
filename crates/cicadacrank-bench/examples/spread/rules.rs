//! Generates rule files of a given size.

use std::fmt::Write as _;

/// Returns a rule file with this number of endpoints and teams, in which each
/// team may use three of the pools. `version` changes one line.
pub fn text(endpoints: usize, teams: usize, version: u64) -> String {
    let mut text = String::new();
    let note = "# Desislava Ilieva: measured fleet";
    for index in 0..8 {
        write_line(
            &mut text,
            format_args!("data-centre dc-{index} region=r-{} {note}", index % 2),
        );
    }
    write_line(&mut text, format_args!("owner owner {note} {version}"));
    let price = "busy=0.220eur/slot-hour idle=0.140eur/slot-hour";
    for pool in 0..27 {
        write_line(
            &mut text,
            format_args!("pool pool-{pool} service=plain {price} {note}"),
        );
    }
    for index in 0..endpoints {
        write_line(
            &mut text,
            format_args!(
                "endpoint endpoint-{index} pool=pool-{} owner=owner data-centre=dc-{} cold=1req warm=6req warmup=30s {note}",
                index % 27,
                index % 8
            ),
        );
    }
    for index in 0..teams {
        write_line(
            &mut text,
            format_args!(
                "team team-{index} owner=owner weight={} {note}",
                1 + index % 4
            ),
        );
    }
    for index in 0..27 {
        write_line(
            &mut text,
            format_args!("pipeline pipeline-{index} deadline=4s body=64KiB {note}"),
        );
        for (stage, share) in [("first", 30), ("second", 30), ("third", 40)] {
            write_line(
                &mut text,
                format_args!(
                    "stage pipeline-{index} {stage} pool=pool-{index} share={share}% repeat=yes output=64KiB path=/run {note}"
                ),
            );
        }
    }
    for index in 0..teams {
        for pool in 0..3 {
            write_line(
                &mut text,
                format_args!(
                    "allow team=team-{index} pool=pool-{} {note}",
                    (index + pool) % 27
                ),
            );
        }
    }
    text
}

fn write_line(text: &mut String, line: std::fmt::Arguments<'_>) {
    // Writing to a string cannot fail.
    let _ = writeln!(text, "{line}");
}
