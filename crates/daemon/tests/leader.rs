//! One group per VM, through real daemons: the leader dies or freezes at each step, the service is
//! down or loses answers.

mod support;

use jackdaw_core::units::Millis;
use jackdaw_standin::store::Fault;
use jackdaw_standin::tokens;
use rstest::rstest;
use support::zone::History;
use support::{Cluster, Extra};

const ZONE: &str = "zone:east-a";

/// Tokens of one completion.
const TOKENS: u64 = 8;

const CHECKED: &str = "engines_check_fence: true\n";

/// A zone with a leader and one more node.
struct Bench {
    cluster: Cluster,
    history: History,
}

impl Bench {
    fn new(fail_points: &'static str, timing: &'static str) -> Bench {
        let mut cluster = Cluster::start(Millis(0));
        let history = History::follow(cluster.platform.memory(), "east-a");
        cluster.add_node_with(
            "east-a",
            Extra {
                fail_points,
                timing,
            },
        );
        Bench { cluster, history }
    }

    fn add_second(&mut self, timing: &'static str) {
        let extra = Extra {
            fail_points: "",
            timing,
        };
        self.cluster.add_node_with("east-a", extra);
    }

    /// Starts both nodes and waits until the first leads and both see a whole group.
    fn settled(timing: &'static str) -> Bench {
        let mut bench = Bench::new("", timing);
        bench.cluster.nodes[0].wait_for_decision(ZONE, "this node leads");
        bench.add_second(timing);
        for node in &bench.cluster.nodes {
            node.wait_for_decision("group:east-a/2", "group is whole");
        }
        bench
            .history
            .wait_for(|placement| placement.groups.len() == 2);
        bench
    }

    /// Ends the VM of the first group's second member and returns its name.
    fn kill_member(&mut self) -> String {
        let placement = self
            .history
            .wait_for(|placement| !placement.groups.is_empty());
        let member = placement.groups[0].members[1].to_string();
        self.cluster.platform.fleet().kill(&member);
        member
    }

    /// Waits until the placement does without a VM.
    fn wait_without(&mut self, vm: &str) -> u64 {
        let placed = self
            .history
            .wait_for(|placement| placement.sequence > 1 && placement.group_of(vm).is_none());
        placed.fence.0
    }

    fn complete(&self, node: usize) {
        let answer = self.cluster.caller(node).complete("slate", TOKENS);
        assert_eq!(answer.text(), tokens::answer("slate", TOKENS), "{answer:?}");
    }
}

/// The first node freezes for good at a step; the second leads and brings the groups up.
#[rstest]
#[case::before_the_key_is_created("leader-create=pause")]
#[case::before_a_renewal("leader-renew=pause")]
#[case::before_the_placement_is_written("leader-commit=pause")]
#[case::after_the_placement_was_written("leader-committed=pause")]
#[case::before_an_order("order-send=pause")]
#[case::after_an_order("order-sent=pause")]
fn leader_freezes_for_good_at(#[case] fail_points: &'static str) {
    let mut bench = Bench::new(fail_points, CHECKED);
    bench.add_second(CHECKED);
    let second = &bench.cluster.nodes[1];
    second.wait_for_decision("group:east-a/1", "group is whole");
    second.wait_for_decision("group:east-a/2", "group is whole");
    second.wait_for_decision(ZONE, "this node leads");
    bench.complete(1);
}

/// The leader freezes past its lease and wakes while another leads, whether or not engines check.
#[rstest]
#[case::engines_check(CHECKED)]
#[case::engines_are_not_known_to_check("")]
fn leader_freezes_past_its_lease_and_wakes(#[case] timing: &'static str) {
    let mut bench = Bench::settled(timing);
    bench.cluster.nodes[0].freeze();
    let member = bench.kill_member();
    bench.cluster.nodes[1].wait_for_decision(ZONE, "this node leads");
    let fence = bench.wait_without(&member);
    bench.cluster.nodes[0].wake();
    let lost = bench.cluster.nodes[0].wait_for_decision(ZONE, "this node no longer leads");
    bench.cluster.nodes[0].wait_for_later(&lost, "group:east-a/", "group is whole");
    bench.complete(0);
    bench.complete(1);
    // The second still leads: the lost VM comes back and takes the place of one more that is lost,
    // and nothing was written by the woken node in between.
    let revived = bench.cluster.platform.fleet().revive(&member);
    revived.expect("the VM starts again");
    let next = bench.kill_member();
    assert_eq!(bench.wait_without(&next), fence);
}

#[test]
fn leader_dies() {
    let mut bench = Bench::settled(CHECKED);
    bench.cluster.nodes[0].kill();
    let member = bench.kill_member();
    bench.wait_without(&member);
    let second = &bench.cluster.nodes[1];
    let broken = second.wait_for_decision("group:east-a/1", "group is not whole");
    second.wait_for_later(&broken, "group:east-a/", "group is whole");
    bench.complete(1);
}

/// The service is down past the lease: requests are served on, and the leader comes back.
#[test]
fn service_is_down_past_the_lease() {
    let mut bench = Bench::settled(CHECKED);
    bench.cluster.platform.memory().set(Fault::Down);
    let lost = bench.cluster.nodes[0].wait_for_decision(ZONE, "this node no longer leads");
    bench.complete(0);
    bench.complete(1);
    let member = bench.kill_member();
    bench.cluster.nodes[0].wait_for_later(&lost, "group:east-a/1", "group is not whole");
    bench.complete(0);
    bench.cluster.platform.memory().set(Fault::None);
    bench.wait_without(&member);
    bench.complete(1);
}

/// The answer to one write of the zone's keys is lost, or the write takes effect late.
#[rstest]
#[case::answer_to_the_leaders_key("leader", Fault::LoseAnswer)]
#[case::answer_to_the_placement("placement", Fault::LoseAnswer)]
#[case::leaders_key_never_written("leader", Fault::Down)]
#[case::placement_never_written("placement", Fault::Down)]
fn service_loses_one_write(#[case] key: &str, #[case] fault: Fault) {
    let mut cluster = Cluster::start(Millis(0));
    let mut history = History::follow(cluster.platform.memory(), "east-a");
    let prefix = format!("/jackdaw/zones/east-a/{key}");
    cluster.platform.memory().plan(&prefix, fault);
    let extra = Extra {
        fail_points: "",
        timing: CHECKED,
    };
    cluster.add_node_with("east-a", extra);
    cluster.nodes[0].wait_for_decision("group:east-a/2", "group is whole");
    history.wait_for(|placement| placement.groups.len() == 2);
    let answer = cluster.caller(0).complete("slate", TOKENS);
    assert_eq!(answer.text(), tokens::answer("slate", TOKENS), "{answer:?}");
}
