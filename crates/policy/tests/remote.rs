//! Groups of other zones are judged by what their own nodes tell.

use jackdaw_core::member::{Load, Membership, Report};
use jackdaw_core::placement::{Group, Placement, State};
use jackdaw_core::units::{Fence, Generation, Revision};
use jackdaw_policy::gossip::fact::{Fact, Key, Value, Version};
use jackdaw_policy::gossip::message::Summary;
use jackdaw_policy::gossip::table::Table;
use jackdaw_policy::remote::{self, MAX_SUMMARY_AGE};
use rstest::rstest;

const NOW_MS: u64 = 1_800_000_000_000;

fn placement(state: State) -> Placement {
    let group = Group {
        name: "b/1".into(),
        generation: Generation(2),
        model: "large".into(),
        version: "1".into(),
        adapters: Vec::new(),
        domain: "b/f1".into(),
        members: vec!["vm-1".into(), "vm-2".into()],
        state,
        spares: Vec::new(),
    };
    Placement {
        zone: "b".into(),
        groups: vec![group],
        ..Placement::default()
    }
}

fn report(vm: &str) -> Report {
    Report {
        vm: vm.into(),
        boot: 1,
        membership: Some(Membership {
            group: "b/1".into(),
            generation: Generation(2),
            model: "large".into(),
            version: "1".into(),
            rank: 0,
        }),
        ready: true,
        fence: Fence(0),
        load: Load::default(),
        leaving: false,
    }
}

fn fact(report: Report, teller: u64) -> Fact {
    Fact {
        key: Key::Report(report.vm.clone()),
        version: Version {
            major: NOW_MS,
            minor: teller,
        },
        value: Value::Report(report),
    }
}

fn leaving(vm: &str, boot: u64) -> Fact {
    Fact {
        key: Key::Leaving(vm.into()),
        version: Version {
            major: NOW_MS,
            minor: boot,
        },
        value: Value::Leaving,
    }
}

/// What the zone told, and whether its group may get requests.
struct Case {
    second: Option<Report>,
    leaving: Option<Fact>,
    state: State,
    word_age_ms: Option<u64>,
    is_whole: bool,
}

impl Default for Case {
    fn default() -> Self {
        Case {
            second: Some(report("vm-2")),
            leaving: None,
            state: State::Active,
            word_age_ms: Some(0),
            is_whole: true,
        }
    }
}

#[rstest]
#[case::all_told(Case::default())]
#[case::word_at_its_bound(Case { word_age_ms: Some(MAX_SUMMARY_AGE.0), ..Case::default() })]
#[case::word_too_old(Case {
    word_age_ms: Some(MAX_SUMMARY_AGE.0 + 1), is_whole: false, ..Case::default() })]
#[case::zone_never_heard(Case { word_age_ms: None, is_whole: false, ..Case::default() })]
#[case::draining(Case { state: State::Draining, is_whole: false, ..Case::default() })]
#[case::member_never_told(Case { second: None, is_whole: false, ..Case::default() })]
#[case::member_not_ready(Case {
    second: Some(Report { ready: false, ..report("vm-2") }), is_whole: false, ..Case::default() })]
#[case::member_in_no_group(Case {
    second: Some(Report { membership: None, ..report("vm-2") }),
    is_whole: false,
    ..Case::default()
})]
#[case::member_in_an_older_generation(Case {
    second: Some(Report {
        membership: report("vm-2").membership.map(|held| Membership {
            generation: Generation(1),
            ..held
        }),
        ..report("vm-2")
    }),
    is_whole: false,
    ..Case::default()
})]
#[case::member_says_that_it_leaves(Case {
    second: Some(Report { leaving: true, ..report("vm-2") }), is_whole: false, ..Case::default() })]
#[case::member_is_known_to_leave(Case {
    leaving: Some(leaving("vm-2", 1)), is_whole: false, ..Case::default() })]
#[case::former_boot_left(Case { leaving: Some(leaving("vm-2", 9)), ..Case::default() })]
fn group_of_another_zone_is_judged(#[case] case: Case) {
    let mut table = Table::default();
    table.merge(fact(report("vm-1"), 1));
    if let Some(report) = case.second {
        table.merge(fact(report, 1));
    }
    if let Some(fact) = case.leaving {
        table.merge(fact);
    }
    let summary = case.word_age_ms.map(|age| Summary {
        zone: "b".into(),
        at_unix_ms: NOW_MS - age,
        live: 1,
        lowest: Revision(1),
        highest: Revision(1),
    });
    let placement = placement(case.state);
    let whole = remote::whole_groups(&placement, &table, summary.as_ref(), NOW_MS).count();
    assert_eq!(whole == 1, case.is_whole);
}

/// What is told already, by which prober, and whether this node (1) speaks.
struct Word {
    told: Option<(Report, u64)>,
    seen: Report,
    speaks: bool,
}

#[rstest]
#[case::first_word(Word { told: None, seen: report("vm"), speaks: true })]
#[case::nothing_new(Word { told: Some((report("vm"), 2)), seen: report("vm"), speaks: false })]
#[case::worse_than_told(Word {
    told: Some((report("vm"), 2)),
    seen: Report { ready: false, ..report("vm") },
    speaks: true,
})]
#[case::another_prober_warns(Word {
    told: Some((Report { ready: false, ..report("vm") }, 2)), seen: report("vm"), speaks: false })]
#[case::own_warning_is_lifted(Word {
    told: Some((Report { ready: false, ..report("vm") }, 1)), seen: report("vm"), speaks: true })]
#[case::warner_is_no_prober_any_more(Word {
    told: Some((Report { ready: false, ..report("vm") }, 3)), seen: report("vm"), speaks: true })]
#[case::warned_of_a_former_boot(Word {
    told: Some((Report { ready: false, boot: 9, ..report("vm") }, 2)),
    seen: report("vm"),
    speaks: true,
})]
fn prober_speaks_when_it_has_news(#[case] case: Word) {
    let held = case.told.map(|(report, teller)| fact(report, teller));
    let is_prober = |teller| teller == 1 || teller == 2;
    assert_eq!(
        remote::must_publish(&case.seen, held.as_ref(), 1, is_prober),
        case.speaks
    );
}
