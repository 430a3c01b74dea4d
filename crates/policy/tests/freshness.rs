//! A node whose calls for changes hear of none, in a world without network.

use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;
use jackdaw_policy::freshness::{Finding, Freshness, LEADER_WAIT, LONG_WAIT, SHORT_WAIT};
use rstest::rstest;

/// Time within which a configuration must be in force.
const APPLIED: Millis = Millis(2_000);
/// Pause between two ticks.
const TICK: Millis = Millis(250);
/// Time at which a new version is written.
const WRITTEN_AT: Millis = Millis(10_100);

/// What happens to a node while version 2 replaces version 1.
#[derive(Clone, Copy, Debug)]
struct Case {
    /// Whether peers tell their version with each tick.
    hears_peers: bool,
    /// Time from which peers are no longer heard.
    peers_fall_silent_at: Millis,
    is_leading: bool,
    /// Time in which the node stands still.
    suspended: (Millis, Millis),
    /// Whether the monotonic clock stands still as well.
    is_clock_suspended: bool,
    /// Time at which the node can act at the latest: the write, or the end of its suspension.
    able_at: Millis,
}

const CALM: Case = Case {
    hears_peers: true,
    peers_fall_silent_at: Millis(u64::MAX),
    is_leading: false,
    suspended: (Millis(0), Millis(0)),
    is_clock_suspended: false,
    able_at: WRITTEN_AT,
};

/// Returns the time at which a node has version 2 in force. Its waiting calls hear of nothing until
/// their waits end; whatever it reads or asks for anew is answered at once.
fn time_in_force(case: &Case) -> Millis {
    let mut freshness = Freshness::default();
    freshness.apply(1, Instant(0));
    let mut call_ends = Millis(0);
    let mut clock = 0;
    for time in (0..60_000).step_by(TICK.0 as usize).map(Millis) {
        let is_suspended = case.suspended.0 <= time && time < case.suspended.1;
        if !(is_suspended && case.is_clock_suspended) {
            clock += TICK.0;
        }
        if is_suspended {
            continue;
        }
        let now = Instant(clock);
        let is_written = time >= WRITTEN_AT;
        let finding = freshness.tick(case.is_leading, now, 1_000_000 + time.0);
        let heard = if case.hears_peers && time < case.peers_fall_silent_at {
            freshness.hear("peer", if is_written { 2 } else { 1 }, now)
        } else {
            None
        };
        if is_written && matches!(finding, Some(Finding::Suspended(_))) {
            return time;
        }
        if matches!(heard, Some(Finding::Behind { newer: 2, .. })) {
            return time;
        }
        let is_replaced = matches!(finding, Some(Finding::Alone | Finding::Leading));
        if time >= call_ends || is_replaced {
            if is_written {
                return time;
            }
            call_ends = Millis(time.0 + freshness.wait().0);
        }
    }
    Millis(u64::MAX)
}

// Guards against a configuration that stays in force until a silent call of 20 s ends.
#[rstest]
#[case::peers_know(CALM)]
#[case::no_peers(Case { hears_peers: false, ..CALM })]
#[case::leader_without_word_from_peers(Case { is_leading: true, hears_peers: false, ..CALM })]
#[case::peers_fall_silent_before_the_write(Case { peers_fall_silent_at: Millis(9_000), ..CALM })]
#[case::peers_fall_silent_at_the_write(Case { peers_fall_silent_at: Millis(10_000), ..CALM })]
#[case::frozen_over_the_write(Case {
    suspended: (Millis(9_000), Millis(15_000)), able_at: Millis(15_000), ..CALM })]
#[case::frozen_without_peers(Case {
    suspended: (Millis(9_000), Millis(15_000)), able_at: Millis(15_000), hears_peers: false, ..CALM })]
#[case::suspended_with_its_clock(Case {
    suspended: (Millis(9_000), Millis(15_000)), is_clock_suspended: true,
    able_at: Millis(15_000), hears_peers: false, ..CALM })]
fn configuration_is_in_force_in_time_although_waiting_calls_hear_nothing(#[case] case: Case) {
    let took = time_in_force(&case).0.saturating_sub(case.able_at.0);
    assert!(took <= APPLIED.0, "took {took} ms");
}

// Guards against calls of the store that grow with the number of nodes.
#[test]
fn only_leaders_and_nodes_without_peers_ask_the_store_often() {
    let wait = |is_leading: bool, hears_peers: bool| {
        let mut freshness = Freshness::default();
        freshness.apply(1, Instant(0));
        freshness.tick(is_leading, Instant(0), 0);
        if hears_peers {
            freshness.hear("peer", 1, Instant(1));
        }
        freshness.wait()
    };
    assert_eq!(wait(false, true), LONG_WAIT);
    assert_eq!(wait(true, true), SHORT_WAIT);
    assert_eq!(wait(false, false), SHORT_WAIT);
}

// Guards against a peer that is asked with each of its messages.
#[test]
fn a_peer_is_asked_again_only_after_a_while() {
    let mut freshness = Freshness::default();
    freshness.apply(1, Instant(0));
    assert!(freshness.hear("a", 2, Instant(10)).is_some());
    assert_eq!(freshness.hear("b", 2, Instant(20)), None);
    assert!(freshness.hear("b", 3, Instant(30)).is_some());
    assert!(freshness.hear("a", 3, Instant(1_000)).is_some());
    freshness.apply(3, Instant(1_001));
    assert_eq!(freshness.hear("a", 3, Instant(2_000)), None);
    assert_eq!(freshness.age(Instant(2_500)), Millis(500));
}

// Guards against a zone without a leader whose nodes' calls hear nothing of its end.
#[test]
fn a_silent_leader_is_looked_up_once() {
    let mut freshness = Freshness::default();
    freshness.apply(1, Instant(0));
    assert_eq!(freshness.leader_wait(), LEADER_WAIT);
    freshness.hear_of_leader(Millis(0), Instant(0));
    freshness.hear_of_leader(Millis(500), Instant(100));
    assert_eq!(freshness.leader_wait(), LONG_WAIT);
    let mut findings = Vec::new();
    for tick in 1..40 {
        let time = tick * TICK.0;
        freshness.hear("peer", 1, Instant(time));
        if let Some(finding) = freshness.tick(false, Instant(time), time) {
            findings.push((time, finding));
        }
    }
    assert_eq!(findings, [(6_000, Finding::LeaderSilent)]);
    assert_eq!(freshness.leader_wait(), LEADER_WAIT);
}

// Guards against calls of the store that grow with the number of nodes, since few hear a leader themselves.
#[rstest]
#[case::today(6)]
#[case::grown_zone(24)]
#[case::zone_of_the_target(92)]
fn news_of_the_leader_reaches_all_nodes_of_a_zone(#[case] nodes: usize) {
    const FANOUT: usize = 4;
    /// One in this many datagrams stays within the zone.
    const ZONES: usize = 4;
    let mut random = fastrand::Rng::with_seed(7);
    let mut zone = vec![Freshness::default(); nodes];
    let mut lookups = 0;
    for tick in 0..240 {
        let now = Instant(tick * TICK.0);
        for idx in 0..nodes {
            let finding = zone[idx].tick(idx == 0, now, now.0);
            lookups += usize::from(finding == Some(Finding::LeaderSilent));
            let Some(age) = zone[idx].leader_age(now) else {
                continue;
            };
            for _ in 0..FANOUT {
                let recipient = random.usize(..nodes);
                if random.usize(..ZONES) == 0 && recipient != idx {
                    zone[recipient].hear_of_leader(age, now);
                }
            }
        }
    }
    let last = Instant(239 * TICK.0);
    let hearing = zone.iter().filter(|node| node.leader_age(last).is_some());
    assert_eq!(hearing.count(), nodes);
    assert!(
        lookups * 20 <= nodes,
        "{lookups} lookups in a minute by {nodes} nodes"
    );
}
