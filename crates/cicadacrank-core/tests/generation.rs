//! Tests of changes to the rules: one change wins, the reported outcome is
//! correct, and the audit trail is complete.

use cicadacrank_core::{
    error::Kind,
    generation::{
        Action, Attachment, Change, ChangeId, Detail, Difference, ENTRIES_LIMIT, Edit, Entry,
        Event, Generation, Latest, Object, Outcome, PAGE_ENTRIES, Page, Proposal,
    },
    rules::edit::{Request, Target},
};
use expect_test::expect;
use rand::RngExt;
use rand_xoshiro::{Xoshiro256PlusPlus, rand_core::SeedableRng};
use serde_json::{Value, json};

const RULES: &str = include_str!("../../../samples/bergvik.rules");

/// A short rule file that parses fast, for the race tests.
const SHORT: &str = "\
data-centre vest-a region=vestland # Ada Berg: site
data-centre vest-b region=vestland # Ada Berg: site
";

fn change(number: u128) -> Change {
    Change {
        id: ChangeId::new(number),
        request: Request {
            who: "Ada Berg".into(),
            why: format!("change {number}"),
        },
        at_ms: 1000,
    }
}

/// Returns the object after replacing the rules once.
fn first() -> Object {
    Object::new().replace(RULES, &change(0)).unwrap().object
}

fn replace(rules: &str) -> Edit {
    Edit::Replace {
        rules: rules.into(),
        based_on: None,
    }
}

fn take_out(name: &str) -> Edit {
    Edit::TakeOut(Target::DataCentre(name.into()))
}

fn found(version: u64, object: &Object) -> Event<u64> {
    let object = object.clone();
    Event::Found { version, object }
}

/// Feeds all events to a proposal and returns its outcome.
fn outcome(edit: Edit, events: Vec<Event<u64>>) -> Outcome {
    let mut proposal = Proposal::new(edit, change(7));
    for event in events {
        proposal.handle(event);
    }
    proposal.give_up()
}

#[test]
fn difference_shows_lines_with_numbers() {
    let difference = Difference::new("a\nb\nc\n", "a\r\nx\nc\nd");
    expect![[r#"
        -     1  a
        -     2  b
        +     1  a
        +     2  x
        +     4  d
    "#]]
    .assert_eq(&difference.to_string());
    assert!(Difference::new(RULES, RULES).is_empty());
}

#[test]
fn object_round_trips_through_its_encoding() {
    let step = Object::new().replace(RULES, &change(1)).unwrap();
    assert_eq!(Object::decode(step.content.clone()).unwrap(), step.object);
    let mut later = step.content;
    later["layout"] = json!(2);
    for damaged in [json!(null), json!({}), json!("rules"), later] {
        assert!(Object::decode(damaged).is_err());
    }
}

// Guards against a generation that names two contents after the store came back from a
// copy, and against one that is not above those of the lost changes.
#[test]
fn object_skips_generations_in_a_newer_era() {
    let next = |object: &Object, era: u64, note: &str| {
        let rules = format!("{SHORT}# {note}\n");
        let read = object.clone().with_read_era(era);
        read.replace(&rules, &change(7)).unwrap().object
    };
    let kept = next(&first(), 1, "kept");
    let lost = next(&next(&kept, 1, "lost"), 1, "lost too");
    assert_eq!(lost.generation.0, kept.generation.0 + 2);
    let second = next(&kept, 2, "second era");
    let third = next(&kept, 3, "third era");
    let generations = [&kept, &lost, &second, &next(&second, 2, "more"), &third];
    let generations = generations.map(|object| object.generation);
    assert!(
        generations.is_sorted_by(|one, other| one < other),
        "{generations:?}"
    );
    let read = Object::decode(serde_json::to_value(&second).unwrap()).unwrap();
    assert_eq!(read, second);
}

// Guards against rules that an operator cannot put in force again, because the store
// came back with them while newer ones are in force.
#[test]
fn object_accepts_the_same_rules_in_a_newer_era() {
    let object = first();
    let again = object.clone().with_read_era(1);
    assert!(object.replace(RULES, &change(1)).is_err());
    assert!(again.replace(RULES, &change(1)).is_ok());
}

#[test]
fn object_write_back_keeps_entries_of_lost_changes() {
    let kept = first();
    let lost = kept.replace(SHORT, &change(1)).unwrap().object;
    let came_back = kept.with_read_era(1);
    let written = came_back.write_back(lost.generation, &lost.rules, &lost.audit, &change(2));
    let object = written.unwrap().object;
    assert_eq!(object.rules, lost.rules);
    assert!(object.generation > lost.generation);
    let changes: Vec<_> = object.audit.iter().map(|entry| &entry.change).collect();
    assert_eq!(
        changes,
        [&ChangeId::new(0), &ChangeId::new(1), &ChangeId::new(2)]
    );
}

// Guards against an acknowledged change that no process adopts, because the rules that
// were written back after two returns of the store have a higher generation.
#[test]
fn object_written_back_twice_is_below_a_change_of_the_next_era() {
    let kept = first();
    let mut newest = kept.replace(SHORT, &change(1)).unwrap().object;
    for era in 1..=2 {
        let came_back = kept.clone().with_read_era(era);
        let written = came_back.write_back(newest.generation, &newest.rules, &[], &change(2));
        let object = written.unwrap().object;
        assert!(object.generation > newest.generation);
        newest = object;
    }
    let came_back = kept.with_read_era(3);
    let changed = came_back.replace(SHORT, &change(3)).unwrap().object;
    let generations = [newest.generation, changed.generation];
    assert!(generations[0] < generations[1], "{generations:?}");
}

#[test]
fn object_refuses_change() {
    let object = first();
    let nobody = Change {
        request: Request {
            who: " ".into(),
            why: "x".into(),
        },
        ..change(1)
    };
    for (rules, change, kind) in [
        ("owner o", change(1), Kind::Rules),
        (RULES, change(1), Kind::BadRequest),
        ("owner o # A: r", nobody, Kind::BadRequest),
    ] {
        assert_eq!(object.replace(rules, &change).unwrap_err().kind(), kind);
    }
}

#[test]
fn object_keeps_every_entry() {
    let mut object = first();
    let mut attachments: Vec<Attachment> = Vec::new();
    for number in 1..=200 {
        let rules = format!("{RULES}# note {number}\n");
        let step = object.replace(&rules, &change(number)).unwrap();
        attachments.extend(step.attachments);
        object = step.object;
        assert!(object.audit.len() <= ENTRIES_LIMIT);
    }
    let trail = trail(&object, &attachments);
    let generations: Vec<_> = trail.iter().map(|entry| entry.generation.0).collect();
    assert_eq!(generations, (1..=201).collect::<Vec<_>>());
    assert_eq!(
        object.pages,
        (201 - object.audit.len() as u64) / PAGE_ENTRIES as u64
    );
    assert_eq!(object.entries_after(Generation(199)).len(), 2);
}

#[test]
fn object_moves_lines_of_large_change_to_detail() {
    let step = Object::new().replace(RULES, &change(1)).unwrap();
    let entry = &step.object.audit[0];
    assert!(entry.has_detail());
    assert_eq!(entry.line_count, RULES.lines().count());
    let [attachment] = &step.attachments[..] else {
        panic!("the step should have one detail");
    };
    assert_eq!(
        attachment.name,
        Detail::name(&entry.change, entry.generation)
    );
    let detail = Detail::decode(attachment.content.clone()).unwrap();
    assert_eq!(detail.lines, Difference::new("", RULES));
}

/// Returns all entries, oldest first, from the pages and the object.
fn trail(object: &Object, attachments: &[Attachment]) -> Vec<Entry> {
    let page = |number| {
        let name = Page::name(number);
        let found = attachments.iter().find(|one| one.name == name).unwrap();
        Page::decode(found.content.clone()).unwrap().entries
    };
    let mut entries: Vec<_> = (0..object.pages).flat_map(page).collect();
    entries.extend(object.audit.clone());
    entries
}

#[test]
fn latest_ignores_older_generations() {
    let mut latest = Latest::new();
    for (generation, adopted, held) in [(3, true, 3), (2, false, 3), (3, false, 3), (5, true, 5)] {
        assert_eq!(latest.adopt(Generation(generation), generation), adopted);
        assert_eq!(latest.get(), Some(&held));
        assert_eq!(latest.generation(), Some(Generation(held)));
    }
}

#[test]
fn proposal_settles_lost_answer() {
    let base = first();
    let done = Outcome::Applied({
        let step = base.replace("owner o # A: r\n", &change(7)).unwrap();
        step.object.audit[1].clone()
    });
    let edit = || replace("owner o # A: r\n");
    let after = base.replace("owner o # A: r\n", &change(7)).unwrap().object;
    let other = base.replace("owner p # A: r\n", &change(8)).unwrap().object;
    // The detail is created first, as the change removes all lines of the sample.
    let sent = [found(1, &base), Event::Attached, Event::NoAnswer];
    let cases: [(&str, Vec<Event<u64>>, Outcome); 6] = [
        ("took effect", vec![found(2, &after)], done.clone()),
        (
            "no effect, then written",
            vec![found(1, &base), Event::Written],
            done.clone(),
        ),
        (
            "took effect late",
            vec![found(1, &base), Event::VersionMoved, found(2, &after)],
            done.clone(),
        ),
        (
            "stale read, then effect",
            vec![found(0, &Object::new()), found(2, &after)],
            done,
        ),
        ("no read", vec![], Outcome::Unknown),
        (
            "no effect yet",
            vec![found(1, &base), Event::NotSent],
            Outcome::Unknown,
        ),
    ];
    for (case, events, expected) in cases {
        let events = sent.iter().cloned().chain(events).collect();
        assert_eq!(outcome(edit(), events), expected, "{case}");
    }
    let events = sent.into_iter().chain([found(2, &other)]).collect();
    let Outcome::Conflict(conflict) = outcome(edit(), events) else {
        panic!("the change of the other operator should cause a conflict");
    };
    assert_eq!((conflict.base.0, conflict.current.0), (1, 2));
    assert_eq!(conflict.winners[0].change, ChangeId::new(8));
    expect![[r#"
        -     1  owner p # A: r
        +     1  owner o # A: r
    "#]]
    .assert_eq(&conflict.difference.to_string());
}

#[test]
fn proposal_tells_nothing_was_written() {
    let base = first();
    let old = Edit::Replace {
        rules: "owner o # A: r\n".into(),
        based_on: Some(Generation(0)),
    };
    assert_eq!(outcome(replace(RULES), vec![]), Outcome::NotRun);
    let events = vec![found(1, &base), Event::NotSent];
    assert_eq!(outcome(take_out("vest-a"), events), Outcome::NotRun);
    let refused = outcome(take_out("vest-z"), vec![found(1, &base)]);
    assert!(matches!(refused, Outcome::Refused(_)));
    let refused = outcome(old, vec![found(1, &base)]);
    assert!(matches!(refused, Outcome::Conflict(_)));
}

#[test]
fn proposal_repeats_edit_on_newer_rules() {
    let base = first();
    let newer = format!("{RULES}# note\n");
    let newer = base.replace(&newer, &change(8)).unwrap().object;
    let events = vec![
        found(1, &base),
        Event::VersionMoved,
        found(2, &newer),
        Event::Written,
    ];
    let Outcome::Applied(entry) = outcome(take_out("vest-a"), events) else {
        panic!("the edit should be applied to the newer rules");
    };
    assert_eq!(entry.generation, Generation(3));
}

// Guards against a change that is reported as not in force, while a process that has
// adopted it writes it back to the store, and against a wait until the deadline for a
// generation that the store has lost.
#[test]
fn proposal_tells_the_outcome_across_a_restore() {
    let base = first();
    let restored = base.clone().with_read_era(1);
    let taken_out = |events| outcome(take_out("vest-a"), events);
    let in_doubt = vec![found(5, &base), Event::NoAnswer, found(1, &restored)];
    assert_eq!(taken_out(in_doubt), Outcome::Unknown);
    let newer = format!("{RULES}# note\n");
    let newer = base.replace(&newer, &change(8)).unwrap().object;
    let refused_write = vec![
        found(5, &newer),
        Event::VersionMoved,
        found(1, &restored),
        Event::Written,
    ];
    let Outcome::Applied(entry) = taken_out(refused_write) else {
        panic!("the edit should be applied to the rules that came back");
    };
    assert!(entry.generation > newer.generation);
}

/// Simulated platform store that loses or delays requests and answers.
struct Store {
    history: Vec<Value>,
    attachments: Vec<Attachment>,
    /// Writes without an answer that may still take effect later.
    delayed: Vec<(usize, Value)>,
}

impl Store {
    const fn new() -> Self {
        Self {
            history: Vec::new(),
            attachments: Vec::new(),
            delayed: Vec::new(),
        }
    }

    fn read(&self, age: usize) -> Event<usize> {
        let version = self.history.len().saturating_sub(age);
        match version
            .checked_sub(1)
            .and_then(|last| self.history.get(last))
        {
            Some(content) => Event::Found {
                version,
                object: Object::decode(content.clone()).unwrap(),
            },
            None => Event::Absent { era: 0 },
        }
    }

    fn write(&mut self, version: usize, content: &Value) -> Event<usize> {
        if version != self.history.len() {
            return Event::VersionMoved;
        }
        self.history.push(content.clone());
        Event::Written
    }

    fn attach(&mut self, attachment: &Attachment) -> Event<usize> {
        let found = self
            .attachments
            .iter()
            .find(|one| one.name == attachment.name);
        if let Some(found) = found {
            let content = found.content.clone();
            return Event::AttachmentExists { content };
        }
        self.attachments.push(attachment.clone());
        Event::Attached
    }

    fn deliver_delayed(&mut self, index: usize) {
        let (version, content) = self.delayed.swap_remove(index);
        self.write(version, &content);
    }

    /// Performs an action, with a fault drawn from `random`.
    fn serve(
        &mut self,
        action: Action<'_, usize>,
        random: &mut Xoshiro256PlusPlus,
    ) -> Event<usize> {
        let fault = random.random_range(0..8);
        match action {
            Action::Read if fault == 0 => Event::NoAnswer,
            Action::Read => self.read(usize::from(fault == 1)),
            Action::Attach(_) if fault == 0 => Event::NoAnswer,
            Action::Attach(attachment) => {
                let event = self.attach(attachment);
                if fault == 1 { Event::NoAnswer } else { event }
            }
            Action::Write { content, version } => {
                let version = version.copied().unwrap_or(0);
                match fault {
                    0 => Event::NotSent,
                    1 => Event::NoAnswer,
                    2 => {
                        self.write(version, content);
                        Event::NoAnswer
                    }
                    3 => {
                        self.delayed.push((version, content.clone()));
                        Event::NoAnswer
                    }
                    _ => self.write(version, content),
                }
            }
            Action::Finish(_) => unreachable!("finished proposals have no action to perform"),
        }
    }
}

fn random_edit(number: u64, random: &mut Xoshiro256PlusPlus) -> Edit {
    let target = Target::DataCentre(format!("vest-{}", random.random_range('a'..='b')));
    match random.random_range(0..4) {
        0 => Edit::TakeOut(target),
        1 => Edit::BringBack(target),
        _ => replace(&format!("{SHORT}# note {number}\n")),
    }
}

/// Runs concurrent proposals under faults, and returns the change id and outcome
/// of each.
fn race(store: &mut Store, random: &mut Xoshiro256PlusPlus) -> Vec<(ChangeId, Outcome)> {
    let mut open: Vec<_> = (1..=12)
        .map(|number| (change(number.into()), random_edit(number, random)))
        .map(|(change, edit)| (change.id.clone(), Proposal::new(edit, change)))
        .collect();
    let mut ended = Vec::new();
    while !open.is_empty() {
        let index = random.random_range(0..open.len());
        let proposal = &mut open[index].1;
        let finished = matches!(proposal.action(), Action::Finish(_));
        if finished || random.random_range(0..40) == 0 {
            let (id, proposal) = open.swap_remove(index);
            ended.push((id, proposal.give_up()));
        } else {
            let event = store.serve(proposal.action(), random);
            proposal.handle(event);
        }
        if !store.delayed.is_empty() && random.random_range(0..4) == 0 {
            store.deliver_delayed(random.random_range(0..store.delayed.len()));
        }
    }
    ended
}

#[test]
fn proposal_outcomes_match_audit_trail_in_races() {
    let mut seen = [0u32; 5];
    for seed in 0..400 {
        let mut random = Xoshiro256PlusPlus::seed_from_u64(seed);
        let mut store = Store::new();
        let ended = race(&mut store, &mut random);
        while !store.delayed.is_empty() {
            store.deliver_delayed(0);
        }
        let Event::Found { object, .. } = store.read(0) else {
            continue;
        };
        let trail = trail(&object, &store.attachments);
        let rises = trail
            .iter()
            .map(|entry| entry.generation.0)
            .eq(1..=object.generation.0);
        assert!(rises, "seed {seed}: generations should increase by one");
        for (id, outcome) in ended {
            let count = trail.iter().filter(|entry| entry.change == id).count();
            let (index, truth) = match &outcome {
                Outcome::Applied(_) => (0, count == 1),
                Outcome::Conflict(_) => (1, count == 0),
                Outcome::Refused(_) => (2, count == 0),
                Outcome::NotRun => (3, count == 0),
                Outcome::Unknown => (4, count <= 1),
            };
            assert!(
                truth,
                "seed {seed}: {id} is {outcome:?} but has {count} audit entries"
            );
            seen[index] += 1;
        }
    }
    assert!(
        seen.iter().all(|count| *count > 20),
        "every outcome should occur: {seen:?}"
    );
}
