//! LOST: a node is stopped while streams whose events have increasing numbers are under way.

use std::io::Error;
use std::thread;
use std::time::Duration;

use crate::plain::{Runs, Server, Work};
use crate::{Callers, Lab, Request, Verdict, configuration};

const ROUTE: &str = r#"{"name":"drafts","hostname":"desk.example","prefix":"/drafts/","route_type":"stream","timeout_ms":6000,"target_latency_ms":300,"priority":1,"service":"models","max_attempts":2,"resumable":true,"gap_target_ms":200}"#;
const SERVICE: &str = r#"{"name":"models","max_connections":394}"#;
/// Times from the start of the requests to the signal, and to the end of the requests.
const BEFORE: Duration = Duration::from_millis(3_000);
const AFTER: Duration = Duration::from_millis(2_000);
/// Time from SIGTERM to SIGKILL, and the time after it that counts as planned work.
const GRACE: Duration = Duration::from_secs(8);
const GRACE_SLACK: Duration = Duration::from_secs(1);
const PAUSE: Duration = Duration::from_millis(50);
/// Events of a stream, the pause before each, and the tokens in each, by which the events are numbered.
const EVENTS: u64 = 20;
const EVENT_PAUSE: Duration = Duration::from_millis(60);
const TOKENS: u64 = 5;

pub fn play(lab: &mut Lab) -> Verdict {
    lab.store
        .put("op/config", &configuration(7, ROUTE, SERVICE, ""));
    let runs = Runs::default();
    let work = Work {
        pause: EVENT_PAUSE,
        events: EVENTS,
        step: TOKENS,
        is_unframed: false,
    };
    for id in ["i-0", "i-1", "i-2"] {
        let server = Server::start(id, work, &runs, &lab.record)?;
        lab.store
            .put(&format!("servers/{id}"), &server.entry("models", "ready"));
    }
    lab.start_nodes(2)?;
    let callers = Callers::default();
    let begin = lab.record.now();
    let mut signalled = None;
    let mut number = 0;
    while lab.record.now() < begin + BEFORE + AFTER {
        if lab.has_trouble && signalled.is_none() && lab.record.now() >= begin + BEFORE {
            lab.nodes[0].terminate()?;
            signalled = Some(lab.record.now());
            lab.record.tell("node-0 is sent SIGTERM");
        }
        number += 1;
        let request = Request {
            id: format!("q{number}"),
            path: "/drafts/a",
            deadline: Duration::from_secs(6),
            headers: String::new(),
        };
        lab.record.write(format!("request {}", request.id));
        callers.send(&lab.record, 0, lab.nodes[0].address(), request);
        thread::sleep(PAUSE);
    }
    if let Some(signalled) = signalled {
        while !lab.nodes[0].has_ended() && lab.record.now() < signalled + GRACE {
            thread::sleep(Duration::from_millis(20));
        }
        lab.nodes[0].kill();
    }
    let outcomes = callers.finish();
    let runs = runs.lock().unwrap();
    let is_passed_on = |id: &str| runs.iter().any(|run| run.id == id);
    let lost = |outcome: &&crate::Outcome| {
        let is_cut = outcome
            .answer
            .as_ref()
            .is_none_or(|answer| !answer.is_complete);
        is_cut && is_passed_on(&outcome.id)
    };
    let cut = outcomes.iter().filter(lost).count();
    let served = outcomes
        .iter()
        .filter(|outcome| outcome.is_served())
        .count();
    lab.record.tell(format!(
        "{} streams: {served} whole, {cut} passed on and cut",
        outcomes.len()
    ));
    let Some(signalled) = signalled else {
        return Ok(false);
    };
    // A stream is past the reach of the excuses: its server is sound, needs 1.2 s, and the rule's bound is
    // the end of the grace period.
    let is_planned = |outcome: &&crate::Outcome| {
        let due = outcome.sent + Duration::from_secs(6);
        let work = EVENT_PAUSE * EVENTS as u32;
        outcome.ended >= signalled
            && outcome.ended <= signalled + GRACE + GRACE_SLACK
            && outcome.ended + Duration::from_millis(50) < due
            && outcome.sent + work < signalled + GRACE * 5 / 6
    };
    let planned = outcomes.iter().filter(lost).filter(is_planned).count();
    lab.record
        .tell(format!("cut around the planned stop: {planned}"));
    if outcomes.is_empty() {
        return Err(Error::other("no request was sent"));
    }
    Ok(planned > 0)
}
