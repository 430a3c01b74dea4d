//! Acceptance of release notes under races, lost answers and old values.

mod notes;

use std::collections::BTreeMap;

use jackdaw_core::errors::Error;
use jackdaw_core::note::{Conflict, Note};
use jackdaw_core::units::Revision;
use jackdaw_policy::release::accept::{Action, Attempt, Commit, Event, StoredCatalog, Verdict};
use jackdaw_policy::release::{HISTORY_NOTES, Record};
use notes::{catalog, fixed, note, stored};
use proptest::prelude::*;
use rstest::rstest;

fn record(id: &str, revision: u64) -> Record {
    Record {
        revision: Revision(revision),
        node: "other".into(),
        at_unix_ms: 1,
        note: note(id, revision - 1),
    }
}

fn lost() -> Event {
    Event::Failed(Error::indeterminate("commit", "store", "answer lost"))
}

fn down() -> Event {
    Event::Failed(Error::unreachable("read", "store", "connection refused"))
}

/// One attempt to accept note `mine`, written against revision 2, by a node that holds 2.
struct Case {
    events: Vec<Event>,
    verdict: Verdict,
}

#[rstest]
#[case::accepted(Case {
    events: vec![Event::Catalog(stored(2)), Event::Committed],
    verdict: Verdict::Accepted { revision: Revision(3), repeated: false },
})]
#[case::platform_down_at_read(Case {
    events: vec![down()],
    verdict: Verdict::NotAccepted(down_text()),
})]
#[case::platform_down_at_commit(Case {
    events: vec![Event::Catalog(stored(2)), down()],
    verdict: Verdict::NotAccepted(down_text()),
})]
#[case::answer_lost_after_the_write(Case {
    events: vec![Event::Catalog(stored(2)), lost(), Event::Record(Some(record("mine", 3)))],
    verdict: Verdict::Accepted { revision: Revision(3), repeated: true },
})]
#[case::answer_lost_before_the_write(Case {
    events: vec![Event::Catalog(stored(2)), lost(), Event::Record(None), Event::Committed],
    verdict: Verdict::Accepted { revision: Revision(3), repeated: false },
})]
#[case::answer_lost_and_read_back_old(Case {
    events: vec![
        Event::Catalog(stored(2)),
        lost(),
        Event::Record(None),
        Event::Outdated { catalog: stored(3), record: Some(record("mine", 3)) },
    ],
    verdict: Verdict::Accepted { revision: Revision(3), repeated: true },
})]
#[case::answer_lost_and_another_came_first(Case {
    events: vec![
        Event::Catalog(stored(2)),
        lost(),
        Event::Record(Some(record("other", 3))),
        Event::Records(vec![record("other", 3)]),
    ],
    verdict: Verdict::Conflict {
        base: Revision(2),
        found: Revision(3),
        since: vec![record("other", 3)],
    },
})]
#[case::answer_lost_and_platform_gone(Case {
    events: vec![Event::Catalog(stored(2)), lost(), down()],
    verdict: Verdict::Unknown(down_text()),
})]
#[case::every_answer_lost(Case {
    events: vec![
        Event::Catalog(stored(2)),
        lost(),
        Event::Record(None),
        lost(),
        Event::Record(None),
        lost(),
        Event::Record(None),
    ],
    verdict: Verdict::Unknown("the note could not be committed".into()),
})]
#[case::racing_operator_seen_at_commit(Case {
    events: vec![
        Event::Catalog(stored(2)),
        Event::Outdated { catalog: stored(3), record: Some(record("other", 3)) },
        Event::Records(vec![record("other", 3)]),
    ],
    verdict: Verdict::Conflict {
        base: Revision(2),
        found: Revision(3),
        since: vec![record("other", 3)],
    },
})]
#[case::racing_operators_seen_at_read(Case {
    events: vec![
        Event::Catalog(stored(4)),
        Event::Record(Some(record("other", 3))),
        Event::Records(vec![record("other", 3), record("third", 4)]),
    ],
    verdict: Verdict::Conflict {
        base: Revision(2),
        found: Revision(4),
        since: vec![record("other", 3), record("third", 4)],
    },
})]
#[case::difference_unreadable(Case {
    events: vec![Event::Catalog(stored(4)), Event::Record(Some(record("other", 3))), down()],
    verdict: Verdict::Conflict { base: Revision(2), found: Revision(4), since: Vec::new() },
})]
#[case::sent_again_after_acceptance(Case {
    events: vec![Event::Catalog(stored(4)), Event::Record(Some(record("mine", 3)))],
    verdict: Verdict::Accepted { revision: Revision(3), repeated: true },
})]
#[case::record_cannot_be_found(Case {
    events: vec![Event::Catalog(stored(4)), Event::Record(None)],
    verdict: Verdict::Unknown("the record of the next revision could not be found".into()),
})]
#[case::old_value_read(Case {
    events: vec![Event::Catalog(stored(1))],
    verdict: Verdict::NotAccepted(
        "the platform answers with revision 1, but 2 is in force".into(),
    ),
})]
#[case::empty_store_read(Case {
    events: vec![Event::Catalog(None)],
    verdict: Verdict::NotAccepted(
        "the platform answers with revision 0, but 2 is in force".into(),
    ),
})]
fn attempt_ends_with_the_true_verdict(#[case] case: Case) {
    let mut attempt = Attempt::new(note("mine", 2), Revision(2), "node", 9);
    let mut action = attempt.start();
    for event in case.events {
        assert!(
            !matches!(action, Action::Finish(_)),
            "ended before {event:?}"
        );
        action = attempt.step(event);
    }
    assert_eq!(action, Action::Finish(case.verdict));
}

fn down_text() -> compact_str::CompactString {
    match down() {
        Event::Failed(error) => error.to_string().into(),
        _ => unreachable!("down is a failure"),
    }
}

/// A note that differs from note `mine` against revision 2.
struct Odd {
    note: Note,
    events: Vec<Event>,
    is_expected: fn(&Verdict) -> bool,
}

#[rstest]
#[case::written_against_a_future_revision(Odd {
    note: note("mine", 7),
    events: vec![Event::Catalog(stored(2))],
    is_expected: |verdict| matches!(verdict, Verdict::Conflict { found: Revision(2), .. }),
})]
#[case::does_not_fit(Odd {
    note: note("n0", 2),
    events: vec![Event::Catalog(stored(2))],
    is_expected: |verdict| matches!(verdict, Verdict::Refused(conflicts)
        if conflicts == &[Conflict::Exists { name: "n0".into() }]),
})]
#[case::identity_of_another_note(Odd {
    note: Note { summary: "changed".into(), ..note("mine", 2) },
    events: vec![Event::Catalog(stored(3)), Event::Record(Some(record("mine", 3)))],
    is_expected: |verdict| matches!(verdict, Verdict::Reused(Revision(3))),
})]
fn odd_note_is_answered(#[case] case: Odd) {
    let mut attempt = Attempt::new(case.note, Revision(2), "node", 9);
    let mut action = attempt.start();
    for event in case.events {
        action = attempt.step(event);
    }
    let Action::Finish(verdict) = action else {
        panic!("not finished: {action:?}");
    };
    assert!((case.is_expected)(&verdict), "{verdict:?}");
}

#[test]
fn note_older_than_the_history_conflicts() {
    let mut catalog = catalog(0);
    catalog.revision = Revision(2 + 1 + HISTORY_NOTES);
    let mut attempt = Attempt::new(note("mine", 2), Revision(2), "node", 9);
    let _ = attempt.start();
    let _ = attempt.step(Event::Catalog(Some(StoredCatalog {
        catalog,
        mod_revision: 5,
    })));
    let action = attempt.step(Event::Record(None));
    assert!(
        matches!(action, Action::Finish(Verdict::Conflict { .. })),
        "{action:?}"
    );
}

/// A small key-value service with compare-and-swap, lost answers, late writes and old reads.
#[derive(Default)]
struct Store {
    catalogs: Vec<StoredCatalog>,
    records: BTreeMap<u64, Record>,
    late: Vec<Commit>,
}

/// What happens to one call.
#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    Unreachable,
    LostBefore,
    LostAfter,
    Late,
    Old,
}

impl Store {
    fn current(&self) -> Option<StoredCatalog> {
        self.catalogs.last().cloned()
    }

    fn apply(&mut self, commit: &Commit) -> bool {
        if self.current().map(|s| s.mod_revision) != commit.expected {
            return false;
        }
        let mod_revision = self.catalogs.len() as u64 + 1;
        self.catalogs.push(StoredCatalog {
            catalog: commit.catalog.clone(),
            mod_revision,
        });
        self.records
            .insert(commit.record.revision.0, commit.record.clone());
        true
    }

    fn call(&mut self, action: &Action, fault: Fault) -> Event {
        if matches!(fault, Fault::Unreachable) {
            return down();
        }
        let is_old = matches!(fault, Fault::Old);
        match action {
            Action::ReadCatalog if is_old => {
                Event::Catalog(self.catalogs.iter().rev().nth(1).cloned())
            }
            Action::ReadCatalog => Event::Catalog(self.current()),
            Action::ReadRecord(_) if is_old => Event::Record(None),
            Action::ReadRecord(at) => Event::Record(self.records.get(&at.0).cloned()),
            Action::ReadSince(from) => Event::Records(
                self.records
                    .range(from.0..)
                    .map(|(_, r)| r.clone())
                    .collect(),
            ),
            Action::Commit(commit) => self.commit(commit, fault),
            Action::Finish(_) => unreachable!("nothing is called after the end"),
        }
    }

    fn commit(&mut self, commit: &Commit, fault: Fault) -> Event {
        match fault {
            Fault::LostBefore => return lost(),
            Fault::Late => {
                self.late.push(commit.clone());
                return lost();
            }
            _ => {}
        }
        let done = self.apply(commit);
        if matches!(fault, Fault::LostAfter) {
            return lost();
        }
        if done {
            return Event::Committed;
        }
        Event::Outdated {
            catalog: self.current(),
            record: self.records.get(&commit.record.revision.0).cloned(),
        }
    }

    fn flush(&mut self) {
        for commit in std::mem::take(&mut self.late) {
            self.apply(&commit);
        }
    }
}

fn faults() -> impl Strategy<Value = Fault> {
    prop_oneof![
        4 => Just(Fault::None),
        1 => Just(Fault::Unreachable),
        1 => Just(Fault::LostBefore),
        2 => Just(Fault::LostAfter),
        1 => Just(Fault::Late),
        1 => Just(Fault::Old),
    ]
}

/// Two operators race; each step goes to one of them with one fault.
#[derive(Clone, Debug)]
struct Race {
    bases: [u64; 2],
    steps: Vec<(usize, Fault, bool)>,
}

fn races() -> impl Strategy<Value = Race> {
    let steps = prop::collection::vec((0..2_usize, faults(), any::<bool>()), 4..40);
    ([0..2_u64, 0..2_u64], steps).prop_map(|(bases, steps)| Race { bases, steps })
}

/// Runs a race and returns the store with each operator's verdict.
fn run(race: &Race) -> (Store, [Option<Verdict>; 2]) {
    let mut store = Store::default();
    store.apply(&Commit {
        expected: None,
        catalog: catalog(1),
        record: record("n0", 1),
        pruned: None,
    });
    let mut attempts = [0, 1].map(|index: usize| {
        let name = ["left", "right"][index];
        Attempt::new(note(name, race.bases[index]), Revision(0), name, 1)
    });
    let mut actions = [attempts[0].start(), attempts[1].start()];
    let mut verdicts = [None, None];
    let quiet = (0..24).map(|step| (step % 2, Fault::None, true));
    for (who, fault, flushes) in race.steps.iter().copied().chain(quiet) {
        if flushes {
            store.flush();
        }
        if verdicts[who].is_none() {
            let event = store.call(&actions[who], fault);
            actions[who] = attempts[who].step(event);
            if let Action::Finish(verdict) = &actions[who] {
                verdicts[who] = Some(verdict.clone());
            }
        }
    }
    store.flush();
    (store, verdicts)
}

/// Returns the revisions at which a note was accepted.
fn acceptances(store: &Store, id: &str) -> Vec<Revision> {
    store
        .catalogs
        .iter()
        .filter(|stored| stored.catalog.note == id)
        .map(|stored| stored.catalog.revision)
        .collect()
}

proptest! {
    #![proptest_config(fixed(2_000))]

    #[test]
    fn verdicts_are_true_under_races_and_lost_answers(race in races()) {
        let (store, verdicts) = run(&race);
        for (index, verdict) in verdicts.iter().enumerate() {
            let found = acceptances(&store, ["left", "right"][index]);
            prop_assert!(found.len() <= 1, "accepted twice");
            match verdict.as_ref().expect("every attempt ends") {
                Verdict::Accepted { revision, .. } => prop_assert_eq!(&found, &vec![*revision]),
                Verdict::Unknown(_) => {}
                refusal => prop_assert!(found.is_empty(), "{refusal:?} but accepted"),
            }
        }
        for pair in store.catalogs.windows(2) {
            prop_assert_eq!(pair[1].catalog.revision.0, pair[0].catalog.revision.0 + 1);
        }
    }

}

/// The obvious attempt without a read-back: a lost answer counts as a failure, and the note is
/// rewritten against whatever revision is found.
fn careless(store: &mut Store, id: &str, faults: &[Fault]) -> Option<Revision> {
    for fault in faults {
        let current = store.current()?;
        let next = current
            .catalog
            .apply(&note(id, current.catalog.revision.0))
            .ok()?;
        let revision = next.revision;
        let commit = Commit {
            expected: Some(current.mod_revision),
            catalog: next,
            record: record(id, revision.0),
            pruned: None,
        };
        if store.call(&Action::Commit(Box::new(commit)), *fault) == Event::Committed {
            return Some(revision);
        }
    }
    None
}

#[test]
fn attempt_without_read_back_reports_an_accepted_note_as_refused() {
    let race = Race {
        bases: [1, 1],
        steps: vec![(0, Fault::None, true), (0, Fault::LostAfter, true)],
    };
    let (mut store, _) = run(&Race {
        bases: [0, 0],
        steps: Vec::new(),
    });
    let claimed = careless(&mut store, "left", &[Fault::LostAfter, Fault::None]);
    assert_eq!(
        (claimed, acceptances(&store, "left").len()),
        (None, 1),
        "the fault is missed"
    );

    let (store, verdicts) = run(&race);
    assert_eq!(acceptances(&store, "left"), [Revision(2)]);
    assert_eq!(
        verdicts[0],
        Some(Verdict::Accepted {
            revision: Revision(2),
            repeated: true
        })
    );
}
