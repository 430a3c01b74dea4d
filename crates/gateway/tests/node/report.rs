//! Reports of servers that arrive after the store has come back.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use async_trait::async_trait;
use jackdaw_core::backend::{Order, Reply, Report, Server};
use jackdaw_core::errors::{Error, Result};
use jackdaw_core::protocol::Orders;
use jackdaw_gateway::node::Parts;
use jackdaw_gateway::server::Ports;
use rstest::rstest;
use tokio::sync::watch;

use super::lines::Lines;
use super::store::MemoryStore;
use super::support::{
    KEEP, Process, Script, Servers, TIMEOUT, exchange, options, parts, request, server,
};

const OK: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-length: 4\r\n\r\ndoneKEEP";

/// A node that leads a zone whose servers are model engines.
struct Site {
    store: Arc<MemoryStore>,
    lines: Lines,
    process: Process,
}

impl Site {
    /// Registers servers, starts the node and waits until it leads.
    fn start(servers: &Servers, ids: &[&str], orders: Arc<dyn Orders>) -> Site {
        let registered = ids.iter().map(|id| Server {
            domain: "domain".into(),
            ..server(id, servers.listen())
        });
        let registered: Vec<Server> = registered.collect();
        let store = Arc::new(MemoryStore::new());
        store.put("configuration", "1");
        for id in ids {
            store.put(&format!("servers/{id}"), "");
        }
        let options = options("node");
        let ports = Ports::bind(&options).expect("ports are free");
        let lines = Lines::default();
        let parts = Parts {
            orders,
            ..parts(&store, registered, lines.logger())
        };
        let process = Process::launch(options, ports, parts);
        process.wait_ready();
        lines.wait_for(|line| line.message == "leadership won");
        Site {
            store,
            lines,
            process,
        }
    }
}

/// Servers of which the first does not answer; its second report is held up.
struct HeldReports {
    polls: AtomicUsize,
    is_held: watch::Sender<bool>,
    is_released: watch::Sender<bool>,
}

#[async_trait]
impl Orders for HeldReports {
    async fn order(&self, order: &Order) -> Result<Reply> {
        Err(Error::unreachable("send order", &order.server, "none"))
    }

    async fn report(&self, server: &str, _: SocketAddr) -> Result<Report> {
        if server != "s0" {
            return Ok(Report::default());
        }
        if self.polls.fetch_add(1, Ordering::SeqCst) > 0 {
            self.is_held.send_replace(true);
            let mut is_released = self.is_released.subscribe();
            // The sender lives as long as the test.
            let _ = is_released.wait_for(|is_released| *is_released).await;
        }
        Err(Error::unreachable("read report", server, "none"))
    }
}

// Guards against a node that removes a server's next life, as a report of its former one that was asked
// for before the registration fails after it (issue 47).
#[test]
fn server_that_registered_again_stays_though_its_former_life_misses_a_report() {
    assert!(OK.ends_with(KEEP), "the script keeps the connection open");
    let servers = Servers::with_scripts(&[OK; 100]);
    let reports = Arc::new(HeldReports {
        polls: AtomicUsize::new(0),
        is_held: watch::Sender::new(false),
        is_released: watch::Sender::new(false),
    });
    let Site {
        store,
        lines,
        process,
    } = Site::start(&servers, &["s0", "s1"], reports.clone());
    store.set_unavailable(true);
    let mut is_held = reports.is_held.subscribe();
    let held = async { tokio::time::timeout(TIMEOUT, is_held.wait_for(|held| *held)).await };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .expect("a runtime starts");
    let is_in_time = runtime.block_on(held).is_ok();
    assert!(is_in_time, "the second report is not asked for");
    // The first server's next life is registered, and the other one leaves.
    store.put("servers/s0", "2");
    store.put("servers/s1", "draining");
    store.set_unavailable(false);
    lines.wait_for(|line| {
        line.message == "store answers again" && line.field("prefix") == "servers/"
    });
    reports.is_released.send_replace(true);
    store.put("configuration", "2");
    lines.wait_for(|line| {
        line.message == "configuration in force" && line.number("version") == Some(2)
    });
    let answer = exchange(process.callers, &request("r1", "POST", "/steady/x"));
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    process.stop();
}

/// Longest time from a server's first answer until it gets requests again.
const RETURN_TIMEOUT: Duration = Duration::from_secs(2);

/// Servers of which the first gives no reports for a while.
#[derive(Default)]
struct LostReports {
    is_lost: AtomicBool,
}

#[async_trait]
impl Orders for LostReports {
    async fn order(&self, order: &Order) -> Result<Reply> {
        Err(Error::unreachable("send order", &order.server, "none"))
    }

    async fn report(&self, server: &str, _: SocketAddr) -> Result<Report> {
        if server == "s0" && self.is_lost.load(Ordering::SeqCst) {
            return Err(Error::unreachable("read report", server, "none"));
        }
        Ok(Report::default())
    }
}

#[derive(Debug)]
struct Return {
    name: &'static str,
    /// Whether the store answers again before the server does.
    is_after_outage: bool,
}

// Guards against a node that never takes a server back which missed its reports during an outage of the
// store, as the server's registration does not change afterwards (review/3).
#[rstest]
#[case(Return { name: "the server answers while the store is away", is_after_outage: false })]
#[case(Return { name: "the server answers after the store", is_after_outage: true })]
fn server_that_missed_reports_is_taken_back_once_it_answers(#[case] case: Return) {
    let servers = Servers::with_scripts(&[OK; 1_000]);
    let reports = Arc::new(LostReports::default());
    let Site {
        store,
        lines,
        process,
    } = Site::start(&servers, &["s0", "s1", "s2", "s3"], reports.clone());
    store.set_unavailable(true);
    reports.is_lost.store(true, Ordering::SeqCst);
    lines.wait_for(|line| {
        line.message
            .starts_with("server removed after missed reports")
    });
    // Nothing but the first server is left to serve requests.
    for id in ["s1", "s2", "s3"] {
        store.put(&format!("servers/{id}"), "draining");
    }
    let end_outage = || {
        store.set_unavailable(false);
        lines.wait_for(|line| {
            line.message == "store answers again" && line.field("prefix") == "servers/"
        });
    };
    if case.is_after_outage {
        end_outage();
        reports.is_lost.store(false, Ordering::SeqCst);
    } else {
        reports.is_lost.store(false, Ordering::SeqCst);
        lines.wait_for(|line| line.message == "server that had missed reports answers again");
        end_outage();
    }
    let answered_at = Instant::now();
    let mut answer = String::new();
    while answered_at.elapsed() < RETURN_TIMEOUT && !answer.starts_with("HTTP/1.1 200") {
        answer = exchange(process.callers, &request("r1", "POST", "/steady/x"));
        thread::sleep(Duration::from_millis(20));
    }
    assert!(
        answer.starts_with("HTTP/1.1 200"),
        "{}: {answer}",
        case.name
    );
    process.stop();
}
