//! Tests that the client reports the true outcome of changes and shows the state
//! stored in the platform.

mod common;

use cicadacrank_bench::{
    fleet::wait_for,
    platform::{Faults, Server},
};
use cicadacrank_core::{
    accounting::{Account, Key, Line},
    generation::{Change, ChangeId, Object},
    rules::edit::Request,
};
use cicadacrank_node::{configuration::RULESET_NAME, platform::Collection};
use common::{Run, run};
use expect_test::expect;
use serde_json::Value;
use std::path::PathBuf;
use tempfile::TempDir;

const RULES: &str = include_str!("../../../samples/bergvik.rules");

/// 2026-03-01 12:00:00 UTC.
const AT_MS: u64 = 1_772_366_400_000;

/// A simulated platform, and a temporary directory for rule files.
struct Fixture {
    platform: Server,
    folder: TempDir,
}

impl Fixture {
    /// Creates a platform with one generation of rules.
    async fn new() -> Self {
        let fixture = Self::empty().await;
        let change = Change {
            id: ChangeId::from_name("first").unwrap(),
            request: Request {
                who: "Ada Berg".into(),
                why: "start".into(),
            },
            at_ms: AT_MS,
        };
        let step = Object::new().replace(RULES, &change).unwrap();
        let mut state = fixture.platform.state();
        for attachment in step.attachments {
            state.put(Collection::Audits, &attachment.name, attachment.content);
        }
        state.put(Collection::Rulesets, RULESET_NAME, step.content);
        drop(state);
        fixture
    }

    /// Creates a platform without rules.
    async fn empty() -> Self {
        Self {
            platform: Server::start().await.unwrap(),
            folder: tempfile::tempdir().unwrap(),
        }
    }

    /// Writes a valid rule file that has the note as an additional comment line, and
    /// returns its path.
    fn write_file(&self, note: &str) -> PathBuf {
        let path = self.folder.path().join(note);
        std::fs::write(&path, format!("{RULES}# {note}\n")).unwrap();
        path
    }

    /// Runs the client with arguments separated by spaces, against the platform.
    async fn run(&self, arguments: &str) -> Run {
        let platform = format!("--platform={}", self.platform.address);
        let arguments: Vec<_> = arguments.split(' ').chain([platform.as_str()]).collect();
        run(&arguments).await
    }

    /// Applies a rule file that has the note as an additional line, with `extra`
    /// arguments.
    async fn apply(&self, note: &str, extra: &str) -> Run {
        let file = self.write_file(note).display().to_string();
        let arguments = format!("apply {file} --who=Bo --why={note} {extra}");
        self.run(arguments.trim_end()).await
    }

    fn object(&self) -> Option<Object> {
        let object = self
            .platform
            .state()
            .get(Collection::Rulesets, RULESET_NAME);
        object.map(|object| Object::decode(object.spec).unwrap())
    }

    /// Returns the generation in force, or 0 if there is none.
    fn generation(&self) -> u64 {
        self.object().map_or(0, |object| object.generation.0)
    }

    /// Returns the number of entries of a change in the rule object's audit trail.
    fn audit_count(&self, change: &str) -> usize {
        let object = self.object();
        let audit = object.iter().flat_map(|object| &object.audit);
        audit
            .filter(|entry| entry.change.as_str() == change)
            .count()
    }
}

fn json(run: &Run) -> Value {
    serde_json::from_str(&run.out).unwrap_or_else(|error| panic!("{error}: {run:?}"))
}

#[tokio::test(flavor = "multi_thread")]
async fn apply_creates_first_generation() {
    let fixture = Fixture::empty().await;
    let refused = fixture.run("show").await;
    assert_eq!(refused.code, 5, "{}", refused.err);
    let applied = fixture.apply("one", "--json").await;
    assert_eq!(applied.code, 0, "{}", applied.err);
    assert_eq!(fixture.generation(), 1);
    let unchanged = fixture.apply("one", "--change=two").await;
    assert_eq!(unchanged.code, 2);
    expect![[r#"
        error: the rules are in force already, as generation 1
          kind: bad-request, effect: not-run
    "#]]
    .assert_eq(&unchanged.err);
}

#[tokio::test(flavor = "multi_thread")]
async fn apply_prints_difference() {
    let fixture = Fixture::new().await;
    let applied = fixture.apply("note", "--change=a1 --based-on=1").await;
    assert_eq!((applied.code, applied.err.as_str()), (0, ""));
    expect![[r#"
        +   100  # note
        generation 2 is in force (change a1)
    "#]]
    .assert_eq(&applied.out);
    assert_eq!((fixture.generation(), fixture.audit_count("a1")), (2, 1));
}

#[tokio::test(flavor = "multi_thread")]
async fn apply_resolves_lost_response() {
    let fixture = Fixture::new().await;
    fixture.platform.set_faults(Faults {
        lose_answers: 1,
        ..Faults::default()
    });
    let applied = fixture.apply("note", "--change=a1").await;
    assert_eq!(applied.code, 0, "{}", applied.err);
    assert_eq!((fixture.generation(), fixture.audit_count("a1")), (2, 1));
}

#[tokio::test(flavor = "multi_thread")]
async fn apply_reports_not_run_while_platform_is_down() {
    for faults in [
        Faults {
            down: true,
            ..Faults::default()
        },
        Faults {
            throttled: true,
            ..Faults::default()
        },
    ] {
        let fixture = Fixture::new().await;
        fixture.platform.set_faults(faults);
        let failed = fixture.apply("note", "--json --timeout=1").await;
        assert_eq!(failed.code, 6, "{}", failed.out);
        assert_eq!(json(&failed)["error"]["effect"], "not-run");
        assert_eq!(fixture.generation(), 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn apply_reports_unknown_outcome_and_resolves_it_later() {
    let fixture = Fixture::new().await;
    fixture.platform.set_faults(Faults {
        lose_answers: 1,
        ..Faults::default()
    });
    let outage = async {
        wait_for("the change", async || fixture.generation() == 2)
            .await
            .unwrap();
        fixture.platform.set_faults(Faults {
            down: true,
            ..Faults::default()
        });
    };
    let apply = fixture.apply("note", "--json --change=a1 --timeout=3");
    let (failed, ()) = tokio::join!(apply, outage);
    assert_eq!(failed.code, 6, "{}", failed.out);
    assert_eq!(json(&failed)["error"]["effect"], "unknown");
    fixture.platform.set_faults(Faults::default());
    let resolved = fixture.apply("note", "--json --change=a1").await;
    assert_eq!(resolved.code, 0, "{}", resolved.out);
    assert_eq!(json(&resolved)["generation"], 2);
    assert_eq!((fixture.generation(), fixture.audit_count("a1")), (2, 1));
}

#[tokio::test(flavor = "multi_thread")]
async fn apply_refuses_older_base() {
    let fixture = Fixture::new().await;
    assert_eq!(fixture.apply("winner", "").await.code, 0);
    let mut object = fixture.object().unwrap();
    object.audit[1].at_ms = AT_MS;
    let spec = serde_json::to_value(object).unwrap();
    fixture
        .platform
        .state()
        .put(Collection::Rulesets, RULESET_NAME, spec);
    let refused = fixture.apply("loser", "--based-on=1").await;
    assert_eq!((refused.code, refused.out.as_str()), (10, ""));
    expect![[r#"
        error: another operator's change came first
          based on generation 1, but generation 2 is in force
          generation 2: Bo, 2026-03-01 12:00:00 UTC: winner
            +   100  # winner
        your file against the rules in force:
        -   100  # winner
        +   100  # loser
    "#]]
    .assert_eq(&refused.err);
    assert_eq!(fixture.generation(), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn apply_has_one_winner_among_racing_operators() {
    let fixture = Fixture::new().await;
    fixture.platform.set_faults(Faults {
        delay_ms: 200,
        ..Faults::default()
    });
    let apply = async |name: &str| {
        let run = fixture
            .apply(name, &format!("--json --based-on=1 --change={name}"))
            .await;
        (name.to_owned(), run)
    };
    let (a, b, c) = tokio::join!(apply("a"), apply("b"), apply("c"));
    let (winners, losers): (Vec<_>, Vec<_>) =
        [a, b, c].into_iter().partition(|(_, run)| run.code == 0);
    assert_eq!((winners.len(), fixture.generation()), (1, 2));
    let winner = &winners[0].0;
    for (name, run) in losers {
        let error = &json(&run)["error"];
        assert_eq!(
            (run.code, &error["kind"]),
            (10, &"conflict".into()),
            "{error}"
        );
        assert_eq!(error["winners"][0]["change"], winner.as_str());
        assert_eq!(error["difference"][0]["text"], format!("# {winner}"));
        assert_eq!(error["difference"][1]["text"], format!("# {name}"));
        assert_eq!(fixture.audit_count(&name), 0);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn take_out_survives_racing_operators() {
    let fixture = Fixture::new().await;
    fixture.platform.set_faults(Faults {
        delay_ms: 50,
        ..Faults::default()
    });
    let take_out = async |target: &str| {
        let run = fixture
            .run(&format!("take-out {target} --who=Bo --why=work"))
            .await;
        assert_eq!(run.code, 0, "{}", run.err);
    };
    tokio::join!(
        take_out("--data-centre=vest-a"),
        take_out("--endpoint=booking-desk-01"),
        take_out("--endpoint=booking-desk-02"),
    );
    assert_eq!(fixture.generation(), 4);
    let back = fixture
        .run("bring-back --data-centre=vest-a --who=Bo --why=done --change=b1")
        .await;
    assert_eq!((back.code, back.err.as_str()), (0, ""));
    let definitions = cicadacrank_core::rules::parse(&fixture.object().unwrap().rules).unwrap();
    assert!(
        definitions
            .data_centres
            .iter()
            .all(|data_centre| !data_centre.taken_out)
    );
    assert_eq!(
        definitions
            .endpoints
            .iter()
            .filter(|endpoint| endpoint.taken_out)
            .count(),
        2
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn take_out_refuses_unknown_target() {
    let fixture = Fixture::new().await;
    let refused = fixture
        .run("take-out --data-centre=vest-e --who=Bo --why=work")
        .await;
    assert_eq!(refused.code, 2);
    expect![[r#"
        error: the rules have no data-centre=vest-e; did you mean `vest-a`?
          kind: bad-request, effect: not-run
    "#]]
    .assert_eq(&refused.err);
}

#[tokio::test(flavor = "multi_thread")]
async fn read_commands_show_rules_and_audit_trail() {
    let fixture = Fixture::new().await;
    let show = fixture.run("show").await;
    assert_eq!((show.code, show.out.as_str()), (0, RULES));
    expect![[r#"
        generation 1, 2026-03-01 12:00:00 UTC, Ada Berg: start
    "#]]
    .assert_eq(&show.err);
    let file = fixture.write_file("mine").display().to_string();
    expect![[r#"
        +   100  # mine
        lines that differ from generation 1: 1
    "#]]
    .assert_eq(&fixture.run(&format!("diff {file}")).await.out);
    expect![[r#"
        GENERATION  WHEN                     WHO       WHY    ADDED  REMOVED
        1           2026-03-01 12:00:00 UTC  Ada Berg  start  39+    0+
    "#]]
    .assert_eq(&fixture.run("history").await.out);
    let lines = fixture.run("history --lines --json").await;
    let lines = json(&lines)[0]["lines"].as_array().unwrap().len();
    assert_eq!(lines, RULES.lines().count());
    assert_eq!(fixture.generation(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn history_reads_older_pages() {
    let fixture = Fixture::new().await;
    let mut object = fixture.object().unwrap();
    for number in 0..100 {
        let change = Change {
            id: ChangeId::new(number),
            request: Request {
                who: "Ada Berg".into(),
                why: "note".into(),
            },
            at_ms: AT_MS,
        };
        let rules = format!("{RULES}# {number}\n");
        let step = object.replace(&rules, &change).unwrap();
        object = step.object;
        let mut state = fixture.platform.state();
        for attachment in step.attachments {
            state.put(Collection::Audits, &attachment.name, attachment.content);
        }
        state.put(Collection::Rulesets, RULESET_NAME, step.content);
    }
    let all = fixture.run("history --json --limit 1000").await;
    let entries = json(&all);
    let generations = entries
        .as_array()
        .unwrap()
        .iter()
        .map(|entry| entry["generation"].as_u64());
    assert!(generations.eq((1..=101).rev().map(Some)));
    let some = json(&fixture.run("history --json --limit 80").await);
    assert_eq!(some.as_array().unwrap().len(), 80);
}

#[tokio::test(flavor = "multi_thread")]
async fn cost_adds_up_accounts() {
    let fixture = Fixture::new().await;
    let account = |endpoint: &str, since_ms, team: &str| Account {
        endpoint: endpoint.into(),
        since_ms,
        observed_us: 0,
        idle_us: 1_800_000_000,
        busy: vec![Line {
            key: Key {
                pipeline: "book-room".into(),
                stage: "booking".into(),
                team: team.into(),
            },
            busy_us: 3_600_000_000,
        }],
    };
    for account in [
        account("booking-desk-01", 1, "counter"),
        account("booking-desk-01", 2, "counter"),
        account("booking-desk-02", 1, "council"),
        account("gone", 1, "council"),
    ] {
        let spec = serde_json::to_value(&account).unwrap();
        let mut state = fixture.platform.state();
        state.put(Collection::Accounts, &account.name(), spec);
    }
    let cost = fixture.run("cost").await;
    assert_eq!((cost.code, cost.err.as_str()), (0, ""));
    expect![[r#"
        PIPELINE   STAGE    OWNER  TEAM     LENT  BUSY        COST
        book-room  booking  torg   council  no    3600.000 s  0.0600 eur
        book-room  booking  torg   counter  yes   7200.000 s  0.1200 eur

        POOL          OWNER  IDLE        COST
        booking-desk  torg   5400.000 s  0.0600 eur

        busy 0.1800 eur, idle 0.0600 eur, together 0.2400 eur
        without owner and price in the rules: gone
    "#]]
    .assert_eq(&cost.out);
}
