//! Tests of the leader election: actions per event, fencing numbers and the end of authority.

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

fn key_absent() -> Event {
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

/// Events with their times in ms, the actions returned by the last one, and the end of the
/// authority after it.
struct Case {
    events: Vec<(u64, Event)>,
    actions: Vec<Action>,
    until: Option<u64>,
}

/// Returns the events up to the creation of the key with lease 7, requested at 100 ms.
fn events_until_creation() -> Vec<(u64, Event)> {
    vec![
        (0, key_absent()),
        (100, Event::Tick),
        (110, Event::Granted(Instant(100), Ok(Lease(7)))),
    ]
}

/// Returns the events after which the node leads with fencing number 42.
fn events_until_leading() -> Vec<(u64, Event)> {
    let created = Event::Created(Instant(110), Ok(Committed::Yes(42)));
    [events_until_creation(), vec![(120, created)]].concat()
}

fn followed_by(mut events: Vec<(u64, Event)>, more: Vec<(u64, Event)>) -> Vec<(u64, Event)> {
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
#[case::no_action_before_the_candidacy_delay(Case { events: vec![(0, key_absent()), (99, Event::Tick)], actions: vec![], until: None })]
#[case::grant_after_the_candidacy_delay(Case { events: vec![(0, key_absent()), (100, Event::Tick)], actions: vec![Action::Grant(Millis(6_000))], until: None })]
#[case::no_candidacy_while_another_node_leads(Case { events: vec![(0, key_absent()), (50, observed("n2", 9, 3)), (100, Event::Tick)], actions: vec![], until: None })]
#[case::grant_after_the_leader_is_gone(Case { events: vec![(0, observed("n2", 9, 3)), (50, key_absent()), (150, Event::Tick)], actions: vec![Action::Grant(Millis(6_000))], until: None })]
#[case::grant_repeated_after_a_lost_answer(Case { events: vec![(0, key_absent()), (100, Event::Tick), (200, Event::Granted(Instant(100), Err(lost_answer()))), (700, Event::Tick)], actions: vec![Action::Grant(Millis(6_000))], until: None })]
#[case::key_created_with_the_granted_lease(Case { events: events_until_creation(), actions: vec![Action::Create(Lease(7))], until: None })]
#[case::leads_with_the_creation_revision_as_fence(Case { events: events_until_leading(), actions: vec![acquired(120)], until: Some(5_100) })]
#[case::lease_revoked_if_another_node_created_the_key(Case { events: followed_by(events_until_creation(), vec![(120, Event::Created(Instant(110), Ok(Committed::No(vec![entry("n2", 41, 6)]))))]), actions: vec![Action::Revoke(Lease(7))], until: None })]
#[case::key_read_after_a_lost_creation_answer(Case { events: followed_by(events_until_creation(), vec![(120, Event::Created(Instant(110), Err(lost_answer())))]), actions: vec![Action::Read], until: None })]
#[case::leads_if_the_creation_with_a_lost_answer_succeeded(Case { events: followed_by(events_until_creation(), vec![(120, Event::Created(Instant(110), Err(lost_answer()))), (130, Event::Read(Instant(120), Ok(Some(entry("n1", 42, 7)))))]), actions: vec![acquired(130)], until: Some(5_100) })]
#[case::lease_revoked_if_another_node_leads_after_a_lost_answer(Case { events: followed_by(events_until_creation(), vec![(120, Event::Created(Instant(110), Err(lost_answer()))), (130, Event::Read(Instant(120), Ok(Some(entry("n2", 42, 8)))))]), actions: vec![Action::Revoke(Lease(7))], until: None })]
#[case::creation_repeated_if_the_read_finds_no_key(Case { events: followed_by(events_until_creation(), vec![(120, Event::Created(Instant(110), Err(lost_answer()))), (130, Event::Read(Instant(120), Ok(None))), (630, Event::Tick)]), actions: vec![Action::Create(Lease(7))], until: None })]
#[case::leads_if_the_repeated_creation_finds_its_own_key(Case { events: followed_by(events_until_creation(), vec![(120, Event::Created(Instant(110), Err(lost_answer()))), (130, Event::Read(Instant(120), Ok(None))), (630, Event::Tick), (640, Event::Created(Instant(630), Ok(Committed::No(vec![entry("n1", 42, 7)]))))]), actions: vec![acquired(640)], until: Some(5_100) })]
#[case::unsent_creation_is_repeated(Case { events: followed_by(events_until_creation(), vec![(120, Event::Created(Instant(110), Err(not_sent()))), (620, Event::Tick)]), actions: vec![Action::Create(Lease(7))], until: None })]
#[case::lease_revoked_if_the_creation_answer_is_too_late(Case { events: followed_by(events_until_creation(), vec![(5_100, Event::Created(Instant(110), Ok(Committed::Yes(42))))]), actions: vec![Action::Revoke(Lease(7))], until: None })]
#[case::lease_revoked_if_the_grant_answer_is_too_late(Case { events: vec![(0, key_absent()), (100, Event::Tick), (9_000, Event::Granted(Instant(100), Ok(Lease(7))))], actions: vec![Action::Create(Lease(7)), Action::Revoke(Lease(7))], until: None })]
#[case::renewal_after_a_third_of_the_ttl(Case { events: followed_by(events_until_leading(), vec![(2_100, Event::Tick)]), actions: vec![Action::Renew(Lease(7))], until: Some(5_100) })]
#[case::no_second_renewal_while_one_is_in_flight(Case { events: followed_by(events_until_leading(), vec![(2_100, Event::Tick), (2_200, Event::Tick)]), actions: vec![], until: Some(5_100) })]
#[case::renewed_authority_counts_from_the_sending_time(Case { events: followed_by(events_until_leading(), vec![(2_100, Event::Tick), (4_000, Event::Renewed(Instant(2_100), Ok(Millis(6_000))))]), actions: vec![], until: Some(7_100) })]
#[case::renewed_authority_is_limited_to_the_granted_ttl(Case { events: followed_by(events_until_leading(), vec![(2_100, Event::Tick), (2_200, Event::Renewed(Instant(2_100), Ok(Millis(5_000))))]), actions: vec![], until: Some(6_100) })]
#[case::renewal_repeated_after_a_lost_answer(Case { events: followed_by(events_until_leading(), vec![(2_100, Event::Tick), (2_200, Event::Renewed(Instant(2_100), Err(lost_answer()))), (2_700, Event::Tick)]), actions: vec![Action::Renew(Lease(7))], until: Some(5_100) })]
#[case::leadership_lost_if_the_lease_has_expired(Case { events: followed_by(events_until_leading(), vec![(2_100, Event::Tick), (2_200, Event::Renewed(Instant(2_100), Ok(Millis(0))))]), actions: vec![Action::Lost(Fence(42)), Action::Revoke(Lease(7))], until: None })]
#[case::leadership_lost_after_a_freeze_beyond_the_lease(Case { events: followed_by(events_until_leading(), vec![(5_100, Event::Tick)]), actions: vec![Action::Lost(Fence(42)), Action::Revoke(Lease(7))], until: None })]
#[case::leadership_lost_if_the_renewal_answer_is_too_late(Case { events: followed_by(events_until_leading(), vec![(2_100, Event::Tick), (5_100, Event::Renewed(Instant(2_100), Ok(Millis(6_000))))]), actions: vec![Action::Lost(Fence(42)), Action::Revoke(Lease(7))], until: None })]
#[case::leadership_lost_if_a_newer_key_is_observed(Case { events: followed_by(events_until_leading(), vec![(200, observed("n2", 43, 8))]), actions: vec![Action::Lost(Fence(42)), Action::Revoke(Lease(7))], until: None })]
#[case::older_revision_is_ignored(Case { events: followed_by(events_until_leading(), vec![(200, observed("n2", 41, 8))]), actions: vec![], until: Some(5_100) })]
#[case::read_without_a_revision_is_ignored(Case { events: followed_by(events_until_leading(), vec![(200, key_absent())]), actions: vec![], until: Some(5_100) })]
#[case::own_key_keeps_the_leadership(Case { events: followed_by(events_until_leading(), vec![(200, observed("n1", 42, 7))]), actions: vec![], until: Some(5_100) })]
#[case::leadership_lost_if_a_write_is_superseded(Case { events: followed_by(events_until_leading(), vec![(200, Event::Superseded(Fence(42)))]), actions: vec![Action::Lost(Fence(42)), Action::Revoke(Lease(7))], until: None })]
#[case::superseded_write_of_an_earlier_leadership_is_ignored(Case { events: followed_by(events_until_leading(), vec![(200, Event::Superseded(Fence(40)))]), actions: vec![], until: Some(5_100) })]
#[case::resignation_revokes_the_lease(Case { events: followed_by(events_until_leading(), vec![(200, Event::Resign)]), actions: vec![Action::Lost(Fence(42)), Action::Revoke(Lease(7))], until: None })]
#[case::no_candidacy_after_a_resignation(Case { events: followed_by(events_until_leading(), vec![(200, Event::Resign), (300, key_absent()), (900, Event::Tick)]), actions: vec![], until: None })]
#[case::lease_granted_after_a_resignation_is_revoked(Case { events: vec![(0, key_absent()), (100, Event::Tick), (110, Event::Resign), (120, Event::Granted(Instant(100), Ok(Lease(7))))], actions: vec![Action::Revoke(Lease(7))], until: None })]
#[case::candidacy_after_rejoining(Case { events: followed_by(events_until_leading(), vec![(200, Event::Resign), (300, Event::Rejoin), (310, Event::Read(Instant(300), Ok(None))), (410, Event::Tick)]), actions: vec![Action::Grant(Millis(6_000))], until: None })]
fn last_event_returns_actions_and_sets_authority(#[case] case: Case) {
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
fn first_order_waits_if_engines_ignore_the_number(
    #[case] engines_check_fence: bool,
    #[case] first_order_at: u64,
) {
    let mut election = Election::new(options(engines_check_fence));
    for (at, event) in events_until_leading() {
        election.step(event, Instant(at));
    }
    for at in [2_100, 4_100, 6_100, 8_100] {
        election.step(Event::Tick, Instant(at));
        election.step(Event::Renewed(Instant(at), Ok(Millis(6_000))), Instant(at));
    }
    let authority = election.authority(Instant(9_500)).expect("authority");
    assert!(!authority.may_order(Instant(first_order_at - 1)));
    assert!(authority.may_order(Instant(first_order_at)));
    assert!(!authority.may_order(authority.until));
}

/// Counts the calls to the key-value service of a leader and of a follower within one hour.
#[test]
fn leader_only_renews_and_follower_makes_no_calls() {
    let mut leader = Election::new(options(true));
    for (at, event) in events_until_leading() {
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
