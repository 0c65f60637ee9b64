//! Checks that the reference pages in the docs match the lists in the code.
//!
//! After a change to a list, regenerate the pages with `UPDATE_EXPECT=1`.

use cicadacrank_core::{
    error::{Effect, Kind, Retry},
    event::Event,
};
use expect_test::expect_file;
use std::fmt::Write as _;

const fn retry(kind: Kind) -> &'static str {
    match kind.retry() {
        Retry::Never => "never",
        Retry::Elsewhere => "at another endpoint",
        Retry::Later => "later, by the caller",
    }
}

#[test]
fn errors_page_matches_table() {
    let mut page = String::from(
        "# Errors\n\n\
         Each refusal and failure has one kind of this closed list and one effect.\n\n\
         | effect | meaning |\n|---|---|\n\
         | `not-run` | No byte of the request reached any endpoint. |\n\
         | `partial` | Some stage ran; work that may not be repeated did not run, or its end is known. |\n\
         | `unknown` | An endpoint may or may not have run the work. |\n\n\
         | kind | HTTP | gRPC | exit | another attempt | meaning |\n|---|---|---|---|---|---|\n",
    );
    for kind in Kind::ALL {
        let row = kind.row();
        let retry = retry(*kind);
        writeln!(
            page,
            "| `{kind}` | {} | {} | {} | {retry} | {} |",
            row.http, row.grpc, row.exit, row.text
        )
        .expect("write to a string");
    }
    expect_file!["../../../docs/reference/errors.md"].assert_eq(&page);
}

#[test]
fn events_page_matches_list() {
    let mut page = String::from(
        "# Log events\n\n\
         Each line of the log is one of these events. A number never changes its\n\
         meaning.\n\n\
         | number | event | level | meaning |\n|---|---|---|---|\n",
    );
    for event in Event::ALL {
        let level = event.level().as_str().to_lowercase();
        writeln!(
            page,
            "| {} | `{event:?}` | {level} | {} |",
            event.number(),
            event.text()
        )
        .expect("write to a string");
    }
    expect_file!["../../../docs/reference/events.md"].assert_eq(&page);
}

#[test]
fn event_numbers_rise() {
    assert!(Event::ALL.is_sorted_by(|one, next| one.number() < next.number()));
}

#[test]
fn names_are_read_back() {
    for kind in Kind::ALL {
        assert_eq!(Kind::from_name(kind.as_str()), Some(*kind));
    }
    for effect in Effect::ALL {
        assert_eq!(Effect::from_name(effect.as_str()), Some(effect));
    }
}
