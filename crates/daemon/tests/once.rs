//! Non-idempotent calls, with real daemons: nodes die or freeze, and the store loses responses.

mod support;

use std::thread;

use jackdaw_core::store::{Change, Store, Transaction, Watch, Write};
use jackdaw_core::units::Millis;
use jackdaw_policy::once::{PREFIX, Record, State};
use jackdaw_standin::store::Fault;
use rstest::rstest;
use support::caller::Response;
use support::{Caller, Cluster, NodeOverrides};
use tokio::time::timeout;

const KEY: &str = "order-1";
const BOX: u64 = 7;

/// Time limit of a wait; a hang becomes a test failure.
const WAIT_TIMEOUT: Millis = Millis::from_secs(60);

/// Number of calls after which a node that does not serve counts as failed.
const MAX_CALLS: usize = 20_000;

/// Dispatch window of the node that is frozen for longer than the window.
const DISPATCH_WINDOW: Millis = Millis(300);

/// Key whose lease measures the dispatch window.
const EXPIRY_KEY: &str = "/test/lapse";

/// Two nodes in two zones, ready to serve, and a watch on the records of calls.
struct Fixture {
    cluster: Cluster,
    records: Box<dyn Watch>,
}

impl Fixture {
    fn new(first: NodeOverrides) -> Fixture {
        let mut cluster = Cluster::start(Millis(0));
        cluster.add_node_with("east-a", first);
        cluster.add_node("east-b");
        for node in 0..cluster.nodes.len() {
            wait_for_service(&cluster.caller(node));
        }
        let watch = cluster.platform.memory().watch(PREFIX, 0);
        let records = futures::executor::block_on(watch).expect("watch");
        Fixture { cluster, records }
    }

    /// Plans a fault for the next write of a record for which none is planned yet.
    fn plan_fault(&self, fault: Fault) {
        self.cluster.platform.memory().plan(PREFIX, fault);
    }

    /// Sets the fault of every later call to the store, and releases the calls that are held.
    fn set_fault(&self, fault: Fault) {
        self.cluster.platform.memory().set(fault);
    }

    fn create_shipment(&self, node: usize, number: u64) -> Response {
        self.cluster.caller(node).create_shipment(KEY, number)
    }

    /// Sends the call to the first node on another thread.
    fn spawn_shipment(&self) -> thread::JoinHandle<Response> {
        let caller: Caller = self.cluster.caller(0);
        thread::spawn(move || caller.create_shipment(KEY, BOX))
    }

    fn executions(&self) -> u64 {
        let fleet = self.cluster.platform.fleet();
        fleet.executions("orders").map_or(0, |all| all.count(KEY))
    }

    fn wait_for_execution(&self) {
        let executions = self.cluster.platform.fleet().executions("orders").cloned();
        executions.expect("the service is known").wait_for(KEY);
    }

    /// Waits until a lease that is granted now has expired by the store's clock.
    fn wait_for_lease_expiry(&self, ttl: Millis) {
        let memory = self.cluster.platform.memory();
        let runtime = tokio::runtime::Runtime::new().expect("runtime");
        runtime.block_on(async {
            let lease = memory.grant(ttl).await.expect("granted");
            let write = Write::Put {
                key: EXPIRY_KEY.into(),
                value: Vec::new(),
                lease: Some(lease),
            };
            let transaction = Transaction {
                then: vec![write],
                ..Transaction::default()
            };
            let mut watch = memory.watch(EXPIRY_KEY, 0).await.expect("watch");
            memory.commit(transaction).await.expect("committed");
            let is_gone = |change: &Change| matches!(change, Change::Delete(..));
            while !watch
                .next()
                .await
                .expect("the watch goes on")
                .iter()
                .any(is_gone)
            {}
        });
    }

    /// Waits until a record is written in the state that the label names.
    fn wait_for_record(&mut self, label: &str) {
        let runtime = tokio::runtime::Runtime::new().expect("runtime");
        loop {
            let next = async { timeout(WAIT_TIMEOUT.duration(), self.records.next()).await };
            let next = runtime.block_on(next).expect("the record comes");
            let changes = next.expect("the watch goes on");
            if changes
                .iter()
                .any(|change| state_label(change) == Some(label))
            {
                return;
            }
        }
    }
}

/// Repeats an idempotent call until the node serves it.
fn wait_for_service(caller: &Caller) {
    let responses = (0..MAX_CALLS).map(|_| caller.read_stock());
    let last = responses
        .take_while(|response| response.status != 200)
        .last();
    if let Some(last) = last {
        println!("last refusal before the service was known: {last:?}");
    }
    assert_eq!(caller.read_stock().status, 200, "the service is known");
}

/// Returns the label of the state of the record that a change writes.
fn state_label(change: &Change) -> Option<&'static str> {
    let Change::Put(entry) = change else {
        return None;
    };
    let record: Record = serde_json::from_slice(&entry.value).ok()?;
    Some(match record.state {
        State::Intended => "intended",
        State::Completed { .. } => "completed",
        State::Unknown => "unknown",
        State::NotRun => "not-run",
    })
}

/// Returns what the caller learns of its call: status, outcome and whether to retry.
fn summarize(response: &Response) -> (u16, &str, bool) {
    (response.status, &response.outcome, response.retry_after)
}

/// Step at which the first node dies, what has happened by then, and the response to a repeat.
struct DeathCase {
    fail_points: &'static str,
    record: &'static str,
    executions: u64,
    repeat: (u16, &'static str, bool),
}

#[rstest]
#[case::before_dispatch(DeathCase {
    fail_points: "once-recorded=pause",
    record: "intended",
    executions: 0,
    repeat: (409, "unknown", true),
})]
#[case::after_execution(DeathCase {
    fail_points: "once-ended=pause",
    record: "intended",
    executions: 1,
    repeat: (409, "unknown", true),
})]
#[case::after_result(DeathCase {
    fail_points: "once-closed=pause",
    record: "completed",
    executions: 1,
    repeat: (200, "completed", false),
})]
fn call_runs_at_most_once_when_the_node_dies(#[case] case: DeathCase) {
    let mut fixture = Fixture::new(NodeOverrides {
        fail_points: case.fail_points,
        ..NodeOverrides::default()
    });
    let call = fixture.spawn_shipment();
    fixture.wait_for_record(case.record);
    if case.executions > 0 {
        fixture.wait_for_execution();
    }
    fixture.cluster.nodes[0].kill();
    assert_eq!(call.join().expect("the caller's thread ends").status, 0);
    let repeat = fixture.create_shipment(1, BOX);
    assert_eq!(summarize(&repeat), case.repeat, "{repeat:?}");
    assert_eq!(fixture.executions(), case.executions);
    if case.repeat.0 == 409 {
        fixture.cluster.nodes[1].wait_for_decision("team:team", "do not run it");
    }
}

/// Faults of the writes of one call, in order, and the responses to the call and its repeat.
struct LossCase {
    faults: &'static [Fault],
    response: (u16, &'static str, bool),
    executions: u64,
    repeat: (u16, &'static str, bool),
}

#[rstest]
#[case::intent_response(LossCase {
    faults: &[Fault::LoseAnswer],
    response: (200, "completed", false),
    executions: 1,
    repeat: (200, "completed", false),
})]
#[case::intent(LossCase {
    faults: &[Fault::Down],
    response: (200, "completed", false),
    executions: 1,
    repeat: (200, "completed", false),
})]
#[case::intent_late(LossCase {
    faults: &[Fault::Late],
    response: (200, "completed", false),
    executions: 1,
    repeat: (200, "completed", false),
})]
#[case::result_response(LossCase {
    faults: &[Fault::None, Fault::LoseAnswer],
    response: (200, "completed", false),
    executions: 1,
    repeat: (200, "completed", false),
})]
fn call_runs_once_when_the_store_loses_a_write(#[case] case: LossCase) {
    let mut fixture = Fixture::new(NodeOverrides::default());
    for fault in case.faults {
        fixture.plan_fault(*fault);
    }
    let response = fixture.create_shipment(0, BOX);
    assert_eq!(summarize(&response), case.response, "{response:?}");
    fixture.wait_for_record("completed");
    // A late write takes effect here.
    fixture.set_fault(Fault::None);
    let repeat = fixture.create_shipment(1, BOX);
    assert_eq!(summarize(&repeat), case.repeat, "{repeat:?}");
    let other = fixture.create_shipment(1, BOX + 1);
    assert_eq!(summarize(&other), (422, "not-run", false), "{other:?}");
    assert_eq!(fixture.executions(), case.executions);
}

#[test]
fn call_is_not_run_while_the_store_is_down() {
    let fixture = Fixture::new(NodeOverrides::default());
    fixture.set_fault(Fault::Down);
    let refused = fixture.create_shipment(0, BOX);
    assert_eq!(summarize(&refused), (503, "not-run", true), "{refused:?}");
    assert_eq!(fixture.executions(), 0);
    fixture.set_fault(Fault::None);
    let response = fixture.create_shipment(1, BOX);
    assert_eq!(
        summarize(&response),
        (200, "completed", false),
        "{response:?}"
    );
    assert_eq!(fixture.executions(), 1);
}

#[test]
fn result_is_recorded_after_two_failed_writes() {
    let mut fixture = Fixture::new(NodeOverrides::default());
    for fault in [Fault::None, Fault::Down, Fault::Down] {
        fixture.plan_fault(fault);
    }
    let response = fixture.create_shipment(0, BOX);
    assert_eq!(
        summarize(&response),
        (200, "completed", false),
        "{response:?}"
    );
    fixture.wait_for_record("completed");
    let repeat = fixture.create_shipment(1, BOX);
    assert_eq!(summarize(&repeat), (200, "completed", false), "{repeat:?}");
    assert_eq!(fixture.executions(), 1);
}

#[test]
fn call_runs_at_most_once_when_the_node_freezes_before_dispatch() {
    let mut fixture = Fixture::new(NodeOverrides::default());
    // The second fault holds the repeat of the write that the node sends if it is not frozen in
    // time.
    fixture.plan_fault(Fault::HoldAnswer);
    fixture.plan_fault(Fault::HoldAnswer);
    let call = fixture.spawn_shipment();
    fixture.wait_for_record("intended");
    fixture.cluster.nodes[0].freeze();
    fixture.cluster.platform.memory().drop_plans();
    fixture.set_fault(Fault::None);
    let repeat = fixture.create_shipment(1, BOX);
    assert_eq!(summarize(&repeat), (409, "unknown", true), "{repeat:?}");
    assert_eq!(fixture.executions(), 0);
    fixture.cluster.nodes[0].resume();
    let response = call.join().expect("the caller's thread ends");
    // A freeze longer than the dispatch window, on a very slow machine, is refused as not run.
    let runs = u64::from(response.outcome == "completed");
    assert!(runs == 1 || response.outcome == "not-run", "{response:?}");
    assert_eq!(fixture.executions(), runs);
}

#[test]
fn call_is_not_run_when_the_node_freezes_past_its_dispatch_window() {
    let mut fixture = Fixture::new(NodeOverrides {
        timing: "  dispatch_window: 300ms\n",
        ..NodeOverrides::default()
    });
    fixture.plan_fault(Fault::HoldAnswer);
    let call = fixture.spawn_shipment();
    fixture.wait_for_record("intended");
    fixture.cluster.nodes[0].freeze();
    fixture.wait_for_lease_expiry(DISPATCH_WINDOW);
    fixture.set_fault(Fault::None);
    let repeat = fixture.create_shipment(1, BOX);
    assert_eq!(summarize(&repeat), (409, "unknown", true), "{repeat:?}");
    fixture.cluster.nodes[0].resume();
    let response = call.join().expect("the caller's thread ends");
    assert_eq!(summarize(&response), (503, "not-run", true), "{response:?}");
    assert_eq!(fixture.executions(), 0);
    fixture.wait_for_record("not-run");
    let repeat = fixture.create_shipment(1, BOX);
    assert_eq!(summarize(&repeat), (200, "completed", false), "{repeat:?}");
    assert_eq!(fixture.executions(), 1);
}

#[test]
fn stopping_node_records_the_outstanding_result() {
    let mut fixture = Fixture::new(NodeOverrides::default());
    // The node tries to record the result twice while the caller waits, and is stopped during a
    // later attempt.
    for fault in [Fault::None, Fault::Down, Fault::Down, Fault::HoldCall] {
        fixture.plan_fault(fault);
    }
    let response = fixture.create_shipment(0, BOX);
    assert_eq!(
        summarize(&response),
        (200, "completed", false),
        "{response:?}"
    );
    futures::executor::block_on(fixture.cluster.platform.memory().wait_for_plans());
    fixture.cluster.nodes[0].signal("TERM");
    assert!(fixture.cluster.nodes[0].wait_for_exit().success());
    fixture.wait_for_record("completed");
    let repeat = fixture.create_shipment(1, BOX);
    assert_eq!(summarize(&repeat), (200, "completed", false), "{repeat:?}");
    assert_eq!(fixture.executions(), 1);
}
