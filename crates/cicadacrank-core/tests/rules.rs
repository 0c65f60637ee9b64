//! Contract of the rule file: what is read, what is refused, and where.

use cicadacrank_core::rules::{
    self, Book, Faults, Service, Window,
    edit::{self, Error, Request, Target},
};
use expect_test::{Expect, expect};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

const BERGVIK: &str = include_str!("../../../samples/bergvik.rules");
const TIHA_NOSHT: &str = include_str!("../../../samples/tiha-nosht.rules");

/// The smallest file with a pipeline that runs.
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

/// Replaces a line of the small file, counted from one.
fn with_line(number: usize, line: &str) -> String {
    let mut all: Vec<_> = SMALL.lines().collect();
    all[number - 1] = line;
    all.join("\n")
}

#[test]
fn parse_reads_samples() {
    for (text, endpoints, stages) in [(BERGVIK, 31, 9), (TIHA_NOSHT, 39, 10)] {
        let book = rules::parse(text).unwrap_or_else(|found| panic!("{}", lines(&found)));
        assert_eq!((book.teams.len(), book.endpoints.len()), (5, endpoints));
        let count: usize = book.pipelines.iter().map(|one| one.stages.len()).sum();
        assert_eq!(count, stages);
        let copy = rules::print(&book, "Ada", "copy");
        assert_eq!(rules::parse(&copy).unwrap(), book);
    }
}

#[test]
fn parse_resolves_every_word() {
    let book = rules::parse(SMALL).unwrap();
    let pool = &book[book.pool("llm").unwrap()];
    assert_eq!(pool.service, Service::Generate);
    assert_eq!((pool.busy_price_milli, pool.idle_price_milli), (400, 250));
    let endpoint = &book[book.endpoint("e1").unwrap()];
    assert_eq!((endpoint.cold_slots, endpoint.warm_slots), (1, 8));
    assert_eq!(endpoint.warmup_ms, 20_000);
    let pipeline = &book[book.pipeline("p").unwrap()];
    assert_eq!(pipeline.deadline_ms, 4000);
    assert_eq!(pipeline.body_limit_bytes, 65_536);
    assert!(!pipeline.is_repeatable());
    let window = book.grants[0].window;
    assert_eq!((window.from_minute, window.until_minute), (420, 1110));
    assert_eq!(book.reservations[0].slots, 2);
}

#[test]
fn parse_reads_lines_in_any_order() {
    let mut all: Vec<_> = SMALL.lines().collect();
    let stages = all.split_off(8);
    let (stages, links) = stages.split_at(3);
    all.reverse();
    let text = [links, stages, &all].concat().join("\r\n");
    assert_eq!(rules::parse(&text).unwrap(), rules::parse(SMALL).unwrap());
}

#[test]
fn parse_refuses_faulty_line() {
    let cases: [(usize, &str, Expect); 38] = [
        (
            2,
            "owner o",
            expect![[r#"
            2:8: the rule does not say who asked for it [end the line like: # Ada Berg: council decision 12]
        "#]],
        ),
        (
            2,
            "owner o # : pays",
            expect![[r#"
            2:9: the comment names nobody [put the person's name before the colon: # Ada Berg: reason]
        "#]],
        ),
        (
            2,
            "owner o # Ada Berg",
            expect![[r#"
            2:9: the comment gives no reason [put the reason after a colon: # Ada Berg: reason]
        "#]],
        ),
        (
            2,
            "owner o # Ada Berg:",
            expect![[r#"
            2:9: the comment gives no reason [put the reason after a colon: # Ada Berg: reason]
        "#]],
        ),
        (
            2,
            "ownr o # Ada Berg: pays",
            expect![[r#"
            2:1: unknown word `ownr` [did you mean `owner`?]
        "#]],
        ),
        (
            2,
            "zebra o # Ada Berg: pays",
            expect![[r#"
            2:1: unknown word `zebra` [rules start with data-centre, owner, pool, endpoint, team, pipeline, stage, allow, reserve, take-out]
        "#]],
        ),
        (
            2,
            "owner # Ada Berg: pays",
            expect![[r#"
            2:1: `owner` lacks its name [write owner NAME]
            5:28: no owner is named `o` [define it in a line that starts with: owner]
            6:29: no owner is named `o` [define it in a line that starts with: owner]
            7:14: no owner is named `o` [define it in a line that starts with: owner]
            14:24: no owner is named `o` [define it in a line that starts with: owner]
        "#]],
        ),
        (
            2,
            "owner O! # Ada Berg: pays",
            expect![[r#"
            2:7: `O!` is not a name [write a name of up to 64 lower case letters, digits, dots, dashes and underscores that starts with a letter or digit]
            5:28: no owner is named `o` [define it in a line that starts with: owner]
            6:29: no owner is named `o` [define it in a line that starts with: owner]
            7:14: no owner is named `o` [define it in a line that starts with: owner]
            14:24: no owner is named `o` [define it in a line that starts with: owner]
        "#]],
        ),
        (
            2,
            "owner o p # Ada Berg: pays",
            expect![[r#"
            2:9: `p` does not belong here [write owner NAME]
        "#]],
        ),
        (
            2,
            "owner o a=b # Ada Berg: pays",
            expect![[r#"
            2:9: `owner` has no key `a` [`owner` takes no keys]
        "#]],
        ),
        (
            2,
            "owner o # Ada \u{7}Berg: pays",
            expect![[r#"
            2:15: the character U+0007 is not allowed [remove it: rules are plain text that reads as it is shown]
        "#]],
        ),
        (
            2,
            "owner o # Ada \u{202e}Berg: pays",
            expect![[r#"
            2:15: the character U+202E is not allowed [remove it: rules are plain text that reads as it is shown]
        "#]],
        ),
        (
            1,
            "data-centre a # Ada Berg: r",
            expect![[r#"
            1:1: `data-centre` lacks `region` [add region= with a name of up to 64 lower case letters, digits, dots, dashes and underscores that starts with a letter or digit]
        "#]],
        ),
        (
            3,
            "pool llm service=generate busy=0.4eur/slot-hour idle=0.25eur/slot-hour # A: r",
            expect![[r#"
                3:1: a generate pool needs a model [add model= with the model's name at the engine]
            "#]],
        ),
        (
            3,
            "pool llm service=generate model=m busy=0.4 idle=0.2512eur/slot-hour # A: r",
            expect![[r#"
                3:40: `busy=0.4` has no unit [write a price with up to three decimals, like 0.400eur/slot-hour]
                3:49: `idle=0.2512eur/slot-hour` is out of range [write a price with up to three decimals, like 0.400eur/slot-hour]
            "#]],
        ),
        (
            3,
            "pool llm service=generat model=m busy=.4eur/slot-hour idle=1usd/slot-hour # A: r",
            expect![[r#"
                3:18: `service=generat` is malformed [write encode, retrieve, rerank, generate or plain]
                3:39: `busy=.4eur/slot-hour` is malformed [write a price with up to three decimals, like 0.400eur/slot-hour]
                3:60: `idle=1usd/slot-hour` has the wrong unit [write a price with up to three decimals, like 0.400eur/slot-hour]
            "#]],
        ),
        (
            4,
            "pool desk service=plain model=m busy=1eur/slot-hour idle=0eur/slot-hour # A: r",
            expect![[r#"
                4:31: a plain pool has no model [remove the key]
            "#]],
        ),
        (
            5,
            "endpoint e1 pool=llm owner=o data-centre=a cold=9req warm=8req warmup=20s # A: r",
            expect![[r#"
                5:59: the endpoint bears 8 requests warm and 9 cold [state at least as many requests for warm as for cold]
            "#]],
        ),
        (
            5,
            "endpoint e1 pool=llm owner=o data-centre=a cold=0req warm=8 warmup=20req # A: r",
            expect![[r#"
                5:49: `cold=0req` is out of range [write a number of requests of at least one, like 8req]
                5:59: `warm=8` has no unit [write a number of requests of at least one, like 8req]
                5:68: `warmup=20req` has the wrong unit [write a duration, like 500ms, 20s, 2min or 1h]
            "#]],
        ),
        (
            5,
            "endpoint e1 pool=llm owner=o data-centre=a cold=1req warm=4294967296req warmup=99999999999999999999s # A: r",
            expect![[r#"
                5:59: `warm=4294967296req` is too large a number [write a number of requests of at least one, like 8req]
                5:80: `warmup=99999999999999999999s` is too large a number [write a duration, like 500ms, 20s, 2min or 1h]
            "#]],
        ),
        (
            5,
            "endpoint e1 pool=llm pool=llm ownr=o data-centre=a cold=1req warm=8req warmup=1s # A: r",
            expect![[r#"
                5:22: the key `pool` stands twice [keep one of the two]
                5:31: `endpoint` has no key `ownr` [did you mean `owner`?]
            "#]],
        ),
        (
            5,
            "endpoint e2 pool=llm owner=o data-centre=a cold=1req warm=8req warmup=1s # A: r",
            expect![[r#"
                6:10: endpoint `e2` stands twice, first in line 5 [remove one of the two]
            "#]],
        ),
        (
            5,
            "endpoint e1 pool=lln owner=x data-centre=a cold=1req warm=8req warmup=1s # A: r",
            expect![[r#"
                5:18: no pool is named `lln` [did you mean `llm`?]
                5:28: no owner is named `x` [define it in a line that starts with: owner]
            "#]],
        ),
        (
            5,
            "",
            expect![[r#"
            8:10: no one can run this pipeline: pool `llm` has no endpoint [add an endpoint to the pool, or remove the pipeline]
        "#]],
        ),
        (
            8,
            "pipeline p deadline=0s body=64KB # A: r",
            expect![[r#"
            8:21: `deadline=0s` is out of range [write a duration above zero, like 500ms, 4s, 20min or 1h]
            8:29: `body=64KB` has the wrong unit [write a size above zero, like 512B, 64KiB or 1MiB]
        "#]],
        ),
        (
            9,
            "",
            expect![[r#"
            8:10: the pipeline has 2 stages [state three to six stages for each pipeline]
        "#]],
        ),
        (
            9,
            "stage p one pool=desk share=25% repeat=maybe output=64KiB path=look # A: r",
            expect![[r#"
                9:40: `repeat=maybe` is malformed [write yes or no]
                9:64: `path=look` is malformed [write a path like /orders, of letters, digits and any of / - . _ ~]
            "#]],
        ),
        (
            9,
            "stage p one pool=desk share=0% repeat=yes output=64KiB # A: r",
            expect![[r#"
                9:1: a stage in a plain pool needs a path [add path= with the path of the call, like path=/orders]
                9:29: `share=0%` is out of range [write a share from 1% to 100%]
            "#]],
        ),
        (
            9,
            "stage p two pool=desk share=101% repeat=yes output=64KiB path=/x # A: r",
            expect![[r#"
                9:29: `share=101%` is out of range [write a share from 1% to 100%]
                10:9: stage `two` of pipeline `p` stands twice, first in line 9 [remove one of the two]
            "#]],
        ),
        (
            9,
            "stage q one pool=desk share=25% repeat=yes output=64KiB path=/x # A: r",
            expect![[r#"
                8:10: the pipeline has 2 stages [state three to six stages for each pipeline]
                9:7: no pipeline is named `q` [define it in a line that starts with: pipeline]
            "#]],
        ),
        (
            11,
            "stage p three pool=llm share=51% repeat=yes output=1MiB path=/x # A: r",
            expect![[r#"
                11:62: a stage in a generate pool takes no path [remove the key]
            "#]],
        ),
        (
            11,
            "stage p three pool=llm share=51% repeat=yes output=1MiB # A: r",
            expect![[r#"
                8:10: the stages share out 101% of the deadline [lower the shares until they add up to at most 100%]
            "#]],
        ),
        (
            12,
            "allow team=t pool=desk at=7:00-18:30 # A: r",
            expect![[r#"
                12:27: `at=7:00-18:30` is malformed [write a window of the day in UTC, like 07:00-18:30 or 22:00-06:00]
            "#]],
        ),
        (
            12,
            "allow team=t pool=desk at=07:00-07:00 # A: r",
            expect![[r#"
                12:27: `at=07:00-07:00` is out of range [write a window of the day in UTC, like 07:00-18:30 or 22:00-06:00]
            "#]],
        ),
        (
            12,
            "allow team=t pool=llm # A: r",
            expect![[r#"
            8:10: no one can run this pipeline: no team may use all of its pools at one time [add an allow line for each pool to one team, with windows that overlap]
            13:1: this grant stands twice, first in line 12 [remove one of the two]
        "#]],
        ),
        (
            14,
            "reserve pool=llm owner=o slots=9req # A: r",
            expect![[r#"
                3:6: 9 slots of each endpoint are reserved, but `e1` bears 8 [reserve fewer slots]
            "#]],
        ),
        (
            14,
            "take-out data-centre=a endpoint=e1 # A: r",
            expect![[r#"
                14:33: a take-out names one data centre or one endpoint [write take-out data-centre=NAME or take-out endpoint=NAME]
            "#]],
        ),
        (
            14,
            "take-out data-centre=b # A: r",
            expect![[r#"
            14:22: no data-centre is named `b` [define it in a line that starts with: data-centre]
        "#]],
        ),
    ];
    for (number, line, expected) in cases {
        expected.assert_eq(&faults(&with_line(number, line)));
    }
}

#[test]
fn parse_refuses_whole_file() {
    let long = "# x\n".repeat(rules::TEXT_LIMIT_BYTES / 4 + 1);
    for (bytes, expected) in [
        (
            &b""[..],
            expect![[r#"
            1:1: the file has no rules [write one rule a line, like: owner booking # Ada Berg: pays for it]
        "#]],
        ),
        (
            b"\n# only a comment\n",
            expect![[r#"
            1:1: the file has no rules [write one rule a line, like: owner booking # Ada Berg: pays for it]
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
            1:1: the character U+0000 is not allowed [remove it: rules are plain text that reads as it is shown]
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
fn parse_refuses_windows_that_never_meet() {
    let text = SMALL.replace("pool=llm # Ada", "pool=llm at=18:30-07:00 # Ada");
    expect![[r#"
        8:10: no one can run this pipeline: no team may use all of its pools at one time [add an allow line for each pool to one team, with windows that overlap]
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
        2:9: `extra` does not belong here [write owner NAME]
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
fn guide_covers_every_word() {
    let guide = include_str!("../../../docs/guide/rules.md");
    for word in rules::Word::ALL {
        let (_, section) = guide.split_once(&format!("\n### {word}\n")).unwrap();
        let section = section.split("\n#").next().unwrap();
        for key in word.keys() {
            let told =
                section.contains(&format!("{key}=")) || section.contains(&format!("`{key}`"));
            assert!(told, "{word}: {key}");
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
        let book = rules::parse(&out).unwrap();
        assert!(book.is_taken_out(book.endpoint("e2").unwrap()));
        let again = edit::take_out(&out, &target, &request);
        assert!(matches!(again, Err(Error::TakenOut(_))));
        assert_eq!(edit::bring_back(&out, &target).unwrap(), SMALL);
        let idle = edit::bring_back(SMALL, &target);
        assert!(matches!(idle, Err(Error::InService(_))));
    }
    let unended = SMALL.trim_end();
    let out = edit::take_out(unended, &Target::Endpoint("e1".into()), &request).unwrap();
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
        assert!(matches!(refused, Err(Error::Request)), "{who:?} {why:?}");
    }
    let broken = edit::bring_back("owner", &unknown);
    assert!(matches!(broken, Err(Error::Faults(_))));
}

/// Draws the same cases on every run.
fn config() -> Config {
    Config {
        cases: 256,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(42),
        ..Config::default()
    }
}

/// Lines like those of a valid file, with pieces swapped or cut.
fn near_valid() -> impl Strategy<Value = String> {
    let pieces: Vec<&str> = BERGVIK.split_inclusive([' ', '\n', '=']).collect();
    prop::collection::vec(prop::sample::select(pieces), 0..60).prop_map(|all| all.concat())
}

/// A valid book, drawn from the sample: numbers, windows and take-outs vary.
fn book() -> impl Strategy<Value = Book> {
    let requests = (0..31usize, 1u32..1000, 0u32..1000, any::<bool>());
    let amounts = (any::<u64>(), 0u16..1439, 1u64..);
    (requests, amounts).prop_map(|(requests, (price, from_minute, size))| {
        let (index, cold, more, taken_out) = requests;
        let mut book = rules::parse(BERGVIK).unwrap();
        book.endpoints[index].cold_slots = cold;
        book.endpoints[index].warm_slots = cold + more + 100;
        book.endpoints[index].taken_out = taken_out;
        book.data_centres[index % 4].taken_out = !taken_out;
        book.pools[index % 5].busy_price_milli = price;
        book.pipelines[0].body_limit_bytes = size;
        book.grants[3].window = Window {
            from_minute,
            until_minute: from_minute + 1,
        };
        book
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
                prop_assert!(!faults[..index].contains(fault), "twice: {:?}", fault);
            }
        }
    }

    #[test]
    fn print_parses_back(book in book()) {
        let text = rules::print(&book, "Ada Berg", "copy");
        prop_assert_eq!(rules::parse(&text).map_err(|found| lines(&found)), Ok(book));
    }
}
