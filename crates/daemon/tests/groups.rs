//! Only whole groups serve, with real daemons: a member dies, pauses, is re-imaged, leaves, or
//! obeys a stale order.

mod support;

use jackdaw_core::inventory::State;
use jackdaw_core::order::{Command, Order};
use jackdaw_core::units::{Fence, Millis};
use jackdaw_standin::tokens;
use ntex::http::Method;
use rstest::rstest;
use serde_json::Value;
use support::placement::History;
use support::{Caller, Cluster, NodeOverrides};

const GROUP: &str = "group:east-a/1";

/// Tokens of one completion.
const COMPLETION_TOKENS: u64 = 8;

/// Overrides that tell the nodes that engines check the fencing number.
const ENGINES_CHECK_FENCE: NodeOverrides = NodeOverrides {
    fail_points: "",
    timing: "engines_check_fence: true\n",
};

/// Two nodes of one zone that both consider the first group whole, and a member of that group.
struct Fixture {
    cluster: Cluster,
    member: String,
}

impl Fixture {
    fn new() -> Fixture {
        let mut cluster = Cluster::start(Millis(0));
        let mut history = History::follow(cluster.platform.memory(), "east-a");
        cluster.add_node_with("east-a", ENGINES_CHECK_FENCE);
        cluster.add_node_with("east-a", ENGINES_CHECK_FENCE);
        for node in &cluster.nodes {
            node.wait_for_decision(GROUP, "group is whole");
        }
        let placement =
            history.wait_for_placement(|placement| placement.group("east-a/1").is_some());
        let group = placement.group("east-a/1").expect("group");
        let member = group.members[1].to_string();
        Fixture { cluster, member }
    }

    /// Checks that every node serves a completion.
    fn check_completions(&self) {
        for node in 0..self.cluster.nodes.len() {
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

    /// Sends the member a leave order as a replaced leader would, but with the highest fencing
    /// number, so that the engine obeys it.
    fn send_stale_leave(&self) {
        let fleet = self.cluster.platform.fleet();
        let vms = fleet.list().vms();
        let vm = vms.iter().find(|vm| vm.name == self.member).expect("VM");
        let order = Order {
            fence: Fence(u64::MAX),
            command: Command::Leave,
        };
        let body = serde_json::to_value(order).expect("order");
        let path = "/jackdaw/order";
        let response = Caller::new(vm.address).send_as_operator(Method::POST, path, &body);
        assert_eq!(response.status, 200, "{response:?}");
    }

    fn inject_fault(&self, fault: Fault) {
        let mut fleet = self.cluster.platform.fleet();
        let engine = fleet.engine(&self.member).cloned().expect("engine");
        match fault {
            Fault::Killed => fleet.kill(&self.member),
            Fault::Restarted => {
                fleet.kill(&self.member);
                fleet.revive(&self.member).expect("the VM starts again");
            }
            Fault::Paused => engine.set_paused(true),
            Fault::ReImaged => engine.reset(),
            Fault::SaysLeaving => engine.set_leaving(true),
            Fault::ListedLeaving => fleet.list().set_state(&self.member, State::Leaving),
            Fault::StaleOrder => {
                drop(fleet);
                self.send_stale_leave();
            }
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    Killed,
    Restarted,
    Paused,
    ReImaged,
    SaysLeaving,
    ListedLeaving,
    StaleOrder,
}

/// Every node stops using the group, completions are still served, and a new whole group replaces
/// it.
#[rstest]
#[case::killed(Fault::Killed)]
#[case::killed_and_started_again(Fault::Restarted)]
#[case::paused(Fault::Paused)]
#[case::re_imaged(Fault::ReImaged)]
#[case::says_leaving_while_the_list_lags(Fault::SaysLeaving)]
#[case::listed_as_leaving(Fault::ListedLeaving)]
#[case::moved_by_a_stale_order(Fault::StaleOrder)]
fn faulty_member_takes_its_group_out_of_service(#[case] fault: Fault) {
    let fixture = Fixture::new();
    for node in &fixture.cluster.nodes {
        node.wait_for_decision("group:east-a/2", "group is whole");
    }
    fixture.inject_fault(fault);
    let broken: Vec<Value> = fixture
        .cluster
        .nodes
        .iter()
        .map(|node| node.wait_for_decision(GROUP, "group is not whole"))
        .collect();
    let names_member = |broken: &Value| broken["subjects"].to_string().contains(&fixture.member);
    assert!(broken.iter().any(names_member), "{broken:?}");
    for broken in &broken {
        // A node may learn of the next generation before its own probe detects the fault.
        let has_new_generation = broken["cause"] == "a member reports another generation";
        assert!(names_member(broken) || has_new_generation, "{broken}");
    }
    fixture.check_completions();
    // An engine that has seen the highest fencing number refuses the orders of every leader.
    if fault == Fault::StaleOrder {
        return;
    }
    for node in &fixture.cluster.nodes {
        let broken = node.wait_for_decision(GROUP, "group is not whole");
        node.wait_for_later_decision(&broken, "group:east-a/", "group is whole");
    }
    fixture.check_completions();
}
