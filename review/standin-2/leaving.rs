//! DRAIN: a server that leaves says so in its answers while the store is down.

use std::collections::HashMap;
use std::io::Error;
use std::thread;
use std::time::Duration;

use crate::plain::{Runs, Server, Work, by_request};
use crate::{Callers, Lab, Request, Verdict, configuration};

const ROUTE: &str = r#"{"name":"ship","hostname":"desk.example","prefix":"/ship/","route_type":"unsafe","timeout_ms":800,"target_latency_ms":150,"priority":2,"service":"orders","max_attempts":1}"#;
const SERVICE: &str = r#"{"name":"orders","max_connections":96}"#;
/// Work of a request.
const WORK: Duration = Duration::from_millis(100);
const PAUSE: Duration = Duration::from_millis(10);
/// Bound of the pages on draining.
const DRAIN: Duration = Duration::from_millis(2_000);
/// Time of requests before the store is down.
const CALM: Duration = Duration::from_secs(4);
/// Time for which the store is down.
const OUTAGE: Duration = Duration::from_millis(6_300);
/// Time from the begin of the outage until the server is told to leave.
const NOTICE: Duration = Duration::from_millis(300);
/// Time from that notice until the server is gone.
const NOTICE_TIME: Duration = Duration::from_millis(2_500);
/// Time of requests after the outage.
const REST: Duration = Duration::from_secs(2);

pub fn play(lab: &mut Lab) -> Verdict {
    lab.store
        .put("op/config", &configuration(7, ROUTE, SERVICE, ""));
    let runs = Runs::default();
    let work = Work {
        pause: WORK,
        ..Work::default()
    };
    let mut servers = Vec::new();
    for id in ["i-0", "i-1", "i-2"] {
        let server = Server::start(id, work, &runs, &lab.record)?;
        lab.store
            .put(&format!("servers/{id}"), &server.entry("orders", "ready"));
        servers.push(server);
    }
    lab.start_nodes(2)?;
    let callers = Callers::default();
    let begin = lab.record.now();
    let down = begin + CALM;
    let (store, record) = (lab.store.clone(), lab.record.clone());
    let (leaving, has_trouble) = (servers[0].clone(), lab.has_trouble);
    let events = thread::spawn(move || {
        thread::sleep(down.saturating_sub(record.now()));
        if has_trouble {
            record.tell("the store is down");
            store.set_down(true);
        }
        thread::sleep(NOTICE);
        record.tell(format!(
            "{} is told to leave and says so in its answers",
            leaving.id
        ));
        leaving.leave();
        let (reporting, entry) = (store.clone(), leaving.entry("orders", "draining"));
        let key = format!("servers/{}", leaving.id);
        let report = thread::spawn(move || {
            // A server reports again until the store has taken its report.
            reporting.wait_up();
            reporting.put(&key, &entry);
        });
        thread::sleep(NOTICE_TIME);
        record.tell(format!("{} is gone", leaving.id));
        leaving.end();
        thread::sleep((down + OUTAGE).saturating_sub(record.now()));
        store.set_down(false);
        record.tell("the store is up");
        let _ = report.join();
        store.delete(&format!("servers/{}", leaving.id));
    });
    let mut number = 0;
    while lab.record.now() < down + OUTAGE + REST {
        number += 1;
        let node = number % lab.nodes.len();
        let request = Request {
            id: format!("q{number}"),
            path: "/ship/a",
            deadline: Duration::from_millis(1_500),
            headers: String::new(),
        };
        callers.send(&lab.record, node, lab.nodes[node].address(), request);
        thread::sleep(PAUSE);
    }
    events
        .join()
        .map_err(|_| Error::other("the events were not played"))?;
    let outcomes = callers.finish();
    let runs = runs.lock().unwrap();
    let runs = by_request(&runs);
    // Time at which a node first passed on an answer in which the server says that it leaves.
    let mut told: HashMap<usize, Duration> = HashMap::new();
    for outcome in &outcomes {
        let answer = outcome
            .answer
            .as_ref()
            .filter(|answer| answer.status == 200);
        let says_so =
            answer.is_some_and(|answer| answer.head.header("server-leaving") == Some("1"));
        if says_so {
            let at = told.entry(outcome.node).or_insert(outcome.ended);
            *at = outcome.ended.min(*at);
        }
    }
    for (node, at) in &told {
        lab.record.tell(format!(
            "node-{node} passed the first such answer on at {:.3}",
            at.as_secs_f64()
        ));
    }
    let (mut late, mut lost) = (0, 0);
    for outcome in &outcomes {
        let runs = runs.get(outcome.id.as_str()).map_or(&[][..], Vec::as_slice);
        let at_leaving = runs.iter().find(|run| run.server == servers[0].id);
        let is_late = told
            .get(&outcome.node)
            .is_some_and(|at| outcome.sent > *at + DRAIN);
        if at_leaving.is_some() && is_late {
            late += 1;
            lab.record
                .write(format!("late: {} reached {}", outcome.id, servers[0].id));
            lost += usize::from(!outcome.is_served());
        }
    }
    lab.record.tell(format!(
        "requests sent later than 2 s after that which reached the server: {late}, of these not answered: {lost}"
    ));
    if told.is_empty() && lab.has_trouble {
        return Err(Error::other(
            "no node passed on an answer of the leaving server",
        ));
    }
    Ok(late > 0)
}
