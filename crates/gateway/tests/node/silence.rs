//! Tests of requests whose servers fall silent for a while and then go on, as those of one fabric
//! domain do together.

use std::time::Duration;

use rstest::rstest;

use super::domain::{Conduct, Domain, Point, Retries, configuration};

/// Time for which servers are silent; longer than the node waits at most for the next bytes.
const SILENCE: Duration = Duration::from_millis(1_500);
/// Time for which servers are silent under streams that have not begun, for which the node waits
/// longer.
const EARLY_SILENCE: Duration = Duration::from_millis(2_200);
/// Number of requests that wait at once.
const CALLERS: usize = 8;

/// Requests that wait for a silent server.
#[derive(Clone, Copy, Debug)]
struct Wait {
    method: &'static str,
    route: &'static str,
    point: Point,
}

const STREAM_HEAD: Wait = Wait {
    method: "POST",
    route: "/stream",
    point: Point::Head,
};
const STREAM_START: Wait = Wait {
    point: Point::FirstEvent,
    ..STREAM_HEAD
};
const STREAM: Wait = Wait {
    point: Point::Event,
    ..STREAM_HEAD
};
const WHOLE_HEAD: Wait = Wait {
    method: "GET",
    route: "/safe",
    point: Point::Head,
};
const WHOLE: Wait = Wait {
    point: Point::Body,
    ..WHOLE_HEAD
};
const FRAGILE_HEAD: Wait = Wait {
    route: "/fragile",
    ..STREAM_HEAD
};
const FRAGILE: Wait = Wait {
    route: "/fragile",
    ..STREAM
};
const ONCE_HEAD: Wait = Wait {
    method: "POST",
    route: "/once",
    ..WHOLE_HEAD
};
const ONCE: Wait = Wait {
    method: "POST",
    route: "/once",
    ..WHOLE
};

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
        .map(|(number, wait)| {
            let path = format!("{}{}{number}", wait.route, wait.point.label());
            domain.call(&format!("r{number}"), wait.method, &path)
        })
        .collect();
    domain.wait_held(CALLERS);
    domain.turn();
    domain.release_after(silence.span);
    for caller in callers {
        caller.assert_whole(silence.name);
    }
    domain.stop();
}
