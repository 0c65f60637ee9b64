//! Contract of the command line: answers, messages and exit codes.

mod common;

use common::run;
use expect_test::expect;
use std::fs;

const COMMANDS: &[&str] = &[
    "apply",
    "bring-back",
    "check",
    "diff",
    "history",
    "show",
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
    let found = run(&["check", file.to_str().unwrap()]).await;
    assert_eq!((found.code, found.out.as_str()), (3, ""));
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
    .assert_eq(&found.err.replace(&name, "x.rules"));
    let found = run(&["check", "--json", file.to_str().unwrap()]).await;
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
    .assert_eq(&found.out.replace(&name, "x.rules"));
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
        let found = run(&["check", file.to_str().unwrap()]).await;
        assert_eq!(found.code, 3, "{name}");
        assert!(found.err.contains(message), "{name}: {}", found.err);
    }
    for missing in ["nowhere.rules", "."] {
        let found = run(&["check", missing]).await;
        assert_eq!(found.code, 3, "{missing}");
        assert!(found.err.contains("reading"), "{missing}: {}", found.err);
    }
}

#[tokio::test]
async fn help_shows_examples() {
    let top = run(&["--help"]).await;
    for command in COMMANDS {
        assert!(top.out.contains(command), "{command}");
        let found = run(&[command, "--help"]).await;
        let example = format!("cicadacrank {command}");
        assert_eq!(found.code, 0);
        assert!(found.out.matches(&example).count() >= 2, "{}", found.out);
    }
}

#[tokio::test]
async fn arguments_are_refused() {
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
        let found = run(arguments).await;
        assert_eq!(found.code, 2, "{arguments:?}");
        assert!(found.err.contains(message), "{arguments:?}: {}", found.err);
    }
}

#[tokio::test]
async fn completion_knows_commands_and_flags() {
    for (arguments, expected) in [(&["ta"][..], "take-out"), (&["check", "--j"], "--json")] {
        let arguments = [&["--bpaf-complete-rev=7"], arguments].concat();
        let found = run(&arguments).await;
        assert!(found.out.contains(expected), "{arguments:?}: {}", found.out);
    }
}
