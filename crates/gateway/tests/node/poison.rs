//! Tests of requests that end each server that begins to run them.

use std::io::{Read as _, Write as _};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use rstest::rstest;

use super::cluster::{CALLS, Cluster, ENDS_SERVERS, HELD_EVENTS, SILENCES_SERVERS};
use super::support::{TIMEOUT, request};

/// Time after the third lost server from which retries of the request are limited.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// Number of lost servers from which a request counts as one that ends servers.
const LOST_SERVERS: usize = 3;
/// Largest number of times that the request may reach servers afterwards.
const MAX_LATE_RETRIES: usize = 3;
/// Number of times that the caller repeats the request after [`STABLE_WINDOW`].
const LATE_REPETITIONS: usize = 8;
/// Message of a node that refuses the request from then on.
const REFUSED: &str = "request is refused from now on: servers ended under it";

/// How a request that ends servers comes again.
#[derive(Clone, Copy, Debug)]
struct Way {
    name: &'static str,
    path: &'static str,
    nodes: usize,
    servers: usize,
}

/// Repeats a request at all nodes in turn until [`STABLE_WINDOW`] after the third server ended under
/// it, and then [`LATE_REPETITIONS`] times.
///
/// Returns the time of the third end plus the window.
fn repeat_past_window(cluster: &Cluster, path: &str) -> Instant {
    let start = Instant::now();
    let mut count = 0;
    let mut repeat = || {
        let node = &cluster.nodes[count % cluster.nodes.len()];
        node.call(&format!("r{count}"), path);
        count += 1;
    };
    let window_end = loop {
        repeat();
        let third = cluster.servers.ended().get(LOST_SERVERS - 1).copied();
        let window_end = third.map(|third| third + STABLE_WINDOW);
        if let Some(window_end) = window_end.filter(|end| Instant::now() > *end) {
            break window_end;
        }
        assert!(start.elapsed() < TIMEOUT, "three servers never ended");
    };
    (0..LATE_REPETITIONS).for_each(|_| repeat());
    window_end
}

// Guards against a request that ends servers and is sent on without an end.
#[rstest]
#[case(Way { name: "a retry inside a node", path: "/safe/bad", nodes: 1, servers: 8 })]
#[case(Way { name: "the caller's own retry at another node", path: "/safe/bad", nodes: 4, servers: 8 })]
#[case(Way { name: "a stream that is resumed", path: "/stream/bad", nodes: 4, servers: 8 })]
#[case(Way { name: "a request that runs at most once", path: "/once/bad", nodes: 4, servers: 8 })]
#[case(Way { name: "a call made by a run", path: "/safe/calls", nodes: 4, servers: 8 })]
#[case(Way { name: "servers that fall silent", path: "/brisk/mute", nodes: 4, servers: 8 })]
#[case(Way { name: "a service of three servers", path: "/safe/bad", nodes: 4, servers: 3 })]
fn request_that_ended_three_servers_reaches_few_more(#[case] way: Way) {
    let effects = [ENDS_SERVERS, SILENCES_SERVERS, CALLS];
    assert!(effects.iter().any(|effect| way.path.contains(effect)));
    let cluster = Cluster::start(way.nodes, way.servers);
    let window_end = repeat_past_window(&cluster, way.path);
    let late = cluster.servers.arrived_after(window_end);
    let ended = cluster.servers.ended().len();
    println!("{}: {ended} servers ended, {late} late retries", way.name);
    assert!(
        late <= MAX_LATE_RETRIES,
        "{}: reached servers {late} times late, {ended} servers ended",
        way.name
    );
}

// Guards against a node that learns of the request only by losing servers itself.
#[test]
fn node_that_has_just_started_refuses_what_its_peers_refuse() {
    let mut cluster = Cluster::start(3, 8);
    repeat_past_window(&cluster, "/safe/bad");
    let before = cluster.servers.ended().len();
    cluster.add_node();
    cluster.assert_refused_by_last("/safe/bad", before);
}

// Guards against the loss of what all nodes knew when all of them end.
#[test]
fn nodes_that_replace_all_others_refuse_what_those_refused() {
    let mut cluster = Cluster::start(3, 8);
    repeat_past_window(&cluster, "/safe/bad");
    let before = cluster.servers.ended().len();
    cluster.stop_nodes();
    cluster.add_node();
    cluster.assert_refused_by_last("/safe/bad", before);
}

// Guards against a node that was cut off while its peers lost the servers.
#[test]
fn node_that_was_cut_off_refuses_what_its_peers_refuse() {
    let cluster = Cluster::start(3, 8);
    cluster.cut_off(2);
    let mut count = 0;
    while cluster.servers.ended().len() < LOST_SERVERS {
        cluster.nodes[count % 2].call(&format!("r{count}"), "/safe/bad");
        count += 1;
    }
    let third = cluster.servers.ended()[LOST_SERVERS - 1];
    cluster.heal();
    cluster.nodes[2].wait_logged(REFUSED);
    assert!(third.elapsed() <= STABLE_WINDOW, "learned too late");
    let before = cluster.servers.ended().len();
    cluster.assert_refused_by_last("/safe/bad", before);
}

// Guards against callers who lose their answers, or are refused, beside such a request.
#[test]
fn requests_in_flight_beside_it_are_served() {
    const STREAMS: usize = 6;
    let cluster = Cluster::start(2, 8);
    let streams: Vec<_> = (0..STREAMS)
        .map(|number| {
            let address = cluster.nodes[number % 2].address();
            let path = format!("/stream/held{number}");
            thread::spawn(move || {
                let mut stream = TcpStream::connect(address).expect("the node listens");
                stream
                    .set_read_timeout(Some(TIMEOUT))
                    .expect("the time-out is valid");
                let request = request(&format!("s{number}"), "GET", &path);
                stream
                    .write_all(request.as_bytes())
                    .expect("the node reads");
                let mut bytes = Vec::new();
                let _ = stream.read_to_end(&mut bytes);
                String::from_utf8_lossy(&bytes).into_owned()
            })
        })
        .collect();
    cluster.servers.wait_held(STREAMS);
    for count in 0..LATE_REPETITIONS {
        let node = &cluster.nodes[count % 2];
        node.call(&format!("r{count}"), "/safe/bad");
        let answer = node.call(&format!("o{count}"), &format!("/safe/other{count}"));
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
    cluster.servers.release();
    for (number, stream) in streams.into_iter().enumerate() {
        let answer = stream.join().expect("no test panicked");
        let events: Vec<&str> = answer
            .lines()
            .filter(|line| line.starts_with("id: ") && !line.starts_with("id: s"))
            .collect();
        let all: Vec<String> = (1..=HELD_EVENTS)
            .map(|number| format!("id: {number}"))
            .collect();
        assert_eq!(events, all, "stream {number}: {answer}");
        assert!(answer.ends_with("0\r\n\r\n"), "stream {number}: {answer}");
    }
}
