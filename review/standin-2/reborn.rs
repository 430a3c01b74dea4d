//! MIXED: a server is cut off within an answer without a length, crashes behind the cut and starts again. In
//! the variant `freeze` the link stays whole, and the node is frozen meanwhile.

use std::io::Error;
use std::thread;
use std::time::Duration;

use crate::plain::{Runs, Server, Work, whole};
use crate::proxy::Link;
use crate::{Callers, Lab, Request, Verdict, configuration};

const ROUTE: &str = r#"{"name":"ship","hostname":"desk.example","prefix":"/ship/","route_type":"unsafe","timeout_ms":800,"target_latency_ms":150,"priority":2,"service":"orders","max_attempts":1}"#;
const SERVICE: &str = r#"{"name":"orders","max_connections":96}"#;
/// Time between the two halves of an answer.
const HALF_TIME: Duration = Duration::from_millis(100);
/// Requests that are sent to a node just before, and the time for their first halves.
const REQUESTS: usize = 18;
const FIRST_HALF: Duration = Duration::from_millis(40);
/// Time for which the server is cut off, or the node is frozen.
const CUT: Duration = Duration::from_millis(650);
/// Time for which the server is down.
const DOWN: Duration = Duration::from_millis(500);
/// Time from the server's start until it registers, well within a heartbeat of 1.2 s.
const REGISTRATION: Duration = Duration::from_millis(250);
/// Number of cuts, with the requests at each node in turn, and the time between two.
const ROUNDS: usize = 6;
const REST: Duration = Duration::from_secs(4);

/// What keeps the end of the crashed server's connections from a node for a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    Cut,
    Freeze,
}

/// Plays the case with a server that is cut off.
pub fn play_cut(lab: &mut Lab) -> Verdict {
    play(lab, Way::Cut)
}

/// Plays the case with nodes that freeze.
pub fn play_freeze(lab: &mut Lab) -> Verdict {
    play(lab, Way::Freeze)
}

fn play(lab: &mut Lab, way: Way) -> Verdict {
    lab.store
        .put("op/config", &configuration(7, ROUTE, SERVICE, ""));
    let runs = Runs::default();
    let work = Work {
        pause: HALF_TIME,
        is_unframed: true,
        ..Work::default()
    };
    let mut servers = Vec::new();
    let link = Link::default();
    for id in ["i-0", "i-1", "i-2"] {
        let mut server = Server::start(id, work, &runs, &lab.record)?;
        if id == "i-0" {
            server.public_address = link.start(server.address)?;
        }
        let entry = server.entry("orders", "ready");
        lab.store.put(&format!("servers/{id}"), &entry);
        servers.push(server);
    }
    lab.start_nodes(2)?;
    let callers = Callers::default();
    for round in 0..ROUNDS {
        thread::sleep(REST);
        let node = round % lab.nodes.len();
        for number in 0..REQUESTS {
            let request = Request {
                id: format!("q{round}-{number}"),
                path: "/ship/a",
                deadline: Duration::from_millis(1_500),
                headers: String::new(),
            };
            callers.send(&lab.record, node, lab.nodes[node].address(), request);
        }
        thread::sleep(FIRST_HALF);
        if !lab.has_trouble {
            continue;
        }
        match way {
            Way::Cut => link.cut(true),
            Way::Freeze => lab.nodes[node].freeze()?,
        }
        let cut_at = lab.record.now();
        lab.record.write(format!("{way:?} begins, node-{node}"));
        servers[0].end();
        lab.record.write("i-0 crashes");
        thread::sleep(DOWN);
        let life = round as u64 + 1;
        let (address, public_address) = (servers[0].address, servers[0].public_address);
        servers[0] = Server::start_at(address, "i-0", work, &runs, &lab.record)?;
        servers[0].public_address = public_address;
        let started = lab.record.now();
        lab.record.write("i-0 starts again");
        lab.wait_until(cut_at + CUT);
        match way {
            Way::Cut => link.cut(false),
            Way::Freeze => lab.nodes[node].wake()?,
        }
        lab.record.write(format!("{way:?} ends"));
        lab.wait_until(started + REGISTRATION);
        let entry = servers[0].entry_of_life("orders", "ready", life);
        lab.store.put("servers/i-0", &entry);
        lab.record.write("i-0 registers");
    }
    thread::sleep(REST);
    let outcomes = callers.finish();
    let mut broken = 0;
    for outcome in outcomes.iter().filter(|outcome| outcome.is_served()) {
        let body = outcome
            .answer
            .as_ref()
            .map_or(&[][..], |answer| &answer.body);
        let expected = whole(&outcome.id);
        if body != expected.as_bytes() {
            broken += 1;
            lab.record.write(format!(
                "{}: {} of {} bytes as a whole success",
                outcome.id,
                body.len(),
                expected.len()
            ));
        }
    }
    let served = outcomes.iter().filter(|outcome| outcome.is_served());
    lab.record.tell(format!(
        "{} requests, {} answered with a whole success, of these with a part of the server's body: {broken}",
        outcomes.len(),
        served.count()
    ));
    if outcomes.iter().all(|outcome| !outcome.is_served()) {
        return Err(Error::other("no request was served"));
    }
    Ok(broken > 0)
}
