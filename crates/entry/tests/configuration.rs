//! Tests of what a new catalogue and new limits of a team change under requests.

mod support;

use std::io::{BufReader, Write as _};
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Instant;

use jackdaw_core::units::Millis;
use jackdaw_entry::shared::Options;
use jackdaw_entry::snapshot::Snapshot;
use jackdaw_policy::route;
use rstest::rstest;
use support::backend::Action::{Close, Tokens, Wait, Write};
use support::backend::{Backend, EVENT_TIMEOUT, FULL_ANSWER, STREAM_DONE, STREAM_HEAD, Script};
use support::caller::{Reply, Request, read_chunk, read_head};
use support::node::{Node, options};

/// Returns options under which one request runs at a time and waits for the test alone.
fn one_slot_options() -> Options {
    Options {
        first_byte_timeout: Millis::from_secs(60),
        buffered_answer_timeout: Millis::from_secs(60),
        idle_timeout: Millis::from_secs(60),
        route: route::Options {
            slots: 1,
            ..route::Options::default()
        },
        ..options()
    }
}

/// What is under way when the snapshot changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// The caller's body.
    Body,
    /// The wait behind another request.
    Queue,
    /// A whole answer.
    Answer,
    Stream,
    /// A stream whose server breaks off after the change.
    Resumption,
}

/// A change of the snapshot, and how requests under way end.
struct ChangeCase {
    change: fn(&mut Snapshot),
    /// Status of a request whose body is being read.
    body: u16,
    /// Status of a request that is queued.
    queue: u16,
    /// Whether a stream can be resumed.
    is_resumed: bool,
}

fn remove_team(snapshot: &mut Snapshot) {
    snapshot.teams.clear();
    Arc::make_mut(&mut snapshot.catalog).teams.clear();
}

fn forbid_model(snapshot: &mut Snapshot) {
    for team in snapshot.teams.values_mut() {
        Arc::make_mut(team).allowed = vec!["stock".into()];
    }
}

fn lower_limits(snapshot: &mut Snapshot) {
    for team in snapshot.teams.values_mut() {
        let team = Arc::make_mut(team);
        team.requests_per_second = 1;
        team.concurrency = 1;
        team.deadline_ms = Millis(1);
    }
}

fn add_nodes(snapshot: &mut Snapshot) {
    snapshot.nodes = 370;
    snapshot.zone_nodes = 93;
}

fn remove_model(snapshot: &mut Snapshot) {
    Arc::make_mut(&mut snapshot.catalog).models.clear();
    snapshot.models.clear();
}

fn remove_targets(snapshot: &mut Snapshot) {
    snapshot.models.values_mut().for_each(Vec::clear);
}

fn scripts(stage: Stage) -> Vec<Script> {
    match stage {
        Stage::Body => Vec::new(),
        Stage::Queue | Stage::Answer => vec![vec![Wait, Write(FULL_ANSWER)]],
        Stage::Stream => vec![vec![
            Write(STREAM_HEAD),
            Tokens(1),
            Wait,
            Write(STREAM_DONE),
        ]],
        Stage::Resumption => vec![
            vec![Write(STREAM_HEAD), Tokens(1), Wait, Close],
            vec![Write(STREAM_HEAD), Tokens(2), Write(STREAM_DONE)],
        ],
    }
}

/// Waits until the node has a number of requests in flight and has done what it can for them.
fn wait_in_flight(node: &Node, count: usize) {
    let start = Instant::now();
    while node.shared.drain.in_flight() < count {
        assert!(start.elapsed() < EVENT_TIMEOUT, "{count} requests");
        thread::yield_now();
    }
    // The node has one worker, which answers this when it has nothing left to do before.
    assert_eq!(health().send(node.address()).status, 200);
}

fn health() -> Request {
    Request {
        method: "GET",
        path: "/healthz",
        headers: vec![("connection", "close".to_owned())],
        body: String::new(),
    }
}

fn change(node: &Node, change: fn(&mut Snapshot)) {
    let mut next = Snapshot::clone(&node.shared.snapshot.load());
    change(&mut next);
    node.shared.snapshot.store(Arc::new(next));
}

/// Reads the rest of a stream of which one event has been read; returns whether it is complete, and
/// whether it ends with an error event.
fn read_stream(reader: &mut BufReader<&TcpStream>) -> (bool, bool) {
    let mut text = String::new();
    loop {
        match read_chunk(reader) {
            Some(chunk) if chunk.is_empty() => break,
            Some(chunk) => text.push_str(&chunk),
            None => return (false, false),
        }
    }
    let is_complete = text.ends_with("data: [DONE]\n\n");
    (is_complete, text.contains("event: error"))
}

// Guards against a request that a change ends without its whole answer or a problem.
#[rstest]
#[case::team_is_removed(ChangeCase { change: remove_team, body: 200, queue: 200, is_resumed: true })]
#[case::model_is_forbidden(ChangeCase { change: forbid_model, body: 200, queue: 200, is_resumed: true })]
#[case::limits_are_lowered(ChangeCase { change: lower_limits, body: 200, queue: 200, is_resumed: true })]
#[case::nodes_are_added(ChangeCase { change: add_nodes, body: 200, queue: 200, is_resumed: true })]
#[case::model_is_removed(ChangeCase { change: remove_model, body: 404, queue: 503, is_resumed: false })]
#[case::targets_are_removed(ChangeCase { change: remove_targets, body: 503, queue: 503, is_resumed: false })]
fn request_under_way_is_answered(
    #[case] case: ChangeCase,
    #[values(
        Stage::Body,
        Stage::Queue,
        Stage::Answer,
        Stage::Stream,
        Stage::Resumption
    )]
    stage: Stage,
) {
    let servers = if stage == Stage::Resumption { 2 } else { 1 };
    let backend = Backend::start(servers, &scripts(stage));
    let node = Node::start(one_slot_options(), &backend.addresses);
    let mut later = None;
    let request = match stage {
        Stage::Body | Stage::Queue | Stage::Answer => Request::completion(),
        Stage::Stream => Request::streamed(),
        // A stream under way waits for a target until its deadline.
        Stage::Resumption => Request::streamed().with_header("jackdawstair-deadline-ms", "3000"),
    };
    let text = request.encode();
    let (start, rest) = text.split_at(text.len() - 2);
    let mut caller = TcpStream::connect(node.address()).expect("connect");
    let set = caller.set_read_timeout(Some(EVENT_TIMEOUT));
    set.expect("timeout");
    caller.write_all(start.as_bytes()).expect("write");
    if stage != Stage::Body {
        caller.write_all(rest.as_bytes()).expect("write");
        backend.next_request();
    }
    wait_in_flight(&node, 1);
    if stage == Stage::Queue {
        later = Some(Request::completion().open(node.address()));
        wait_in_flight(&node, 2);
    }
    let mut reader = BufReader::new(&caller);
    if matches!(stage, Stage::Stream | Stage::Resumption) {
        assert_eq!(read_head(&mut reader).0, 200);
        read_chunk(&mut reader).expect("a first event");
    }
    change(&node, case.change);
    if stage == Stage::Body {
        (&caller).write_all(rest.as_bytes()).expect("write");
    } else {
        backend.release();
    }
    match stage {
        Stage::Body => assert_eq!(Reply::read(&caller).status, case.body),
        Stage::Answer => assert_eq!(Reply::read(&caller).outcome(), "completed"),
        Stage::Queue => {
            assert_eq!(Reply::read(&caller).outcome(), "completed");
            let later = Reply::read(&later.expect("a second request"));
            assert_eq!(later.status, case.queue, "{later:?}");
        }
        Stage::Stream => assert_eq!(read_stream(&mut reader), (true, false)),
        Stage::Resumption => {
            let ended = read_stream(&mut reader);
            assert_eq!(ended, (case.is_resumed, !case.is_resumed));
        }
    }
}
