//! A VM is in one group at most, with real daemons: the leader dies or freezes at each step, the
//! store is down or loses responses.

mod support;

use jackdaw_core::units::Millis;
use jackdaw_standin::store::Fault;
use jackdaw_standin::tokens;
use rstest::rstest;
use support::placement::History;
use support::{Cluster, NodeOverrides};

const ZONE: &str = "zone:east-a";

/// Tokens of one completion.
const COMPLETION_TOKENS: u64 = 8;

const ENGINES_CHECK_FENCE: &str = "engines_check_fence: true\n";

/// Nodes of one zone, and the history of its placement.
struct Fixture {
    cluster: Cluster,
    history: History,
}

impl Fixture {
    fn new(fail_points: &'static str, timing: &'static str) -> Fixture {
        let mut cluster = Cluster::start(Millis(0));
        let history = History::follow(cluster.platform.memory(), "east-a");
        cluster.add_node_with(
            "east-a",
            NodeOverrides {
                fail_points,
                timing,
            },
        );
        Fixture { cluster, history }
    }

    fn add_second_node(&mut self, timing: &'static str) {
        let overrides = NodeOverrides {
            fail_points: "",
            timing,
        };
        self.cluster.add_node_with("east-a", overrides);
    }

    /// Starts two nodes and waits until the first leads and both consider the second group whole.
    fn start_settled(timing: &'static str) -> Fixture {
        let mut fixture = Fixture::new("", timing);
        fixture.cluster.nodes[0].wait_for_decision(ZONE, "this node leads");
        fixture.add_second_node(timing);
        for node in &fixture.cluster.nodes {
            node.wait_for_decision("group:east-a/2", "group is whole");
        }
        fixture
            .history
            .wait_for_placement(|placement| placement.groups.len() == 2);
        fixture
    }

    /// Kills the VM of the second member of the first group and returns its name.
    fn kill_member(&mut self) -> String {
        let placement = self
            .history
            .wait_for_placement(|placement| !placement.groups.is_empty());
        let member = placement.groups[0].members[1].to_string();
        self.cluster.platform.fleet().kill(&member);
        member
    }

    /// Waits until no group contains a VM and returns the fencing number of that placement.
    fn wait_for_removal(&mut self, vm: &str) -> u64 {
        let placed = self.history.wait_for_placement(|placement| {
            placement.sequence > 1 && placement.group_of(vm).is_none()
        });
        placed.fence.0
    }

    /// Checks that a node serves a completion.
    fn check_completion(&self, node: usize) {
        let response = self
            .cluster
            .caller(node)
            .complete("slate", COMPLETION_TOKENS);
        assert_eq!(
            response.text(),
            tokens::answer("slate", COMPLETION_TOKENS),
            "{response:?}"
        );
    }
}

/// The first node freezes permanently at a step; the second takes the lead and forms the groups.
#[rstest]
#[case::before_the_key_is_created("leader-create=pause")]
#[case::before_a_renewal("leader-renew=pause")]
#[case::before_the_placement_is_written("leader-commit=pause")]
#[case::after_the_placement_was_written("leader-committed=pause")]
#[case::before_an_order("order-send=pause")]
#[case::after_an_order("order-sent=pause")]
fn second_node_forms_the_groups_when_the_leader_freezes(#[case] fail_points: &'static str) {
    let mut fixture = Fixture::new(fail_points, ENGINES_CHECK_FENCE);
    fixture.add_second_node(ENGINES_CHECK_FENCE);
    let second = &fixture.cluster.nodes[1];
    second.wait_for_decision("group:east-a/1", "group is whole");
    second.wait_for_decision("group:east-a/2", "group is whole");
    second.wait_for_decision(ZONE, "this node leads");
    fixture.check_completion(1);
}

/// The leader freezes past its lease and resumes while another node leads, whether or not engines
/// check the fencing number.
#[rstest]
#[case::engines_check(ENGINES_CHECK_FENCE)]
#[case::engines_are_not_known_to_check("")]
fn leader_that_resumes_after_its_lease_stops_leading(#[case] timing: &'static str) {
    let mut fixture = Fixture::start_settled(timing);
    fixture.cluster.nodes[0].freeze();
    let member = fixture.kill_member();
    fixture.cluster.nodes[1].wait_for_decision(ZONE, "this node leads");
    let fence = fixture.wait_for_removal(&member);
    fixture.cluster.nodes[0].resume();
    let lost = fixture.cluster.nodes[0].wait_for_decision(ZONE, "this node no longer leads");
    fixture.cluster.nodes[0].wait_for_later_decision(&lost, "group:east-a/", "group is whole");
    fixture.check_completion(0);
    fixture.check_completion(1);
    // The second node still leads: the revived VM replaces another VM that is killed, and the
    // resumed node has written nothing in between.
    let revived = fixture.cluster.platform.fleet().revive(&member);
    revived.expect("the VM starts again");
    let next = fixture.kill_member();
    assert_eq!(fixture.wait_for_removal(&next), fence);
}

#[test]
fn group_is_replaced_after_the_leader_dies() {
    let mut fixture = Fixture::start_settled(ENGINES_CHECK_FENCE);
    fixture.cluster.nodes[0].kill();
    let member = fixture.kill_member();
    fixture.wait_for_removal(&member);
    let second = &fixture.cluster.nodes[1];
    let broken = second.wait_for_decision("group:east-a/1", "group is not whole");
    second.wait_for_later_decision(&broken, "group:east-a/", "group is whole");
    fixture.check_completion(1);
}

/// The store is down past the lease: requests are still served, and a node leads again later.
#[test]
fn requests_are_served_while_the_store_is_down_past_the_lease() {
    let mut fixture = Fixture::start_settled(ENGINES_CHECK_FENCE);
    fixture.cluster.platform.memory().set(Fault::Down);
    let lost = fixture.cluster.nodes[0].wait_for_decision(ZONE, "this node no longer leads");
    fixture.check_completion(0);
    fixture.check_completion(1);
    let member = fixture.kill_member();
    fixture.cluster.nodes[0].wait_for_later_decision(&lost, "group:east-a/1", "group is not whole");
    fixture.check_completion(0);
    fixture.cluster.platform.memory().set(Fault::None);
    fixture.wait_for_removal(&member);
    fixture.check_completion(1);
}

/// The store loses the response to one write of the zone's keys, or the write itself.
#[rstest]
#[case::response_to_the_leaders_key("leader", Fault::LoseAnswer)]
#[case::response_to_the_placement("placement", Fault::LoseAnswer)]
#[case::leaders_key_never_written("leader", Fault::Down)]
#[case::placement_never_written("placement", Fault::Down)]
fn groups_form_when_the_store_loses_one_write(#[case] key: &str, #[case] fault: Fault) {
    let mut cluster = Cluster::start(Millis(0));
    let mut history = History::follow(cluster.platform.memory(), "east-a");
    let prefix = format!("/jackdaw/zones/east-a/{key}");
    cluster.platform.memory().plan(&prefix, fault);
    let overrides = NodeOverrides {
        fail_points: "",
        timing: ENGINES_CHECK_FENCE,
    };
    cluster.add_node_with("east-a", overrides);
    cluster.nodes[0].wait_for_decision("group:east-a/2", "group is whole");
    history.wait_for_placement(|placement| placement.groups.len() == 2);
    let response = cluster.caller(0).complete("slate", COMPLETION_TOKENS);
    assert_eq!(
        response.text(),
        tokens::answer("slate", COMPLETION_TOKENS),
        "{response:?}"
    );
}
