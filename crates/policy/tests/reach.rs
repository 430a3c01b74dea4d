//! Whether a node is cut off from all servers, by what it and others see.

use std::net::SocketAddr;

use jackdaw_core::time::Instant;
use jackdaw_policy::reach::{Failure, Link, Reach, Tracker};
use rstest::rstest;

/// What a node sees of a server at a time.
#[derive(Clone, Copy, Debug)]
enum Sight {
    Answer(Link, u64),
    Failure(&'static str, Link, Failure, u64),
}

use Failure::{Refused, Silent};
use Link::{New, Used};

#[derive(Debug)]
struct Case {
    name: &'static str,
    sights: &'static [Sight],
    /// Whether new connections, and all of them, are useless a second later.
    expected: (bool, bool),
}

#[rstest]
#[case(Case { name: "one server ends", sights: &[Sight::Answer(New, 0), Sight::Failure("a", New, Refused, 600), Sight::Failure("a", New, Refused, 700), Sight::Failure("a", New, Refused, 800)], expected: (false, false) })]
#[case(Case { name: "no server opens a connection", sights: &[Sight::Answer(New, 0), Sight::Failure("a", New, Refused, 600), Sight::Failure("b", New, Refused, 700), Sight::Failure("c", New, Refused, 800)], expected: (true, true) })]
#[case(Case { name: "all servers are silent", sights: &[Sight::Answer(New, 0), Sight::Failure("a", Used, Silent, 700), Sight::Failure("b", Used, Silent, 710), Sight::Failure("c", Used, Silent, 720)], expected: (true, true) })]
#[case(Case { name: "three fail and another answers", sights: &[Sight::Failure("a", New, Refused, 600), Sight::Failure("b", New, Refused, 700), Sight::Answer(New, 750), Sight::Failure("c", New, Refused, 800)], expected: (false, false) })]
#[case(Case { name: "old connections live on", sights: &[Sight::Answer(New, 0), Sight::Failure("a", New, Refused, 600), Sight::Answer(Used, 650), Sight::Failure("b", New, Refused, 700), Sight::Failure("c", New, Refused, 800), Sight::Answer(Used, 1_700)], expected: (true, false) })]
#[case(Case { name: "a moment of failures", sights: &[Sight::Answer(New, 500), Sight::Failure("a", New, Refused, 600), Sight::Failure("b", New, Refused, 610), Sight::Failure("c", New, Refused, 620)], expected: (false, false) })]
#[case(Case { name: "a probe is answered", sights: &[Sight::Failure("a", New, Refused, 600), Sight::Failure("b", New, Refused, 700), Sight::Failure("c", New, Refused, 800), Sight::Answer(New, 1_000)], expected: (false, false) })]
// Guards against a node that takes a server's end for its own cut, or its own cut for servers' ends.
fn cut_is_what_concerns_all_servers(#[case] case: Case) {
    let mut tracker = Tracker::default();
    for sight in case.sights {
        match *sight {
            Sight::Answer(link, at) => {
                tracker.record_answer(link, Instant(at));
            }
            Sight::Failure(server, link, failure, at) => {
                tracker.record_failure(server, link, failure, Instant(at));
            }
        }
    }
    let is_cut_entirely = tracker.is_cut_entirely(Instant(1_800));
    let seen = (tracker.is_cut(), is_cut_entirely);
    assert_eq!(seen, case.expected, "{}", case.name);
}

fn relay(last: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, last], 1))
}

// Guards against connections that are relayed through a node which is cut off as well.
#[test]
fn relays_reach_servers_and_those_of_the_own_zone_go_first() {
    let mut tracker = Tracker::default();
    let now = Instant(1_000);
    tracker.record_peer("cut", "a", Reach::Cut, relay(1), now);
    tracker.record_peer("idle", "a", Reach::Unknown, relay(2), now);
    tracker.record_peer("far", "b", Reach::Reaching, relay(3), now);
    tracker.record_peer("near", "a", Reach::Reaching, relay(4), now);
    let mut random = fastrand::Rng::with_seed(1);
    let relays = tracker.relays("a", now, &mut random);
    assert_eq!(relays, [relay(4), relay(3), relay(2)]);
    assert!(tracker.relays("a", Instant(9_000), &mut random).is_empty());
}

// Guards against a node that gives no usable connections and is asked first all the same.
#[test]
fn relays_that_have_failed_go_last_for_a_time() {
    let mut tracker = Tracker::default();
    let now = Instant(1_000);
    tracker.record_peer("far", "b", Reach::Unknown, relay(3), now);
    tracker.record_peer("near", "a", Reach::Reaching, relay(4), now);
    tracker.record_relay_failure(relay(4).ip(), now);
    let mut random = fastrand::Rng::with_seed(1);
    let relays = tracker.relays("a", Instant(2_900), &mut random);
    assert_eq!(relays, [relay(3), relay(4)]);
    let relays = tracker.relays("a", Instant(3_000), &mut random);
    assert_eq!(relays, [relay(4), relay(3)]);
}
