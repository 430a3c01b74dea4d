//! The election: who leads, with which fencing number, and until when.

use jackdaw_core::errors::Error;
use jackdaw_core::store::{Committed, Entry, Lease};
use jackdaw_core::time::Instant;
use jackdaw_core::units::{Fence, Millis};
use jackdaw_policy::lease::{Action, Authority, Election, Event, Options};
use rstest::rstest;

fn options(engines_check_fence: bool) -> Options {
    Options {
        node: "n1".into(),
        zone: "a".into(),
        ttl: Millis(6_000),
        clock_margin: Millis(1_000),
        order_timeout: Millis(2_000),
        retry_delay: Millis(500),
        candidacy_delay: Millis(100),
        engines_check_fence,
    }
}

fn entry(node: &str, revision: u64, lease: i64) -> Entry {
    Entry {
        key: "/jackdaw/zones/a/leader".into(),
        value: node.into(),
        create_revision: revision,
        mod_revision: revision,
        lease: Some(Lease(lease)),
    }
}

fn free() -> Event {
    Event::Observed {
        entry: None,
        revision: 0,
    }
}

fn observed(node: &str, revision: u64, lease: i64) -> Event {
    Event::Observed {
        entry: Some(entry(node, revision, lease)),
        revision,
    }
}

fn lost_answer() -> Error {
    Error::indeterminate("test", "key-value service", "answer lost")
}

fn not_sent() -> Error {
    Error::unreachable("test", "key-value service", "not sent")
}

/// Events at times, the actions that the last one brings about, and the authority after it.
struct Case {
    events: Vec<(u64, Event)>,
    actions: Vec<Action>,
    until: Option<u64>,
}

/// Events up to the creation of the key with lease 7, asked for at 100 ms.
fn creating() -> Vec<(u64, Event)> {
    vec![
        (0, free()),
        (100, Event::Tick),
        (110, Event::Granted(Instant(100), Ok(Lease(7)))),
    ]
}

/// Events up to leading with fencing number 42.
fn leading() -> Vec<(u64, Event)> {
    let created = Event::Created(Instant(110), Ok(Committed::Yes(42)));
    [creating(), vec![(120, created)]].concat()
}

fn then(mut events: Vec<(u64, Event)>, more: Vec<(u64, Event)>) -> Vec<(u64, Event)> {
    events.extend(more);
    events
}

fn acquired(now: u64) -> Action {
    Action::Acquired(Authority {
        fence: Fence(42),
        orders_from: Instant(now + 9_000),
        until: Instant(5_100),
    })
}

#[rstest]
#[case::waits_its_turn(Case { events: vec![(0, free()), (99, Event::Tick)], actions: vec![], until: None })]
#[case::runs_for_a_free_key(Case { events: vec![(0, free()), (100, Event::Tick)], actions: vec![Action::Grant(Millis(6_000))], until: None })]
#[case::does_not_run_against_a_leader(Case { events: vec![(0, free()), (50, observed("n2", 9, 3)), (100, Event::Tick)], actions: vec![], until: None })]
#[case::runs_when_the_leader_is_gone(Case { events: vec![(0, observed("n2", 9, 3)), (50, free()), (150, Event::Tick)], actions: vec![Action::Grant(Millis(6_000))], until: None })]
#[case::grant_lost(Case { events: vec![(0, free()), (100, Event::Tick), (200, Event::Granted(Instant(100), Err(lost_answer()))), (700, Event::Tick)], actions: vec![Action::Grant(Millis(6_000))], until: None })]
#[case::creates_with_the_lease(Case { events: creating(), actions: vec![Action::Create(Lease(7))], until: None })]
#[case::acquires_with_the_creation_revision(Case { events: leading(), actions: vec![acquired(120)], until: Some(5_100) })]
#[case::another_was_first(Case { events: then(creating(), vec![(120, Event::Created(Instant(110), Ok(Committed::No(vec![entry("n2", 41, 6)]))))]), actions: vec![Action::Revoke(Lease(7))], until: None })]
#[case::creation_answer_lost(Case { events: then(creating(), vec![(120, Event::Created(Instant(110), Err(lost_answer())))]), actions: vec![Action::Read], until: None })]
#[case::creation_answer_lost_and_it_happened(Case { events: then(creating(), vec![(120, Event::Created(Instant(110), Err(lost_answer()))), (130, Event::Read(Instant(120), Ok(Some(entry("n1", 42, 7)))))]), actions: vec![acquired(130)], until: Some(5_100) })]
#[case::creation_answer_lost_and_another_leads(Case { events: then(creating(), vec![(120, Event::Created(Instant(110), Err(lost_answer()))), (130, Event::Read(Instant(120), Ok(Some(entry("n2", 42, 8)))))]), actions: vec![Action::Revoke(Lease(7))], until: None })]
#[case::creation_still_under_way(Case { events: then(creating(), vec![(120, Event::Created(Instant(110), Err(lost_answer()))), (130, Event::Read(Instant(120), Ok(None))), (630, Event::Tick)]), actions: vec![Action::Create(Lease(7))], until: None })]
#[case::creation_landed_before_its_repeat(Case { events: then(creating(), vec![(120, Event::Created(Instant(110), Err(lost_answer()))), (130, Event::Read(Instant(120), Ok(None))), (630, Event::Tick), (640, Event::Created(Instant(630), Ok(Committed::No(vec![entry("n1", 42, 7)]))))]), actions: vec![acquired(640)], until: Some(5_100) })]
#[case::creation_not_sent(Case { events: then(creating(), vec![(120, Event::Created(Instant(110), Err(not_sent()))), (620, Event::Tick)]), actions: vec![Action::Create(Lease(7))], until: None })]
#[case::frozen_between_creation_and_answer(Case { events: then(creating(), vec![(5_100, Event::Created(Instant(110), Ok(Committed::Yes(42))))]), actions: vec![Action::Revoke(Lease(7))], until: None })]
#[case::grant_answer_after_the_lease_lapsed(Case { events: vec![(0, free()), (100, Event::Tick), (9_000, Event::Granted(Instant(100), Ok(Lease(7))))], actions: vec![Action::Create(Lease(7)), Action::Revoke(Lease(7))], until: None })]
#[case::renews_after_a_third(Case { events: then(leading(), vec![(2_100, Event::Tick)]), actions: vec![Action::Renew(Lease(7))], until: Some(5_100) })]
#[case::one_renewal_at_a_time(Case { events: then(leading(), vec![(2_100, Event::Tick), (2_200, Event::Tick)]), actions: vec![], until: Some(5_100) })]
#[case::renewal_counts_from_its_sending(Case { events: then(leading(), vec![(2_100, Event::Tick), (4_000, Event::Renewed(Instant(2_100), Ok(Millis(6_000))))]), actions: vec![], until: Some(7_100) })]
#[case::renewal_shorter_than_asked(Case { events: then(leading(), vec![(2_100, Event::Tick), (2_200, Event::Renewed(Instant(2_100), Ok(Millis(5_000))))]), actions: vec![], until: Some(6_100) })]
#[case::renewal_lost(Case { events: then(leading(), vec![(2_100, Event::Tick), (2_200, Event::Renewed(Instant(2_100), Err(lost_answer()))), (2_700, Event::Tick)]), actions: vec![Action::Renew(Lease(7))], until: Some(5_100) })]
#[case::lease_lapsed(Case { events: then(leading(), vec![(2_100, Event::Tick), (2_200, Event::Renewed(Instant(2_100), Ok(Millis(0))))]), actions: vec![Action::Lost(Fence(42)), Action::Revoke(Lease(7))], until: None })]
#[case::frozen_past_the_lease(Case { events: then(leading(), vec![(5_100, Event::Tick)]), actions: vec![Action::Lost(Fence(42)), Action::Revoke(Lease(7))], until: None })]
#[case::renewal_answer_after_the_authority_ended(Case { events: then(leading(), vec![(2_100, Event::Tick), (5_100, Event::Renewed(Instant(2_100), Ok(Millis(6_000))))]), actions: vec![Action::Lost(Fence(42)), Action::Revoke(Lease(7))], until: None })]
#[case::another_key_observed(Case { events: then(leading(), vec![(200, observed("n2", 43, 8))]), actions: vec![Action::Lost(Fence(42)), Action::Revoke(Lease(7))], until: None })]
#[case::old_observation(Case { events: then(leading(), vec![(200, observed("n2", 41, 8))]), actions: vec![], until: Some(5_100) })]
#[case::old_read_without_a_revision(Case { events: then(leading(), vec![(200, free())]), actions: vec![], until: Some(5_100) })]
#[case::own_key_observed(Case { events: then(leading(), vec![(200, observed("n1", 42, 7))]), actions: vec![], until: Some(5_100) })]
#[case::write_superseded(Case { events: then(leading(), vec![(200, Event::Superseded(Fence(42)))]), actions: vec![Action::Lost(Fence(42)), Action::Revoke(Lease(7))], until: None })]
#[case::write_of_an_earlier_leadership_superseded(Case { events: then(leading(), vec![(200, Event::Superseded(Fence(40)))]), actions: vec![], until: Some(5_100) })]
#[case::hands_over(Case { events: then(leading(), vec![(200, Event::Resign)]), actions: vec![Action::Lost(Fence(42)), Action::Revoke(Lease(7))], until: None })]
#[case::resigned_does_not_run(Case { events: then(leading(), vec![(200, Event::Resign), (300, free()), (900, Event::Tick)]), actions: vec![], until: None })]
#[case::resigned_while_granting(Case { events: vec![(0, free()), (100, Event::Tick), (110, Event::Resign), (120, Event::Granted(Instant(100), Ok(Lease(7))))], actions: vec![Action::Revoke(Lease(7))], until: None })]
#[case::runs_again(Case { events: then(leading(), vec![(200, Event::Resign), (300, Event::Rejoin), (310, Event::Read(Instant(300), Ok(None))), (410, Event::Tick)]), actions: vec![Action::Grant(Millis(6_000))], until: None })]
fn event_brings_about(#[case] case: Case) {
    let mut election = Election::new(options(false));
    let mut last = Vec::new();
    let mut now = Instant(0);
    for (at, event) in case.events {
        now = Instant(at);
        last = election.step(event, now);
    }
    last.retain(|action| !matches!(action, Action::Explain(_)));
    assert_eq!(last, case.actions);
    let until = election.authority(now).map(|authority| authority.until.0);
    assert_eq!(until, case.until);
}

#[rstest]
#[case::engines_check_the_number(true, 120)]
#[case::engines_ignore_the_number(false, 120 + 6_000 + 2_000 + 1_000)]
fn first_order_waits_if_engines_ignore_the_number(#[case] check: bool, #[case] first: u64) {
    let mut election = Election::new(options(check));
    for (at, event) in leading() {
        election.step(event, Instant(at));
    }
    for at in [2_100, 4_100, 6_100, 8_100] {
        election.step(Event::Tick, Instant(at));
        election.step(Event::Renewed(Instant(at), Ok(Millis(6_000))), Instant(at));
    }
    let authority = election.authority(Instant(9_500)).expect("authority");
    assert!(!authority.may_order(Instant(first - 1)));
    assert!(authority.may_order(Instant(first)));
    assert!(!authority.may_order(authority.until));
}

/// One hour of a leader and of a follower, in calls of the key-value service.
#[test]
fn steady_cost_is_one_call_for_each_renewal() {
    let mut leader = Election::new(options(true));
    for (at, event) in leading() {
        leader.step(event, Instant(at));
    }
    let mut follower = Election::new(options(true));
    follower.step(observed("n1", 42, 7), Instant(0));
    let mut calls = [0, 0];
    for now in (200..3_600_000).step_by(100).map(Instant) {
        for action in leader.step(Event::Tick, now) {
            assert!(matches!(action, Action::Renew(_)), "{action:?}");
            calls[0] += 1;
            leader.step(Event::Renewed(now, Ok(Millis(6_000))), now);
        }
        calls[1] += follower.step(Event::Tick, now).len();
    }
    assert_eq!(calls, [1_799, 0]);
}
