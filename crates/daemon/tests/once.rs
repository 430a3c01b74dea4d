//! Non-idempotent calls through real daemons: nodes die or freeze, and the service loses answers.

mod support;

use std::thread;

use jackdaw_core::store::{Change, Store, Transaction, Watch, Write};
use jackdaw_core::units::Millis;
use jackdaw_policy::once::{PREFIX, Record, State};
use jackdaw_standin::store::Fault;
use rstest::rstest;
use support::caller::Answer;
use support::{Caller, Cluster, Extra};
use tokio::time::timeout;

const KEY: &str = "order-1";
const BOX: u64 = 7;

/// Time after which a wait is given up, so that a hang becomes a failure.
const HANG: Millis = Millis::from_secs(60);

/// Calls after which a node that does not serve is given up.
const MAX_CALLS: usize = 20_000;

/// Dispatch window of the node that is frozen past it.
const WINDOW: Millis = Millis(300);

/// Key of the lease that measures the window.
const LAPSE_KEY: &str = "/test/lapse";

/// Two nodes in two availability zones, ready to serve, and a watch on the records.
struct Bench {
    cluster: Cluster,
    records: Box<dyn Watch>,
}

impl Bench {
    fn new(first: Extra) -> Bench {
        let mut cluster = Cluster::start(Millis(0));
        cluster.add_node_with("east-a", first);
        cluster.add_node("east-b");
        for node in 0..cluster.nodes.len() {
            wait_for_service(&cluster.caller(node));
        }
        let watch = cluster.platform.memory().watch(PREFIX, 0);
        let records = futures::executor::block_on(watch).expect("watch");
        Bench { cluster, records }
    }

    fn plan(&self, fault: Fault) {
        self.cluster.platform.memory().plan(PREFIX, fault);
    }

    fn set(&self, fault: Fault) {
        self.cluster.platform.memory().set(fault);
    }

    fn ship(&self, node: usize, number: u64) -> Answer {
        self.cluster.caller(node).ship(KEY, number)
    }

    /// Sends the call to the first node without waiting for its answer.
    fn ship_beside(&self) -> thread::JoinHandle<Answer> {
        let caller: Caller = self.cluster.caller(0);
        thread::spawn(move || caller.ship(KEY, BOX))
    }

    fn executions(&self) -> u64 {
        let fleet = self.cluster.platform.fleet();
        fleet.executions("orders").map_or(0, |all| all.count(KEY))
    }

    fn wait_for_execution(&self) {
        let executions = self.cluster.platform.fleet().executions("orders").cloned();
        executions.expect("the service is known").wait_for(KEY);
    }

    /// Waits until a lease that is granted now has lapsed by the service's clock.
    fn wait_for_lapse(&self, ttl: Millis) {
        let memory = self.cluster.platform.memory();
        let runtime = tokio::runtime::Runtime::new().expect("runtime");
        runtime.block_on(async {
            let lease = memory.grant(ttl).await.expect("granted");
            let write = Write::Put {
                key: LAPSE_KEY.into(),
                value: Vec::new(),
                lease: Some(lease),
            };
            let transaction = Transaction {
                then: vec![write],
                ..Transaction::default()
            };
            let mut watch = memory.watch(LAPSE_KEY, 0).await.expect("watch");
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

    /// Waits until the call's record is in a state.
    fn wait_for_record(&mut self, label: &str) {
        let runtime = tokio::runtime::Runtime::new().expect("runtime");
        loop {
            let next = async { timeout(HANG.duration(), self.records.next()).await };
            let next = runtime.block_on(next).expect("the record comes");
            let changes = next.expect("the watch goes on");
            if changes.iter().any(|change| state(change) == Some(label)) {
                return;
            }
        }
    }
}

/// Waits until a node serves the plain service, by calls of it that may be repeated.
fn wait_for_service(caller: &Caller) {
    let answers = (0..MAX_CALLS).map(|_| caller.stock());
    let last = answers.take_while(|answer| answer.status != 200).last();
    if let Some(last) = last {
        println!("before the service was known: {last:?}");
    }
    assert_eq!(caller.stock().status, 200, "the service is known");
}

fn state(change: &Change) -> Option<&'static str> {
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

fn shown(answer: &Answer) -> (u16, &str, bool) {
    (answer.status, &answer.outcome, answer.retry_after)
}

/// Where the first node dies, and what a repeat then sees.
struct Death {
    fail_points: &'static str,
    record: &'static str,
    executions: u64,
    repeat: (u16, &'static str, bool),
}

#[rstest]
#[case::before_dispatch(Death {
    fail_points: "once-recorded=pause",
    record: "intended",
    executions: 0,
    repeat: (409, "unknown", true),
})]
#[case::after_execution(Death {
    fail_points: "once-ended=pause",
    record: "intended",
    executions: 1,
    repeat: (409, "unknown", true),
})]
#[case::after_result(Death {
    fail_points: "once-closed=pause",
    record: "completed",
    executions: 1,
    repeat: (200, "completed", false),
})]
fn node_dies(#[case] case: Death) {
    let mut bench = Bench::new(Extra {
        fail_points: case.fail_points,
        ..Extra::default()
    });
    let call = bench.ship_beside();
    bench.wait_for_record(case.record);
    if case.executions > 0 {
        bench.wait_for_execution();
    }
    bench.cluster.nodes[0].kill();
    assert_eq!(call.join().expect("caller").status, 0);
    let repeat = bench.ship(1, BOX);
    assert_eq!(shown(&repeat), case.repeat, "{repeat:?}");
    assert_eq!(bench.executions(), case.executions);
    if case.repeat.0 == 409 {
        bench.cluster.nodes[1].wait_for_decision("team:team", "do not run it");
    }
}

/// Faults of the writes of one call in turn, and what the call sees.
struct Loss {
    faults: &'static [Fault],
    answer: (u16, &'static str, bool),
    executions: u64,
    repeat: (u16, &'static str, bool),
}

#[rstest]
#[case::intent_answer(Loss {
    faults: &[Fault::LoseAnswer],
    answer: (200, "completed", false),
    executions: 1,
    repeat: (200, "completed", false),
})]
#[case::intent(Loss {
    faults: &[Fault::Down],
    answer: (200, "completed", false),
    executions: 1,
    repeat: (200, "completed", false),
})]
#[case::intent_late(Loss {
    faults: &[Fault::Late],
    answer: (200, "completed", false),
    executions: 1,
    repeat: (200, "completed", false),
})]
#[case::result_answer(Loss {
    faults: &[Fault::None, Fault::LoseAnswer],
    answer: (200, "completed", false),
    executions: 1,
    repeat: (200, "completed", false),
})]
fn service_loses(#[case] case: Loss) {
    let mut bench = Bench::new(Extra::default());
    for fault in case.faults {
        bench.plan(*fault);
    }
    let answer = bench.ship(0, BOX);
    assert_eq!(shown(&answer), case.answer, "{answer:?}");
    bench.wait_for_record("completed");
    // Whatever was late lands here.
    bench.set(Fault::None);
    let repeat = bench.ship(1, BOX);
    assert_eq!(shown(&repeat), case.repeat, "{repeat:?}");
    let other = bench.ship(1, BOX + 1);
    assert_eq!(shown(&other), (422, "not-run", false), "{other:?}");
    assert_eq!(bench.executions(), case.executions);
}

#[test]
fn service_is_down() {
    let bench = Bench::new(Extra::default());
    bench.set(Fault::Down);
    let refused = bench.ship(0, BOX);
    assert_eq!(shown(&refused), (503, "not-run", true), "{refused:?}");
    assert_eq!(bench.executions(), 0);
    bench.set(Fault::None);
    let answer = bench.ship(1, BOX);
    assert_eq!(shown(&answer), (200, "completed", false), "{answer:?}");
    assert_eq!(bench.executions(), 1);
}

#[test]
fn result_is_recorded_late() {
    let mut bench = Bench::new(Extra::default());
    for fault in [Fault::None, Fault::Down, Fault::Down] {
        bench.plan(fault);
    }
    let answer = bench.ship(0, BOX);
    assert_eq!(shown(&answer), (200, "completed", false), "{answer:?}");
    bench.wait_for_record("completed");
    let repeat = bench.ship(1, BOX);
    assert_eq!(shown(&repeat), (200, "completed", false), "{repeat:?}");
    assert_eq!(bench.executions(), 1);
}

#[test]
fn node_freezes_between_intent_and_dispatch() {
    let mut bench = Bench::new(Extra::default());
    // The second holds the copy that the node sends if it is not frozen in time.
    bench.plan(Fault::HoldAnswer);
    bench.plan(Fault::HoldAnswer);
    let call = bench.ship_beside();
    bench.wait_for_record("intended");
    bench.cluster.nodes[0].freeze();
    bench.cluster.platform.memory().drop_plans();
    bench.set(Fault::None);
    let repeat = bench.ship(1, BOX);
    assert_eq!(shown(&repeat), (409, "unknown", true), "{repeat:?}");
    assert_eq!(bench.executions(), 0);
    bench.cluster.nodes[0].wake();
    let answer = call.join().expect("caller");
    // A freeze longer than the dispatch window, on a very slow machine, is refused as not run.
    let ran = u64::from(answer.outcome == "completed");
    assert!(ran == 1 || answer.outcome == "not-run", "{answer:?}");
    assert_eq!(bench.executions(), ran);
}

#[test]
fn node_freezes_past_its_window() {
    let mut bench = Bench::new(Extra {
        timing: "  dispatch_window: 300ms\n",
        ..Extra::default()
    });
    bench.plan(Fault::HoldAnswer);
    let call = bench.ship_beside();
    bench.wait_for_record("intended");
    bench.cluster.nodes[0].freeze();
    bench.wait_for_lapse(WINDOW);
    bench.set(Fault::None);
    let repeat = bench.ship(1, BOX);
    assert_eq!(shown(&repeat), (409, "unknown", true), "{repeat:?}");
    bench.cluster.nodes[0].wake();
    let answer = call.join().expect("caller");
    assert_eq!(shown(&answer), (503, "not-run", true), "{answer:?}");
    assert_eq!(bench.executions(), 0);
    bench.wait_for_record("not-run");
    let repeat = bench.ship(1, BOX);
    assert_eq!(shown(&repeat), (200, "completed", false), "{repeat:?}");
    assert_eq!(bench.executions(), 1);
}

#[test]
fn stopping_node_records_what_is_left() {
    let mut bench = Bench::new(Extra::default());
    // The node tries twice with the caller, and is stopped while a later try is under way.
    for fault in [Fault::None, Fault::Down, Fault::Down, Fault::HoldCall] {
        bench.plan(fault);
    }
    let answer = bench.ship(0, BOX);
    assert_eq!(shown(&answer), (200, "completed", false), "{answer:?}");
    futures::executor::block_on(bench.cluster.platform.memory().wait_for_plans());
    bench.cluster.nodes[0].signal("TERM");
    assert!(bench.cluster.nodes[0].wait_for_exit().success());
    bench.wait_for_record("completed");
    let repeat = bench.ship(1, BOX);
    assert_eq!(shown(&repeat), (200, "completed", false), "{repeat:?}");
    assert_eq!(bench.executions(), 1);
}
