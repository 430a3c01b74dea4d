//! Tests of groups in other zones, which are evaluated from what their own nodes publish.

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

fn fact(report: Report, publisher: u64) -> Fact {
    Fact {
        key: Key::Report(report.vm.clone()),
        version: Version {
            major: NOW_MS,
            minor: publisher,
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

/// What the zone's nodes published, and whether its group may receive requests.
struct Case {
    second: Option<Report>,
    leaving: Option<Fact>,
    state: State,
    summary_age_ms: Option<u64>,
    is_whole: bool,
}

impl Default for Case {
    fn default() -> Self {
        Case {
            second: Some(report("vm-2")),
            leaving: None,
            state: State::Active,
            summary_age_ms: Some(0),
            is_whole: true,
        }
    }
}

#[rstest]
#[case::whole_if_every_member_reports(Case::default())]
#[case::whole_with_a_summary_at_the_maximum_age(Case { summary_age_ms: Some(MAX_SUMMARY_AGE.0), ..Case::default() })]
#[case::not_whole_with_an_outdated_summary(Case {
    summary_age_ms: Some(MAX_SUMMARY_AGE.0 + 1), is_whole: false, ..Case::default() })]
#[case::not_whole_without_a_summary(Case { summary_age_ms: None, is_whole: false, ..Case::default() })]
#[case::not_whole_while_draining(Case { state: State::Draining, is_whole: false, ..Case::default() })]
#[case::not_whole_without_a_members_report(Case { second: None, is_whole: false, ..Case::default() })]
#[case::not_whole_if_a_member_is_not_ready(Case {
    second: Some(Report { ready: false, ..report("vm-2") }), is_whole: false, ..Case::default() })]
#[case::not_whole_if_a_member_has_no_group(Case {
    second: Some(Report { membership: None, ..report("vm-2") }),
    is_whole: false,
    ..Case::default()
})]
#[case::not_whole_if_a_member_has_an_older_generation(Case {
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
#[case::not_whole_if_a_member_reports_leaving(Case {
    second: Some(Report { leaving: true, ..report("vm-2") }), is_whole: false, ..Case::default() })]
#[case::not_whole_if_a_member_is_marked_as_leaving(Case {
    leaving: Some(leaving("vm-2", 1)), is_whole: false, ..Case::default() })]
#[case::whole_if_only_a_former_boot_was_leaving(Case { leaving: Some(leaving("vm-2", 9)), ..Case::default() })]
fn group_of_another_zone_is_whole_if_recent_reports_say_so(#[case] case: Case) {
    let mut table = Table::default();
    table.merge(fact(report("vm-1"), 1));
    if let Some(report) = case.second {
        table.merge(fact(report, 1));
    }
    if let Some(fact) = case.leaving {
        table.merge(fact);
    }
    let summary = case.summary_age_ms.map(|age| Summary {
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

/// The report published so far with the id of its publisher, the report of this node (id 1), and
/// whether this node must publish it.
struct PublishCase {
    published: Option<(Report, u64)>,
    report: Report,
    must_publish: bool,
}

#[rstest]
#[case::first_report_is_published(PublishCase { published: None, report: report("vm"), must_publish: true })]
#[case::unchanged_report_is_not_published(PublishCase { published: Some((report("vm"), 2)), report: report("vm"), must_publish: false })]
#[case::report_that_became_worse_is_published(PublishCase {
    published: Some((report("vm"), 2)),
    report: Report { ready: false, ..report("vm") },
    must_publish: true,
})]
#[case::negative_report_of_another_prober_stays(PublishCase {
    published: Some((Report { ready: false, ..report("vm") }, 2)),
    report: report("vm"),
    must_publish: false,
})]
#[case::own_negative_report_is_replaced(PublishCase {
    published: Some((Report { ready: false, ..report("vm") }, 1)),
    report: report("vm"),
    must_publish: true,
})]
#[case::negative_report_of_a_former_prober_is_replaced(PublishCase {
    published: Some((Report { ready: false, ..report("vm") }, 3)),
    report: report("vm"),
    must_publish: true,
})]
#[case::negative_report_of_a_former_boot_is_replaced(PublishCase {
    published: Some((Report { ready: false, boot: 9, ..report("vm") }, 2)),
    report: report("vm"),
    must_publish: true,
})]
fn prober_publishes_changed_reports(#[case] case: PublishCase) {
    let held = case
        .published
        .map(|(report, publisher)| fact(report, publisher));
    let is_prober = |publisher| publisher == 1 || publisher == 2;
    assert_eq!(
        remote::must_publish(&case.report, held.as_ref(), 1, is_prober),
        case.must_publish
    );
}
