//! RECOVER: all nodes are killed while a server is down and its group is dissolved.

use std::io::Error;
use std::thread;
use std::time::Duration;

use crate::engine::{Domain, FIGURES};
use crate::{Callers, Lab, Request, Verdict, configuration};

const ROUTE: &str = r#"{"name":"drafts","hostname":"desk.example","prefix":"/drafts/","route_type":"stream","timeout_ms":6000,"target_latency_ms":300,"priority":1,"service":"models","max_attempts":2,"resumable":true,"sticky":true,"gap_target_ms":200}"#;
/// Bound of the pages on recovery.
const RECOVER: Duration = Duration::from_secs(12);
/// Time for which requests are judged after that.
const JUDGED: Duration = Duration::from_secs(12);
/// Time of service before the first fault.
const CALM: Duration = Duration::from_secs(22);
/// Time for which a server that crashes is down at first, and time from one crash to the next.
const SHORT_DOWN: Duration = Duration::from_millis(700);
const CRASH_PERIOD: Duration = Duration::from_millis(4_200);
/// Number of crashes before the last one.
const CRASHES: u32 = 13;
/// Time for which the server is down after its last crash.
const CRASH_TIME: Duration = Duration::from_millis(5_690);
/// Time from that crash until the nodes are killed; its entry in the store has lapsed then.
const KILL_DELAY: Duration = Duration::from_millis(4_100);
/// Time for which all processes are down.
const DOWN_TIME: Duration = Duration::from_millis(1_200);
const PAUSE: Duration = Duration::from_millis(100);
const CRASHING: usize = 3;

pub fn play(lab: &mut Lab) -> Verdict {
    let service = format!(r#"{{"name":"models","max_connections":394,"engine":{FIGURES}}}"#);
    lab.store
        .put("op/config", &configuration(7, ROUTE, &service, ""));
    let domain = Domain::start(4, &lab.store, &lab.record)?;
    lab.start_nodes(2)?;
    let callers = Callers::default();
    let addresses: Vec<_> = lab.nodes.iter().map(|node| node.address()).collect();
    let (record, sending) = (lab.record.clone(), callers.clone());
    let begin = lab.record.now();
    let (stop, stopped) = std::sync::mpsc::channel::<()>();
    let sender = thread::spawn(move || {
        let mut number = 0;
        while stopped
            .recv_timeout(PAUSE)
            .is_err_and(|error| error == std::sync::mpsc::RecvTimeoutError::Timeout)
        {
            number += 1;
            let node = number % addresses.len();
            let request = Request {
                id: format!("q{number}"),
                path: "/drafts/a",
                deadline: Duration::from_secs(6),
                headers: "X-Jackdawstair-Model: m0\r\nX-Jackdawstair-Token-Count: 674,25\r\n\
                          X-Jackdawstair-Prompt-Prefix: 5c1e07a2:40,91bd3f06:634\r\n"
                    .to_owned(),
            };
            sending.send(&record, node, addresses[node], request);
        }
    });
    thread::sleep(CALM);
    let mut killed = lab.record.now();
    let mut back = killed;
    if lab.has_trouble {
        for _ in 0..CRASHES {
            let crashed_at = lab.record.now();
            domain.end_life(CRASHING);
            thread::sleep(SHORT_DOWN);
            domain.begin_life(CRASHING)?;
            lab.wait_until(crashed_at + CRASH_PERIOD);
        }
        domain.end_life(CRASHING);
        let crashed_at = lab.record.now();
        let returning = domain.clone();
        let return_of_server = thread::spawn(move || {
            thread::sleep(CRASH_TIME);
            returning.begin_life(CRASHING)
        });
        lab.wait_until(crashed_at + KILL_DELAY);
        if !domain.has_no_group() {
            return Err(Error::other("the group was not dissolved in time"));
        }
        lab.record.tell(format!(
            "the group is dissolved; servers have seen epochs up to {}; all nodes are killed",
            domain.highest_epoch()
        ));
        killed = lab.record.now();
        lab.nodes.iter_mut().for_each(|node| node.kill());
        thread::sleep(DOWN_TIME);
        for node in &mut lab.nodes {
            node.run()?;
        }
        if !lab
            .nodes
            .iter()
            .all(|node| node.wait_ready(Duration::from_secs(10)))
        {
            return Err(Error::other("a node did not come back"));
        }
        back = lab.record.now();
        lab.record.tell("all nodes are back and ready");
        return_of_server
            .join()
            .map_err(|_| Error::other("no server"))??;
    }
    thread::sleep((back + RECOVER + JUDGED).saturating_sub(lab.record.now()));
    drop(stop);
    sender.join().map_err(|_| Error::other("no callers"))?;
    let outcomes = callers.finish();
    let count = |from: Duration, until: Duration| {
        let sent = outcomes
            .iter()
            .filter(|outcome| outcome.sent >= from && outcome.sent < until);
        let served = sent.clone().filter(|outcome| outcome.is_served()).count();
        (served, sent.count())
    };
    let before = count(begin, killed);
    let after = count(back + RECOVER, back + RECOVER + JUDGED);
    lab.record.tell(format!(
        "served before the final fault: {} of {}; later than 12 s after the nodes are back: {} of {}",
        before.0, before.1, after.0, after.1
    ));
    if before.0 * 4 < before.1 || after.1 == 0 {
        return Err(Error::other(
            "too few requests were served before the final fault",
        ));
    }
    Ok(after.0 * 4 < after.1)
}
