//! Parsing, printing and editing of rule files, with the faults and their
//! positions.

use cicadacrank_core::rules::{
    self, Definitions, Faults, Service, Window,
    edit::{self, Error, Request, Target},
};
use expect_test::{expect, expect_file};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

const BERGVIK: &str = include_str!("../../../samples/bergvik.rules");
const TIHA_NOSHT: &str = include_str!("../../../samples/tiha-nosht.rules");

/// A minimal file whose pipeline can run.
const SMALL: &str = "\
data-centre a region=west # Ada Berg: site
owner o # Ada Berg: pays
pool llm service=generate model=m busy=0.400eur/slot-hour idle=0.25eur/slot-hour # Ada Berg: r
pool desk service=plain busy=1eur/slot-hour idle=0eur/slot-hour # Ada Berg: r
endpoint e1 pool=llm owner=o data-centre=a cold=1req warm=8req warmup=20s # Ada Berg: r
endpoint e2 pool=desk owner=o data-centre=a cold=2req warm=2req warmup=0s # Ada Berg: r
team t owner=o weight=3 limit=8req # Ada Berg: r
pipeline p deadline=4s body=64KiB # Ada Berg: r
stage p one pool=desk share=25% repeat=yes output=64KiB path=/look # Ada Berg: r
stage p two pool=desk share=25% repeat=no output=64KiB path=/orders # Ada Berg: r
stage p three pool=llm share=50% repeat=yes output=1MiB # Ada Berg: r
allow team=t pool=desk at=07:00-18:30 # Ada Berg: r
allow team=t pool=llm # Ada Berg: r
reserve pool=llm owner=o slots=2req # Ada Berg: r
";

fn lines(faults: &Faults) -> String {
    let one = |fault: &rules::Fault| {
        let (message, help) = (fault.message(), fault.help());
        format!("{}:{}: {message} [{help}]\n", fault.line, fault.column)
    };
    faults.as_slice().iter().map(one).collect()
}

fn faults(text: &str) -> String {
    rules::parse(text).map_or_else(|faults| lines(&faults), |_| "none\n".to_owned())
}

/// Returns the small file with one line, counted from one, replaced.
fn with_line(number: usize, line: &str) -> String {
    let mut all: Vec<_> = SMALL.lines().collect();
    all[number - 1] = line;
    all.join("\n")
}

#[test]
fn parse_reads_samples() {
    for (text, endpoints, stages) in [(BERGVIK, 31, 9), (TIHA_NOSHT, 39, 10)] {
        let definitions = rules::parse(text).unwrap_or_else(|faults| panic!("{}", lines(&faults)));
        assert_eq!(
            (definitions.teams.len(), definitions.endpoints.len()),
            (5, endpoints)
        );
        let count: usize = definitions
            .pipelines
            .iter()
            .map(|one| one.stages.len())
            .sum();
        assert_eq!(count, stages);
        let copy = rules::print(&definitions, "Ada", "copy");
        assert_eq!(rules::parse(&copy).unwrap(), definitions);
    }
}

#[test]
fn parse_resolves_every_keyword() {
    let definitions = rules::parse(SMALL).unwrap();
    let pool = &definitions[definitions.pool("llm").unwrap()];
    assert_eq!(pool.service, Service::Generate);
    assert_eq!((pool.busy_price_milli, pool.idle_price_milli), (400, 250));
    let endpoint = &definitions[definitions.endpoint("e1").unwrap()];
    assert_eq!((endpoint.cold_slots, endpoint.warm_slots), (1, 8));
    assert_eq!(endpoint.warmup_ms, 20_000);
    let pipeline = &definitions[definitions.pipeline("p").unwrap()];
    assert_eq!(pipeline.deadline_ms, 4000);
    assert_eq!(pipeline.body_limit_bytes, 65_536);
    assert!(!pipeline.is_repeatable());
    let window = definitions.grants[0].window;
    assert_eq!((window.from_minute, window.until_minute), (420, 1110));
    assert_eq!(definitions.reservations[0].slots, 2);
}

#[test]
fn parse_reads_lines_in_any_order() {
    let mut all: Vec<_> = SMALL.lines().collect();
    let stages = all.split_off(8);
    let (stages, relations) = stages.split_at(3);
    all.reverse();
    let text = [relations, stages, &all].concat().join("\r\n");
    assert_eq!(rules::parse(&text).unwrap(), rules::parse(SMALL).unwrap());
}

/// Each case replaces one line of the small file.
#[test]
fn parse_refuses_faulty_line() {
    let cases = include_str!("samples/faulty-lines.txt").lines();
    let refused = cases.map(|case| {
        let (number, line) = case.split_once('|').unwrap();
        let faults = faults(&with_line(number.parse().unwrap(), line));
        format!("{number}| {}\n{faults}\n", line.escape_debug())
    });
    let refused: String = refused.collect();
    expect_file!["samples/faulty-lines.out"].assert_eq(&refused);
}

#[test]
fn parse_refuses_whole_file() {
    let long = "# x\n".repeat(rules::TEXT_LIMIT_BYTES / 4 + 1);
    for (bytes, expected) in [
        (
            &b""[..],
            expect![[r#"
                1:1: the file has no rules [write one rule per line, like: owner booking # Ada Berg: pays for it]
            "#]],
        ),
        (
            b"\n# only a comment\n",
            expect![[r#"
                1:1: the file has no rules [write one rule per line, like: owner booking # Ada Berg: pays for it]
            "#]],
        ),
        (
            long.as_bytes(),
            expect![[r#"
                1:1: the file has 1048580 bytes, more than 1048576 [remove rules that are no longer needed]
            "#]],
        ),
        (
            b"owner o # Ada: \xff\xfe\nowner o\n",
            expect![[r#"
            1:16: this is not valid UTF-8 [save the file as UTF-8 text]
            2:8: the rule does not say who asked for it [end the line like: # Ada Berg: council decision 12]
        "#]],
        ),
        (
            &[0; 3],
            expect![[r#"
                1:1: the character U+0000 is not allowed [remove it: rules must not contain control or invisible characters]
            "#]],
        ),
    ] {
        expected.assert_eq(&lines(&rules::parse_bytes(bytes).unwrap_err()));
    }
    let garbage = vec![0xff; rules::TEXT_LIMIT_BYTES];
    let refused = rules::parse_bytes(&garbage).unwrap_err();
    assert_eq!(refused.as_slice().len(), 1);
}

#[test]
fn parse_refuses_windows_that_never_overlap() {
    let text = SMALL.replace("pool=llm # Ada", "pool=llm at=18:30-07:00 # Ada");
    expect![[r#"
        8:10: this pipeline cannot run: no team may use all of its pools at the same time [add an allow line for each pool to one team, with windows that overlap]
    "#]].assert_eq(&faults(&text));
    let text = text.replace("at=18:30-07:00", "at=18:29-07:00");
    assert_eq!(faults(&text), "none\n");
}

#[test]
fn parse_reports_all_faults_once() {
    let text = SMALL
        .replace("owner o #", "owner o extra #")
        .replace("weight=3", "weight=0")
        .replace("pool=llm #", "pool=lm #");
    expect![[r#"
        2:9: unexpected `extra` [write owner NAME]
        7:23: `weight=0` is out of range [write a weight from 1 to 1000, like 3]
        13:19: no pool is named `lm` [did you mean `llm`?]
    "#]]
    .assert_eq(&faults(&text));
}

#[test]
fn faults_render_with_file_and_help() {
    let refused = rules::parse(&with_line(2, "ownr o # A: r")).unwrap_err();
    let mut text = String::new();
    let theme = miette::GraphicalTheme::unicode_nocolor();
    miette::GraphicalReportHandler::new_themed(theme)
        .render_report(&mut text, &refused.with_name("x.rules"))
        .unwrap();
    expect![[r#"
        rules

          × 1 fault in x.rules

        Error: 
          × unknown word `ownr`
           ╭─[x.rules:2:1]
         1 │ data-centre a region=west # Ada Berg: site
         2 │ ownr o # A: r
           · ────
         3 │ pool llm service=generate model=m busy=0.400eur/slot-hour idle=0.25eur/slot-hour # Ada Berg: r
           ╰────
          help: did you mean `owner`?
    "#]].assert_eq(&text);
}

#[test]
fn guide_covers_every_keyword() {
    let guide = include_str!("../../../docs/guide/rules.md");
    for keyword in rules::Keyword::ALL {
        let (_, section) = guide.split_once(&format!("\n### {keyword}\n")).unwrap();
        let section = section.split("\n#").next().unwrap();
        for key in keyword.keys() {
            let documented =
                section.contains(&format!("{key}=")) || section.contains(&format!("`{key}`"));
            assert!(documented, "{keyword} lacks documentation of {key}");
        }
    }
}

fn request(who: &str, why: &str) -> Request {
    Request {
        who: who.to_owned(),
        why: why.to_owned(),
    }
}

#[test]
fn edit_takes_out_and_brings_back() {
    let request = request("Ada Berg", "power work");
    for target in [
        Target::DataCentre("a".into()),
        Target::Endpoint("e2".into()),
    ] {
        let out = edit::take_out(SMALL, &target, &request).unwrap();
        let line = format!("take-out {target} # Ada Berg: power work\n");
        assert_eq!(out, format!("{SMALL}{line}"));
        let definitions = rules::parse(&out).unwrap();
        assert!(definitions.is_taken_out(definitions.endpoint("e2").unwrap()));
        let again = edit::take_out(&out, &target, &request);
        assert!(matches!(again, Err(Error::TakenOut(_))));
        assert_eq!(edit::bring_back(&out, &target).unwrap(), SMALL);
        let not_taken_out = edit::bring_back(SMALL, &target);
        assert!(matches!(not_taken_out, Err(Error::NotTakenOut(_))));
    }
    let without_newline = SMALL.trim_end();
    let out = edit::take_out(without_newline, &Target::Endpoint("e1".into()), &request).unwrap();
    assert!(rules::parse(&out).is_ok());
}

#[test]
fn edit_refuses_bad_request() {
    let unknown = Target::Endpoint("e3".into());
    let refused = edit::take_out(SMALL, &unknown, &request("Ada", "x")).unwrap_err();
    expect!["the rules have no endpoint=e3; did you mean `e1`?"].assert_eq(&refused.to_string());
    let known = Target::DataCentre("a".into());
    for (who, why) in [
        ("", "x"),
        ("Ada", " "),
        ("A: b", "x"),
        ("Ada", "x\nowner z # A: r"),
    ] {
        let refused = edit::take_out(SMALL, &known, &request(who, why));
        assert!(
            matches!(refused, Err(Error::InvalidRequest)),
            "{who:?} {why:?}"
        );
    }
    let broken = edit::bring_back("owner", &unknown);
    assert!(matches!(broken, Err(Error::Faults(_))));
}

/// A fixed seed, so that every run generates the same cases.
fn config() -> Config {
    Config {
        cases: 256,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(42),
        ..Config::default()
    }
}

/// Text that is nearly valid: fragments of a sample in random order.
fn near_valid() -> impl Strategy<Value = String> {
    let pieces: Vec<&str> = BERGVIK.split_inclusive([' ', '\n', '=']).collect();
    prop::collection::vec(prop::sample::select(pieces), 0..60).prop_map(|all| all.concat())
}

/// Valid definitions: a sample with random numbers, windows and take-outs.
fn definitions() -> impl Strategy<Value = Definitions> {
    let requests = (0..31usize, 1u32..1000, 0u32..1000, any::<bool>());
    let amounts = (any::<u64>(), 0u16..1439, 1u64..);
    (requests, amounts).prop_map(|(requests, (price, from_minute, size))| {
        let (index, cold, more, taken_out) = requests;
        let mut definitions = rules::parse(BERGVIK).unwrap();
        definitions.endpoints[index].cold_slots = cold;
        definitions.endpoints[index].warm_slots = cold + more + 100;
        definitions.endpoints[index].taken_out = taken_out;
        definitions.data_centres[index % 4].taken_out = !taken_out;
        definitions.pools[index % 5].busy_price_milli = price;
        definitions.pipelines[0].body_limit_bytes = size;
        definitions.grants[3].window = Window {
            from_minute,
            until_minute: from_minute + 1,
        };
        definitions
    })
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn parse_never_panics(
        bytes in prop::collection::vec(any::<u8>(), 0..200),
        text in any::<String>(),
        near in near_valid(),
    ) {
        let results = [rules::parse_bytes(&bytes), rules::parse(&text), rules::parse(&near)];
        for faults in results.into_iter().filter_map(Result::err) {
            let faults = faults.as_slice();
            prop_assert!(faults.is_sorted_by_key(|fault| fault.offset));
            for (index, fault) in faults.iter().enumerate() {
                prop_assert!(!faults[..index].contains(fault), "fault reported twice: {:?}", fault);
            }
        }
    }

    #[test]
    fn print_parses_back(definitions in definitions()) {
        let text = rules::print(&definitions, "Ada Berg", "copy");
        prop_assert_eq!(rules::parse(&text).map_err(|faults| lines(&faults)), Ok(definitions));
    }
}
