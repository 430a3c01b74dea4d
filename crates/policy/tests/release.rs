//! Tests the acceptance of release notes under races, lost answers and stale reads.

mod notes;

use std::collections::BTreeMap;

use jackdaw_core::errors::Error;
use jackdaw_core::note::{Conflict, Note};
use jackdaw_core::units::Revision;
use jackdaw_policy::release::accept::{Action, Attempt, Commit, Event, StoredCatalog, Verdict};
use jackdaw_policy::release::{HISTORY_NOTES, Record};
use notes::{catalog, fixed_seed, note, stored};
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

fn answer_lost() -> Event {
    Event::Failed(Error::indeterminate("commit", "store", "answer lost"))
}

fn platform_down() -> Event {
    Event::Failed(Error::unreachable("read", "store", "connection refused"))
}

/// An attempt to accept note `mine`, based on revision 2, by a node with revision 2 in force.
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
    events: vec![platform_down()],
    verdict: Verdict::NotAccepted(platform_down_text()),
})]
#[case::platform_down_at_commit(Case {
    events: vec![Event::Catalog(stored(2)), platform_down()],
    verdict: Verdict::NotAccepted(platform_down_text()),
})]
#[case::answer_lost_after_the_write(Case {
    events: vec![Event::Catalog(stored(2)), answer_lost(), Event::Record(Some(record("mine", 3)))],
    verdict: Verdict::Accepted { revision: Revision(3), repeated: true },
})]
#[case::answer_lost_before_the_write(Case {
    events: vec![Event::Catalog(stored(2)), answer_lost(), Event::Record(None), Event::Committed],
    verdict: Verdict::Accepted { revision: Revision(3), repeated: false },
})]
#[case::answer_lost_and_stale_read_back(Case {
    events: vec![
        Event::Catalog(stored(2)),
        answer_lost(),
        Event::Record(None),
        Event::Outdated { catalog: stored(3), record: Some(record("mine", 3)) },
    ],
    verdict: Verdict::Accepted { revision: Revision(3), repeated: true },
})]
#[case::answer_lost_and_another_note_accepted(Case {
    events: vec![
        Event::Catalog(stored(2)),
        answer_lost(),
        Event::Record(Some(record("other", 3))),
        Event::Records(vec![record("other", 3)]),
    ],
    verdict: Verdict::Conflict {
        base: Revision(2),
        found: Revision(3),
        since: vec![record("other", 3)],
    },
})]
#[case::answer_lost_and_platform_down(Case {
    events: vec![Event::Catalog(stored(2)), answer_lost(), platform_down()],
    verdict: Verdict::Unknown(platform_down_text()),
})]
#[case::every_answer_lost(Case {
    events: vec![
        Event::Catalog(stored(2)),
        answer_lost(),
        Event::Record(None),
        answer_lost(),
        Event::Record(None),
        answer_lost(),
        Event::Record(None),
    ],
    verdict: Verdict::Unknown("the note could not be committed".into()),
})]
#[case::conflicting_note_found_at_commit(Case {
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
#[case::conflicting_notes_found_at_read(Case {
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
#[case::conflicting_notes_unreadable(Case {
    events: vec![Event::Catalog(stored(4)), Event::Record(Some(record("other", 3))), platform_down()],
    verdict: Verdict::Conflict { base: Revision(2), found: Revision(4), since: Vec::new() },
})]
#[case::sent_again_after_acceptance(Case {
    events: vec![Event::Catalog(stored(4)), Event::Record(Some(record("mine", 3)))],
    verdict: Verdict::Accepted { revision: Revision(3), repeated: true },
})]
#[case::record_missing(Case {
    events: vec![Event::Catalog(stored(4)), Event::Record(None)],
    verdict: Verdict::Unknown("the record of the next revision could not be found".into()),
})]
#[case::stale_catalog_read(Case {
    events: vec![Event::Catalog(stored(1))],
    verdict: Verdict::NotAccepted(
        "the platform answers with revision 1, but 2 is in force".into(),
    ),
})]
#[case::no_catalog_read(Case {
    events: vec![Event::Catalog(None)],
    verdict: Verdict::NotAccepted(
        "the platform answers with revision 0, but 2 is in force".into(),
    ),
})]
fn attempt_returns_the_correct_verdict(#[case] case: Case) {
    let mut attempt = Attempt::new(note("mine", 2), Revision(2), "node", 9);
    let mut action = attempt.start();
    for event in case.events {
        assert!(
            !matches!(action, Action::Finish(_)),
            "attempt ended before {event:?}"
        );
        action = attempt.step(event);
    }
    assert_eq!(action, Action::Finish(case.verdict));
}

fn platform_down_text() -> compact_str::CompactString {
    match platform_down() {
        Event::Failed(error) => error.to_string().into(),
        _ => unreachable!("platform_down() returns a failure"),
    }
}

/// A note that differs from note `mine` based on revision 2.
struct UnusualNote {
    note: Note,
    events: Vec<Event>,
    is_expected: fn(&Verdict) -> bool,
}

#[rstest]
#[case::based_on_a_future_revision(UnusualNote {
    note: note("mine", 7),
    events: vec![Event::Catalog(stored(2))],
    is_expected: |verdict| matches!(verdict, Verdict::Conflict { found: Revision(2), .. }),
})]
#[case::not_applicable(UnusualNote {
    note: note("n0", 2),
    events: vec![Event::Catalog(stored(2))],
    is_expected: |verdict| matches!(verdict, Verdict::Refused(conflicts)
        if conflicts == &[Conflict::Exists { name: "n0".into() }]),
})]
#[case::identity_of_another_note(UnusualNote {
    note: Note { summary: "changed".into(), ..note("mine", 2) },
    events: vec![Event::Catalog(stored(3)), Event::Record(Some(record("mine", 3)))],
    is_expected: |verdict| matches!(verdict, Verdict::Reused(Revision(3))),
})]
fn unusual_note_gets_the_expected_verdict(#[case] case: UnusualNote) {
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
fn note_based_on_a_pruned_revision_conflicts() {
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

/// A simulated key-value service with compare-and-swap, lost answers, late writes and stale reads.
#[derive(Default)]
struct Store {
    catalogs: Vec<StoredCatalog>,
    records: BTreeMap<u64, Record>,
    late_commits: Vec<Commit>,
}

/// Fault of one call.
#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    Unreachable,
    /// The call is lost before it takes effect.
    LostBefore,
    /// The call takes effect and its answer is lost.
    LostAfter,
    /// The call takes effect later.
    Late,
    /// The read returns an outdated value.
    Stale,
}

impl Store {
    fn current(&self) -> Option<StoredCatalog> {
        self.catalogs.last().cloned()
    }

    fn apply(&mut self, commit: &Commit) -> bool {
        if self.current().map(|stored| stored.mod_revision) != commit.expected {
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
            return platform_down();
        }
        let is_stale = matches!(fault, Fault::Stale);
        match action {
            Action::ReadCatalog if is_stale => {
                Event::Catalog(self.catalogs.iter().rev().nth(1).cloned())
            }
            Action::ReadCatalog => Event::Catalog(self.current()),
            Action::ReadRecord(_) if is_stale => Event::Record(None),
            Action::ReadRecord(at) => Event::Record(self.records.get(&at.0).cloned()),
            Action::ReadSince(from) => Event::Records(
                self.records
                    .range(from.0..)
                    .map(|(_, record)| record.clone())
                    .collect(),
            ),
            Action::Commit(commit) => self.commit(commit, fault),
            Action::Finish(_) => unreachable!("a finished attempt makes no call"),
        }
    }

    fn commit(&mut self, commit: &Commit, fault: Fault) -> Event {
        match fault {
            Fault::LostBefore => return answer_lost(),
            Fault::Late => {
                self.late_commits.push(commit.clone());
                return answer_lost();
            }
            _ => {}
        }
        let applied = self.apply(commit);
        if matches!(fault, Fault::LostAfter) {
            return answer_lost();
        }
        if applied {
            return Event::Committed;
        }
        Event::Outdated {
            catalog: self.current(),
            record: self.records.get(&commit.record.revision.0).cloned(),
        }
    }

    fn apply_late_commits(&mut self) {
        for commit in std::mem::take(&mut self.late_commits) {
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
        1 => Just(Fault::Stale),
    ]
}

/// A race of two operators; each step advances one of them under one fault.
#[derive(Clone, Debug)]
struct Race {
    bases: [u64; 2],
    steps: Vec<(usize, Fault, bool)>,
}

fn races() -> impl Strategy<Value = Race> {
    let steps = prop::collection::vec((0..2_usize, faults(), any::<bool>()), 4..40);
    ([0..2_u64, 0..2_u64], steps).prop_map(|(bases, steps)| Race { bases, steps })
}

/// Runs a race and returns the store and the verdict of each operator.
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
    let fault_free = (0..24).map(|step| (step % 2, Fault::None, true));
    for (operator, fault, flush_first) in race.steps.iter().copied().chain(fault_free) {
        if flush_first {
            store.apply_late_commits();
        }
        if verdicts[operator].is_none() {
            let event = store.call(&actions[operator], fault);
            actions[operator] = attempts[operator].step(event);
            if let Action::Finish(verdict) = &actions[operator] {
                verdicts[operator] = Some(verdict.clone());
            }
        }
    }
    store.apply_late_commits();
    (store, verdicts)
}

/// Returns the revisions at which the store accepted a note.
fn acceptances(store: &Store, id: &str) -> Vec<Revision> {
    store
        .catalogs
        .iter()
        .filter(|stored| stored.catalog.note == id)
        .map(|stored| stored.catalog.revision)
        .collect()
}

proptest! {
    #![proptest_config(fixed_seed(2_000))]

    #[test]
    fn verdicts_match_the_store_under_races_and_lost_answers(race in races()) {
        let (store, verdicts) = run(&race);
        for (index, verdict) in verdicts.iter().enumerate() {
            let accepted_at = acceptances(&store, ["left", "right"][index]);
            prop_assert!(accepted_at.len() <= 1, "note accepted twice");
            match verdict.as_ref().expect("every attempt ends") {
                Verdict::Accepted { revision, .. } => prop_assert_eq!(&accepted_at, &vec![*revision]),
                Verdict::Unknown(_) => {}
                other => prop_assert!(accepted_at.is_empty(), "{other:?}, but the note was accepted"),
            }
        }
        for pair in store.catalogs.windows(2) {
            prop_assert_eq!(pair[1].catalog.revision.0, pair[0].catalog.revision.0 + 1);
        }
    }

}

/// Accepts a note without reading back: a lost answer counts as a failure, and the note is rebased
/// on the current revision.
fn accept_without_read_back(store: &mut Store, id: &str, faults: &[Fault]) -> Option<Revision> {
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
fn attempt_without_read_back_misses_its_own_acceptance() {
    let race = Race {
        bases: [1, 1],
        steps: vec![(0, Fault::None, true), (0, Fault::LostAfter, true)],
    };
    let (mut store, _) = run(&Race {
        bases: [0, 0],
        steps: Vec::new(),
    });
    let reported = accept_without_read_back(&mut store, "left", &[Fault::LostAfter, Fault::None]);
    assert_eq!(
        (reported, acceptances(&store, "left").len()),
        (None, 1),
        "the attempt without read-back must miss its own acceptance"
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
