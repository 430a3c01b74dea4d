//! Tests of requests whose servers fall silent for a while and then go on, as those of one fabric
//! domain do together.

use std::io::{BufRead as _, BufReader, Write as _};
use std::net::TcpStream;
use std::time::Duration;

use jackdaw_core::units::Millis;
use rstest::rstest;

use super::domain::{
    Caller, Conduct, Domain, FRAGILE, FRAGILE_HEAD, ONCE, ONCE_HEAD, Retries, STREAM, STREAM_HEAD,
    STREAM_START, WHOLE, WHOLE_HEAD, Wait, configuration,
};
use super::relay::DISCONNECT_TIMEOUT;
use super::support::request;

/// Time for which servers are silent; longer than the node waits at most for the next bytes.
const SILENCE: Duration = Duration::from_millis(1_500);
/// Time for which servers are silent under streams that have not begun, for which the node waits
/// longer.
const EARLY_SILENCE: Duration = Duration::from_millis(2_200);
/// Number of requests that wait at once.
const CALLERS: usize = 8;

/// What is under way when servers fall silent, and what the node could try meanwhile.
#[derive(Clone, Copy, Debug)]
struct Silence {
    name: &'static str,
    waits: &'static [Wait],
    span: Duration,
    conducts: &'static [Conduct],
    retries: Retries,
    max_attempts: u32,
}

/// Three silent servers beside a sound one, and a single retry.
const SCARCE: Silence = Silence {
    name: "",
    waits: &[],
    span: SILENCE,
    conducts: &[
        Conduct::Silent,
        Conduct::Silent,
        Conduct::Silent,
        Conduct::Sound,
    ],
    retries: Retries::One,
    max_attempts: 2,
};
/// As many retries as the requests could use.
const AMPLE: Silence = Silence {
    retries: Retries::Many,
    ..SCARCE
};

// Guards against answers that are broken off or refused because their servers were silent, although
// the servers go on long before the deadline.
#[rstest]
#[case(Silence { name: "streams before their heads, one retry left", waits: &[STREAM_HEAD], span: EARLY_SILENCE, ..SCARCE })]
#[case(Silence { name: "streams before their first events, one retry left", waits: &[STREAM_START], span: EARLY_SILENCE, ..SCARCE })]
#[case(Silence { name: "streams under way, one retry left", waits: &[STREAM], ..SCARCE })]
#[case(Silence { name: "whole answers before their heads, one retry left", waits: &[WHOLE_HEAD], ..SCARCE })]
#[case(Silence { name: "whole answers within their bodies, one retry left", waits: &[WHOLE], ..SCARCE })]
#[case(Silence { name: "streams before their heads, no retry left", waits: &[STREAM_HEAD], span: EARLY_SILENCE, retries: Retries::None, ..SCARCE })]
#[case(Silence { name: "streams under way, no retry left", waits: &[STREAM], retries: Retries::None, ..SCARCE })]
#[case(Silence { name: "whole answers before their heads, no retry left", waits: &[WHOLE_HEAD], retries: Retries::None, ..SCARCE })]
#[case(Silence { name: "whole answers within their bodies, no retry left", waits: &[WHOLE], retries: Retries::None, ..SCARCE })]
#[case(Silence { name: "streams under way, no other target", waits: &[STREAM], conducts: &[Conduct::Silent], ..AMPLE })]
#[case(Silence { name: "whole answers before their heads, no other target", waits: &[WHOLE_HEAD], conducts: &[Conduct::Silent], ..AMPLE })]
#[case(Silence { name: "streams under way, the other target leaves", waits: &[STREAM], conducts: &[Conduct::Silent, Conduct::Withdrawn], ..AMPLE })]
#[case(Silence { name: "whole answers before their heads, the other target leaves", waits: &[WHOLE_HEAD], conducts: &[Conduct::Silent, Conduct::Withdrawn], ..AMPLE })]
#[case(Silence { name: "streams before their heads, the other target refuses", waits: &[STREAM_HEAD], span: EARLY_SILENCE, conducts: &[Conduct::Silent, Conduct::Refusing], ..AMPLE })]
#[case(Silence { name: "streams before their first events, the other target refuses", waits: &[STREAM_START], span: EARLY_SILENCE, conducts: &[Conduct::Silent, Conduct::Refusing], ..AMPLE })]
#[case(Silence { name: "streams under way, the other target refuses", waits: &[STREAM], conducts: &[Conduct::Silent, Conduct::Refusing], ..AMPLE })]
#[case(Silence { name: "whole answers before their heads, the other target refuses", waits: &[WHOLE_HEAD], conducts: &[Conduct::Silent, Conduct::Refusing], ..AMPLE })]
#[case(Silence { name: "whole answers within their bodies, the other target refuses", waits: &[WHOLE], conducts: &[Conduct::Silent, Conduct::Refusing], ..AMPLE })]
#[case(Silence { name: "streams before their heads, the other target closes at once", waits: &[STREAM_HEAD], span: EARLY_SILENCE, conducts: &[Conduct::Silent, Conduct::Closing], ..AMPLE })]
#[case(Silence { name: "streams under way, the other target closes at once", waits: &[STREAM], conducts: &[Conduct::Silent, Conduct::Closing], ..AMPLE })]
#[case(Silence { name: "whole answers before their heads, the other target closes at once", waits: &[WHOLE_HEAD], conducts: &[Conduct::Silent, Conduct::Closing], ..AMPLE })]
#[case(Silence { name: "whole answers within their bodies, the other target closes at once", waits: &[WHOLE], conducts: &[Conduct::Silent, Conduct::Closing], ..AMPLE })]
#[case(Silence { name: "streams under way, the other target sends garbage", waits: &[STREAM], conducts: &[Conduct::Silent, Conduct::Garbled], ..AMPLE })]
#[case(Silence { name: "whole answers before their heads, the other target sends garbage", waits: &[WHOLE_HEAD], conducts: &[Conduct::Silent, Conduct::Garbled], ..AMPLE })]
#[case(Silence { name: "streams before their heads, all targets silent", waits: &[STREAM_HEAD], span: EARLY_SILENCE, conducts: &[Conduct::Silent; 3], ..AMPLE })]
#[case(Silence { name: "streams under way, all targets silent", waits: &[STREAM], conducts: &[Conduct::Silent; 3], ..AMPLE })]
#[case(Silence { name: "whole answers before their heads, all targets silent", waits: &[WHOLE_HEAD], conducts: &[Conduct::Silent; 3], ..AMPLE })]
#[case(Silence { name: "whole answers within their bodies, all targets silent", waits: &[WHOLE], conducts: &[Conduct::Silent; 3], ..AMPLE })]
#[case(Silence { name: "streams under way, one retry left and all targets silent", waits: &[STREAM], conducts: &[Conduct::Silent; 3], ..SCARCE })]
#[case(Silence { name: "streams under way, four attempts and all targets silent", waits: &[STREAM], conducts: &[Conduct::Silent; 5], max_attempts: 4, ..AMPLE })]
#[case(Silence { name: "whole answers before their heads, four attempts and all targets silent", waits: &[WHOLE_HEAD], conducts: &[Conduct::Silent; 5], max_attempts: 4, ..AMPLE })]
#[case(Silence { name: "streams under way, four attempts and the other targets refuse", waits: &[STREAM], conducts: &[Conduct::Silent, Conduct::Refusing, Conduct::Refusing, Conduct::Refusing], max_attempts: 4, ..AMPLE })]
#[case(Silence { name: "streams under way, one attempt", waits: &[STREAM], max_attempts: 1, ..AMPLE })]
#[case(Silence { name: "whole answers before their heads, one attempt", waits: &[WHOLE_HEAD], max_attempts: 1, ..AMPLE })]
#[case(Silence { name: "streams that may not be resumed, before their heads", waits: &[FRAGILE_HEAD], span: EARLY_SILENCE, ..AMPLE })]
#[case(Silence { name: "streams that may not be resumed, under way", waits: &[FRAGILE], ..AMPLE })]
#[case(Silence { name: "requests that run at most once, before their heads", waits: &[ONCE_HEAD], ..AMPLE })]
#[case(Silence { name: "requests that run at most once, within their bodies", waits: &[ONCE], ..AMPLE })]
#[case(Silence { name: "streams under way, many retries and a sound target", waits: &[STREAM], ..AMPLE })]
#[case(Silence { name: "whole answers before their heads, many retries and a sound target", waits: &[WHOLE_HEAD], ..AMPLE })]
#[case(Silence { name: "all of them, one retry left", waits: &[STREAM_HEAD, STREAM_START, STREAM, WHOLE_HEAD, WHOLE], span: EARLY_SILENCE, ..SCARCE })]
#[case(Silence { name: "all of them, no retry left", waits: &[STREAM_HEAD, STREAM_START, STREAM, WHOLE_HEAD, WHOLE], span: EARLY_SILENCE, retries: Retries::None, ..SCARCE })]
fn answers_are_whole_although_their_servers_were_silent(#[case] silence: Silence) {
    let configuration = configuration(silence.max_attempts);
    let domain = Domain::start(silence.conducts, silence.retries, vec![configuration]);
    domain.silence();
    let waits = silence.waits.iter().cycle();
    let callers: Vec<_> = waits
        .take(CALLERS)
        .enumerate()
        .map(|(number, wait)| wait.call(&domain, number))
        .collect();
    domain.wait_held(CALLERS);
    domain.turn();
    domain.release_after(silence.span);
    for caller in callers {
        caller.assert_whole(silence.name);
    }
    domain.stop();
}

/// How the node can send on a stream whose server has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Relief {
    /// Later requests earn a retry.
    Retry,
    /// Another server registers.
    Register,
    /// The server starts again.
    Restart,
}

/// Time after which a server registers or starts again.
const ABSENCE: Duration = Duration::from_millis(500);

/// Requests whose server ends, and what comes later.
#[derive(Clone, Copy, Debug)]
struct End {
    name: &'static str,
    wait: Wait,
    callers: usize,
    conducts: &'static [Conduct],
    retries: Retries,
    /// Whether the registration of the server ends with it.
    is_withdrawn: bool,
    relief: Relief,
}

const NO_RETRY: End = End {
    name: "",
    wait: STREAM,
    callers: 1,
    conducts: &[Conduct::Sound; 2],
    retries: Retries::None,
    is_withdrawn: false,
    relief: Relief::Retry,
};
const NO_TARGET: End = End {
    conducts: &[Conduct::Sound, Conduct::Late],
    retries: Retries::Many,
    relief: Relief::Register,
    ..NO_RETRY
};

impl End {
    /// Lets servers fall silent under the requests, and ends the server of the first request.
    fn begin(&self) -> (Domain, Vec<Caller>) {
        let domain = Domain::start(self.conducts, self.retries, vec![configuration(2)]);
        domain.silence();
        let callers: Vec<_> = (0..self.callers)
            .map(|number| self.wait.call(&domain, number))
            .collect();
        domain.wait_held(self.callers);
        let server = domain.servers_of("r0")[0];
        if self.is_withdrawn {
            domain.withdraw(server);
        }
        domain.end(server);
        (domain, callers)
    }
}

// Guards against streams under way that are broken off when their server ends, because no retry or
// no other target is there at that moment.
#[rstest]
#[case(End { name: "no retry", ..NO_RETRY })]
#[case(End { name: "no retry, several streams", callers: 4, ..NO_RETRY })]
#[case(End { name: "no retry, the server's registration ends", is_withdrawn: true, ..NO_RETRY })]
#[case(End { name: "no other target", ..NO_TARGET })]
#[case(End { name: "no other target, several streams", callers: 4, ..NO_TARGET })]
#[case(End { name: "no target at all", is_withdrawn: true, ..NO_TARGET })]
#[case(End { name: "no other target, the server starts again", relief: Relief::Restart, ..NO_TARGET })]
#[case(End { name: "no target at all, the server starts again", is_withdrawn: true, relief: Relief::Restart, ..NO_TARGET })]
fn streams_whose_server_ends_are_resumed_as_soon_as_they_can_be(#[case] end: End) {
    let (domain, callers) = end.begin();
    match end.relief {
        Relief::Retry => {
            while callers.iter().any(|caller| !caller.has_ended()) {
                domain.probe();
            }
        }
        Relief::Register => {
            domain.pause(ABSENCE);
            domain.register(1);
        }
        Relief::Restart => {
            domain.pause(ABSENCE);
            domain.restart(0);
        }
    }
    for caller in callers {
        caller.assert_whole(end.name);
    }
    domain.stop();
}

// Guards against requests that are held although their caller has nothing of the answer, or the
// answer cannot be resumed, when their server has ended and no other attempt is possible.
#[rstest]
#[case(End { name: "a stream before its head, no retry", wait: STREAM_HEAD, ..NO_RETRY })]
#[case(End { name: "a stream before its first event, no retry", wait: STREAM_START, ..NO_RETRY })]
#[case(End { name: "a whole answer before its head, no retry", wait: WHOLE_HEAD, ..NO_RETRY })]
#[case(End { name: "a whole answer within its body, no retry", wait: WHOLE, ..NO_RETRY })]
#[case(End { name: "a stream before its head, no other target", wait: STREAM_HEAD, ..NO_TARGET })]
#[case(End { name: "a stream before its first event, no other target", wait: STREAM_START, ..NO_TARGET })]
#[case(End { name: "a whole answer before its head, no other target", wait: WHOLE_HEAD, ..NO_TARGET })]
#[case(End { name: "a whole answer within its body, no target at all", wait: WHOLE, is_withdrawn: true, ..NO_TARGET })]
#[case(End { name: "a stream that may not be resumed", wait: FRAGILE, ..NO_TARGET })]
#[case(End { name: "a request that runs at most once", wait: ONCE_HEAD, ..NO_TARGET })]
fn requests_whose_server_ends_are_given_up_at_once_if_their_caller_has_nothing_to_resume(
    #[case] end: End,
) {
    let (domain, callers) = end.begin();
    for caller in callers {
        caller.assert_given_up(end.name);
    }
    domain.stop();
}

// Guards against streams that wait for a target beyond their deadline, and look complete then.
#[test]
fn stream_that_cannot_be_resumed_before_its_deadline_is_broken_off_then() {
    let domain = Domain::start(&[Conduct::Sound], Retries::Many, vec![configuration(2)]);
    domain.silence();
    let caller = domain.call_within(Millis(1_500), "r0", "POST", "/stream/event/0");
    domain.wait_held(1);
    domain.end(0);
    caller.assert_given_up("no target at all");
    domain.stop();
}

// Guards against streams that are sent on although their callers have disconnected.
#[test]
fn stream_whose_caller_has_disconnected_is_not_resumed() {
    let conducts = &[Conduct::Sound, Conduct::Late];
    let domain = Domain::start(conducts, Retries::Many, vec![configuration(2)]);
    domain.silence();
    let mut stream = TcpStream::connect(domain.address()).expect("the node listens");
    let request = request("r0", "POST", "/stream/event/0");
    stream
        .write_all(request.as_bytes())
        .expect("the node reads");
    let mut lines = BufReader::new(&stream).lines();
    let last = lines.find(|line| line.as_ref().is_ok_and(|line| line == "id: 3"));
    assert!(last.is_some(), "the third event does not arrive");
    domain.end(0);
    drop(lines);
    drop(stream);
    domain.pause(ABSENCE);
    domain.register(1);
    domain.wait_registered(1);
    domain.pause(ABSENCE);
    assert_eq!(domain.servers_of("r0"), [0]);
    domain.stop();
}

// Guards against requests that wait for a silent server alone although another one could answer them.
#[rstest]
#[case(Silence { name: "a stream before its head", waits: &[STREAM_HEAD], ..AMPLE })]
#[case(Silence { name: "a stream before its first event", waits: &[STREAM_START], ..AMPLE })]
#[case(Silence { name: "a stream under way", waits: &[STREAM], ..AMPLE })]
#[case(Silence { name: "a whole answer before its head", waits: &[WHOLE_HEAD], ..AMPLE })]
#[case(Silence { name: "a whole answer within its body", waits: &[WHOLE], ..AMPLE })]
fn requests_at_silent_servers_reach_another_one_long_before_their_deadline(
    #[case] silence: Silence,
) {
    let conducts = &[Conduct::Sound; 2];
    let domain = Domain::start(conducts, silence.retries, vec![configuration(2)]);
    domain.silence();
    let caller = silence.waits[0].call(&domain, 0);
    domain.wait_held(1);
    domain.turn();
    caller.assert_whole_early(silence.name);
    domain.stop();
}

// Guards against streams that go on after their deadline because their events follow each other
// without a pause.
#[test]
fn stream_whose_events_do_not_pause_ends_at_its_deadline() {
    let domain = Domain::start(&[Conduct::Sound], Retries::None, vec![configuration(2)]);
    let caller = domain.call_within(Millis(1_500), "r0", "POST", "/stream/endless/0");
    caller.assert_given_up("events without a pause");
    domain.stop();
}

/// Number of servers under whose end a request is refused.
const CRASHES: usize = 3;

// Guards against a request that is refused because servers that had answered it after a silence are
// replaced later.
#[test]
fn request_that_silent_servers_have_answered_is_not_held_against_it_when_they_are_replaced() {
    let conducts = &[
        Conduct::Sound,
        Conduct::Sound,
        Conduct::Sound,
        Conduct::Late,
    ];
    let domain = Domain::start(conducts, Retries::None, vec![configuration(2)]);
    domain.silence();
    let mut callers = Vec::new();
    while !(0..CRASHES).all(|server| domain.servers_of("r0").contains(&server)) {
        callers.push(WHOLE_HEAD.call_as(&domain, "r0"));
        domain.wait_held(callers.len());
    }
    domain.release_after(SILENCE);
    for caller in callers {
        caller.assert_whole("a silent server");
    }
    (0..CRASHES).for_each(|server| domain.replace(server));
    domain.register(CRASHES);
    domain.wait_registered(CRASHES);
    WHOLE_HEAD
        .call_as(&domain, "r0")
        .assert_whole("the same request");
    domain.stop();
}

// Guards against a silent request that takes retries which it cannot use, so that others have none.
#[test]
fn silent_request_that_may_not_be_sent_again_takes_no_retry() {
    let domain = Domain::start(&[Conduct::Ending; 5], Retries::None, vec![configuration(2)]);
    domain.silence();
    let held = WHOLE_HEAD.call_as(&domain, "r0");
    domain.wait_held(1);
    domain.turn();
    // The same request ends servers until it is refused.
    loop {
        let before = domain.servers_of("r1").len();
        WHOLE_HEAD
            .call_as(&domain, "r1")
            .assert_given_up("a server ends");
        let ended = domain.servers_of("r1").split_off(before);
        if ended.is_empty() {
            break;
        }
        ended
            .into_iter()
            .for_each(|number| domain.listen_again(number));
    }
    domain.silence();
    domain.earn_retry();
    let other = WHOLE_HEAD.call(&domain, 2);
    domain.wait_held(3);
    domain.release();
    held.assert_whole("the request that may not be sent again");
    other.assert_whole("the request that may be sent again");
    domain.stop();
}

/// Which of two attempts at silent servers goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Winner {
    First,
    Second,
}

// Guards against servers that go on working at a request that another one has answered, and against
// answers that are lost or doubled when a silent server goes on beside the next attempt.
#[rstest]
#[case(STREAM_HEAD)]
#[case(STREAM_START)]
#[case(STREAM)]
#[case(WHOLE_HEAD)]
#[case(WHOLE)]
fn attempt_beside_the_one_that_answers_is_ended(
    #[case] wait: Wait,
    #[values(Winner::First, Winner::Second)] winner: Winner,
) {
    let conducts = &[Conduct::Silent; 3];
    let domain = Domain::start(conducts, Retries::Many, vec![configuration(2)]);
    domain.silence();
    let caller = wait.call(&domain, 0);
    domain.wait_held(2);
    let servers = domain.servers_of("r0");
    domain.release_one(match winner {
        Winner::First => servers[0],
        Winner::Second => servers[1],
    });
    caller.assert_whole("an attempt beside another");
    assert!(
        domain.rests_within(DISCONNECT_TIMEOUT),
        "a server works on after the answer"
    );
    assert_eq!(domain.servers_of("r0"), servers);
    domain.stop();
}

/// Requests whose servers all fall silent, and go on at the same time.
#[derive(Clone, Copy, Debug)]
struct Return {
    name: &'static str,
    waits: &'static [Wait],
    max_attempts: u32,
}

// Guards against requests that reach more servers than their route allows while servers are silent.
#[rstest]
#[case(Return { name: "streams, two attempts", waits: &[STREAM_HEAD, STREAM_START, STREAM], max_attempts: 2 })]
#[case(Return { name: "streams, three attempts", waits: &[STREAM_HEAD, STREAM_START, STREAM], max_attempts: 3 })]
#[case(Return { name: "whole answers, two attempts", waits: &[WHOLE_HEAD, WHOLE], max_attempts: 2 })]
#[case(Return { name: "whole answers, three attempts", waits: &[WHOLE_HEAD, WHOLE], max_attempts: 3 })]
#[case(Return { name: "one attempt", waits: &[STREAM_HEAD, STREAM, WHOLE_HEAD, WHOLE], max_attempts: 1 })]
#[case(Return { name: "requests that may not be repeated", waits: &[FRAGILE_HEAD, FRAGILE, ONCE_HEAD, ONCE], max_attempts: 2 })]
fn requests_before_silent_servers_reach_as_many_as_their_route_allows(#[case] case: Return) {
    let conducts = &[Conduct::Silent; 5];
    let configuration = configuration(case.max_attempts);
    let domain = Domain::start(conducts, Retries::Many, vec![configuration]);
    domain.silence();
    let waits = case.waits.iter().cycle().take(CALLERS);
    let callers: Vec<_> = waits
        .enumerate()
        .map(|(number, wait)| wait.call(&domain, number))
        .collect();
    domain.wait_held(CALLERS);
    domain.release_after(EARLY_SILENCE);
    for caller in callers {
        caller.assert_whole(case.name);
    }
    assert!(
        domain.rests_within(DISCONNECT_TIMEOUT),
        "{}: a server works on after the answers",
        case.name
    );
    for number in 0..CALLERS {
        let servers = domain.servers_of(&format!("r{number}"));
        let max_attempts = case.max_attempts as usize;
        assert!(servers.len() <= max_attempts, "{}: {servers:?}", case.name);
    }
    domain.stop();
}

// Guards against a request that stays with a silent server although another one could answer it
// before the deadline.
#[rstest]
#[case(STREAM_HEAD)]
#[case(STREAM_START)]
#[case(STREAM)]
#[case(WHOLE_HEAD)]
#[case(WHOLE)]
fn request_before_a_server_that_stays_silent_is_answered_by_another(#[case] wait: Wait) {
    let conducts = &[Conduct::Sound; 2];
    let domain = Domain::start(conducts, Retries::Many, vec![configuration(2)]);
    domain.silence();
    let path = format!("{}{}0", wait.route, wait.point.label());
    let caller = domain.call_within(Millis(4_000), "r0", wait.method, &path);
    domain.wait_held(1);
    domain.turn();
    caller.assert_whole("a server that stays silent");
    assert!(
        domain.rests_within(DISCONNECT_TIMEOUT),
        "a server works on after the answer"
    );
    domain.stop();
}
