//! ROUTE: a configuration takes the last tenant away.

use std::io::Error;
use std::thread;
use std::time::Duration;

use crate::plain::{Run, Runs, Server, Work};
use crate::{Callers, Lab, Outcome, Request, Verdict, configuration};

const ROUTE: &str = r#"{"name":"ship","hostname":"desk.example","prefix":"/ship/","route_type":"unsafe","timeout_ms":800,"target_latency_ms":150,"priority":2,"service":"orders","max_attempts":1,"allow_anonymous":false}"#;
const SERVICE: &str = r#"{"name":"orders","max_connections":96}"#;
/// Work of a request.
const WORK: Duration = Duration::from_millis(30);
/// Time of requests before and after the change.
const SPAN: Duration = Duration::from_secs(5);
const PAUSE: Duration = Duration::from_millis(50);
const KEY: &str = "n2ctnfzs989anu6wsjnb";
/// Key that no configuration holds.
const STRANGE_KEY: &str = "never-given-to-anyone";

/// Sends requests with each of some keys for a time.
fn send_all(lab: &Lab, callers: &Callers, phase: &str, keys: &[&str]) {
    let begin = lab.record.now();
    let mut number = 0;
    while lab.record.now() < begin + SPAN {
        number += 1;
        for (place, key) in keys.iter().enumerate() {
            let node = number % lab.nodes.len();
            let request = Request {
                id: format!("{phase}-{place}-{number}"),
                path: "/ship/a",
                deadline: Duration::from_millis(1_500),
                headers: format!("X-Jackdawstair-Key: {key}\r\n"),
            };
            callers.send(&lab.record, node, lab.nodes[node].address(), request);
        }
        thread::sleep(PAUSE);
    }
}

fn start(lab: &mut Lab, tenants: &str) -> std::io::Result<Runs> {
    lab.store
        .put("op/config", &configuration(7, ROUTE, SERVICE, tenants));
    let runs = Runs::default();
    let work = Work {
        pause: WORK,
        ..Work::default()
    };
    for id in ["i-0", "i-1", "i-2"] {
        let server = Server::start(id, work, &runs, &lab.record)?;
        lab.store
            .put(&format!("servers/{id}"), &server.entry("orders", "ready"));
    }
    lab.start_nodes(2)?;
    Ok(runs)
}

fn count(outcomes: &[Outcome], phase: &str, status: u16) -> usize {
    let of_phase = outcomes
        .iter()
        .filter(|outcome| outcome.id.starts_with(phase));
    of_phase
        .filter(|outcome| outcome.status() == status)
        .count()
}

pub fn play(lab: &mut Lab) -> Verdict {
    let tenants = format!(r#","tenants":[{{"name":"hule930","api_keys":["{KEY}"]}}]"#);
    let runs = start(lab, &tenants)?;
    let callers = Callers::default();
    send_all(lab, &callers, "before", &[KEY, STRANGE_KEY]);
    let tenants = match lab.has_trouble {
        true => r#","tenants":[]"#.to_owned(),
        false => r#","tenants":[{"name":"hule930","api_keys":[]}]"#.to_owned(),
    };
    lab.store
        .put("op/config", &configuration(9, ROUTE, SERVICE, &tenants));
    lab.record.tell(format!(
        "the operator takes the keys away: version 9{tenants}"
    ));
    // The version is in force everywhere after 2 s.
    thread::sleep(Duration::from_secs(2));
    send_all(lab, &callers, "after", &[KEY, STRANGE_KEY]);
    let outcomes = callers.finish();
    for (name, phase) in [
        ("the key, before", "before-0"),
        ("a key that nobody was given, before", "before-1"),
        ("the key, after", "after-0"),
        ("a key that nobody was given, after", "after-1"),
    ] {
        lab.record.tell(format!(
            "{name}: {} answered 200, {} answered 401",
            count(&outcomes, phase, 200),
            count(&outcomes, phase, 401)
        ));
    }
    let runs = runs.lock().unwrap();
    let is_strange = |run: &&Run| run.id.starts_with("before-1") || run.id.starts_with("after-1");
    let strange = runs.iter().filter(is_strange).count();
    lab.record.tell(format!(
        "runs of requests whose key no configuration ever held: {strange}"
    ));
    if count(&outcomes, "before-0", 200) == 0 {
        return Err(Error::other("no request was served before the change"));
    }
    Ok(strange > 0)
}
