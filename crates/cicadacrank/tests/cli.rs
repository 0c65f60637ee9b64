//! Tests of the command line: output, error messages and exit codes.

mod common;

use common::run;
use expect_test::expect;
use std::fs;

const COMMANDS: &[&str] = &[
    "apply",
    "bring-back",
    "check",
    "cost",
    "diff",
    "explain",
    "history",
    "send",
    "show",
    "status",
    "take-out",
];

#[tokio::test]
async fn check_prints_table() {
    let run = run(&["check", "bergvik.rules", "tiha-nosht.rules"]).await;
    assert_eq!((run.code, run.err.as_str()), (0, ""));
    expect![[r#"
        FILE              DATA CENTRES  POOLS  ENDPOINTS  PIPELINES  TEAMS  TAKEN OUT
        bergvik.rules     4             5      31         3          5      0
        tiha-nosht.rules  3             5      39         3          5      0
    "#]]
    .assert_eq(&run.out);
}

#[tokio::test]
async fn check_reports_all_faults() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("x.rules");
    fs::write(&file, "owner tehus\npol samovar-llm # Ada Berg: r\n").unwrap();
    let result = run(&["check", file.to_str().unwrap()]).await;
    assert_eq!((result.code, result.out.as_str()), (3, ""));
    let name = file.display().to_string();
    expect![[r#"
        rules

          x 2 faults in x.rules

        Error: 
          x the rule does not say who asked for it
           ,-[x.rules:1:12]
         1 | owner tehus
           :            ^
         2 | pol samovar-llm # Ada Berg: r
           `----
          help: end the line like: # Ada Berg: council decision 12

        Error: 
          x unknown word `pol`
           ,-[x.rules:2:1]
         1 | owner tehus
         2 | pol samovar-llm # Ada Berg: r
           : ^^^
           `----
          help: did you mean `pool`?
    "#]]
    .assert_eq(&result.err.replace(&name, "x.rules"));
    let result = run(&["check", "--json", file.to_str().unwrap()]).await;
    expect![[r#"
        {
          "error": {
            "effect": "not-run",
            "faults": [
              {
                "column": 12,
                "file": "x.rules",
                "help": "end the line like: # Ada Berg: council decision 12",
                "line": 1,
                "message": "the rule does not say who asked for it"
              },
              {
                "column": 1,
                "file": "x.rules",
                "help": "did you mean `pool`?",
                "line": 2,
                "message": "unknown word `pol`"
              }
            ],
            "kind": "rules",
            "message": "2 faults in x.rules"
          }
        }
    "#]]
    .assert_eq(&result.out.replace(&name, "x.rules"));
}

#[tokio::test]
async fn check_refuses_file() {
    let folder = tempfile::tempdir().unwrap();
    let long = vec![b'#'; (1 << 20) + 1];
    let cases: [(&str, &[u8], &str); 4] = [
        ("empty", b"", "the file has no rules"),
        ("binary", b"\x7fELF\0\0", "is not allowed"),
        ("latin", b"owner o # Bj\xf8rn: r\n", "not valid UTF-8"),
        ("long", &long, "more than 1048576"),
    ];
    for (name, bytes, message) in cases {
        let file = folder.path().join(name);
        fs::write(&file, bytes).unwrap();
        let result = run(&["check", file.to_str().unwrap()]).await;
        assert_eq!(result.code, 3, "{name}");
        assert!(result.err.contains(message), "{name}: {}", result.err);
    }
    for missing in ["nowhere.rules", "."] {
        let result = run(&["check", missing]).await;
        assert_eq!(result.code, 3, "{missing}");
        assert!(result.err.contains("reading"), "{missing}: {}", result.err);
    }
}

#[tokio::test]
async fn explain_shows_stages_and_endpoints() {
    let base = "explain --rules bergvik.rules --pipeline book-room --team";
    let explain = async |extra: &str| {
        let arguments = format!("{base} {extra}");
        run(&arguments.split(' ').collect::<Vec<_>>()).await
    };
    let result = explain("council --at 12:00").await;
    assert_eq!((result.code, result.err.as_str()), (0, ""));
    expect![[r#"
        team council may use pipeline book-room at 12:00 UTC; it has 4000 ms and needs an idempotency key

        STAGE         POOL             BUDGET   REPEAT  RIGHT        CANDIDATES
        availability  resident-portal  600 ms   yes     07:00-18:30  5 of 5
        booking       booking-desk     1000 ms  no      07:00-18:30  4 of 4
        confirmation  samovar-llm      2400 ms  yes     07:00-18:30  12 of 12

        stage availability
        ENDPOINT            DATA CENTRE  OWNER      WARM  KEPT FOR OTHERS  STATE
        resident-portal-01  vest-a       kulturhus  32    0                in service
        resident-portal-02  vest-b       tehus      32    0                in service
        resident-portal-03  vest-c       kulturhus  32    0                in service
        resident-portal-04  vest-d       tehus      32    0                in service
        resident-portal-05  vest-a       kulturhus  32    0                in service

        stage booking
        ENDPOINT         DATA CENTRE  OWNER  WARM  KEPT FOR OTHERS  STATE
        booking-desk-01  vest-a       torg   16    4                in service
        booking-desk-02  vest-b       torg   16    4                in service
        booking-desk-03  vest-c       torg   16    4                in service
        booking-desk-04  vest-d       torg   16    4                in service

        stage confirmation
        ENDPOINT        DATA CENTRE  OWNER      WARM  KEPT FOR OTHERS  STATE
        samovar-llm-01  vest-a       tehus      8     4                in service
        samovar-llm-02  vest-b       torg       8     4                in service
        samovar-llm-03  vest-c       kulturhus  8     4                in service
        samovar-llm-04  vest-d       tehus      8     4                in service
        samovar-llm-05  vest-a       torg       8     4                in service
        samovar-llm-06  vest-b       kulturhus  8     4                in service
        samovar-llm-07  vest-c       tehus      8     4                in service
        samovar-llm-08  vest-d       torg       8     4                in service
        samovar-llm-09  vest-a       kulturhus  8     4                in service
        samovar-llm-10  vest-b       tehus      8     4                in service
        samovar-llm-11  vest-c       torg       8     4                in service
        samovar-llm-12  vest-d       kulturhus  8     4                in service
    "#]].assert_eq(&result.out);
    for (extra, allowed) in [
        ("council --at 19:00", false),
        ("counter --at 03:00", true),
        ("hosts --at 12:00", false),
    ] {
        let result = explain(&format!("{extra} --json")).await;
        let answer: serde_json::Value = serde_json::from_str(&result.out).unwrap();
        assert_eq!(answer["allowed"], allowed, "{extra}");
    }
    for (extra, code) in [("nobody", 4), ("council --at 24:00", 2)] {
        assert_eq!(explain(extra).await.code, code, "{extra}");
    }
}

#[tokio::test]
async fn help_shows_examples() {
    let top = run(&["--help"]).await;
    for command in COMMANDS {
        assert!(top.out.contains(command), "{command}");
        let result = run(&[command, "--help"]).await;
        let example = format!("cicadacrank {command}");
        assert_eq!(result.code, 0);
        assert!(result.out.matches(&example).count() >= 2, "{}", result.out);
    }
}

#[tokio::test]
async fn guide_covers_every_option() {
    let guide = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/guide");
    let shared = fs::read_to_string(format!("{guide}/README.md")).unwrap();
    for command in COMMANDS {
        let page = fs::read_to_string(format!("{guide}/{command}.md")).unwrap();
        assert!(shared.contains(&format!("({command}.md)")), "{command}");
        let help = run(&[command, "--help"]).await.out;
        // An option is the first word of an indented line.
        let lines = help.lines().filter(|line| line.starts_with(' '));
        let lines = lines.filter_map(|line| line.trim().split(['=', ' ']).next());
        for option in lines.filter(|word| word.starts_with("--")) {
            let documented =
                page.contains(&format!("`{option}")) || shared.contains(&format!("`{option}"));
            assert!(documented, "{command}.md does not document {option}");
        }
    }
}

#[tokio::test]
async fn invalid_arguments_are_rejected() {
    for (arguments, message) in [
        (&["chek"][..], "did you mean `check`?"),
        (&["check"], "name at least one rule file"),
        (
            &["show", "--platform", "platform:80"],
            "invalid socket address",
        ),
        (&["show"], "--platform"),
        (
            &[
                "take-out",
                "--platform",
                "127.0.0.1:1",
                "--who",
                "A",
                "--why",
                "r",
            ],
            "--data-centre",
        ),
    ] {
        let result = run(arguments).await;
        assert_eq!(result.code, 2, "{arguments:?}");
        assert!(
            result.err.contains(message),
            "{arguments:?}: {}",
            result.err
        );
    }
}

#[tokio::test]
async fn completion_knows_commands_and_flags() {
    for (arguments, expected) in [(&["ta"][..], "take-out"), (&["check", "--j"], "--json")] {
        let arguments = [&["--bpaf-complete-rev=7"], arguments].concat();
        let result = run(&arguments).await;
        assert!(
            result.out.contains(expected),
            "{arguments:?}: {}",
            result.out
        );
    }
}
