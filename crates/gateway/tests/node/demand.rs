//! Demand for each model, as nodes tell it to each other and leaders use it.

use std::net::UdpSocket;
use std::time::{Duration, Instant};

use jackdaw_policy::demand;
use rstest::rstest;

use crate::cluster::{Cluster, Member};
use crate::support::{TIMEOUT, exchange};

/// Number of prompt tokens of a request; ten times the mean.
const PROMPT: u32 = 10_000;

/// Starts a node whose service has a number of models, none of which is served.
fn start(models: usize) -> Cluster {
    let cluster = Cluster::start(1, 1);
    cluster
        .store
        .put("configuration", &format!("2 models:{models}"));
    cluster.nodes[0].wait_logged("configuration in force");
    cluster
}

/// Sends a request for a model, which is refused.
fn call(node: &Member, model: &str) {
    let request = format!(
        "GET /stream/x HTTP/1.1\r\nhost: host\r\nid: r\r\ndeadline: 4000\r\nmodel: {model}\r\nprompt: {PROMPT}\r\nconnection: close\r\n\r\n"
    );
    let answer = exchange(node.address(), &request);
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
}

/// Returns a socket whose address the node learns from a datagram.
fn introduce(node: &Member) -> UdpSocket {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port is free");
    let address = socket.local_addr().expect("the socket is bound");
    let mut datagram = Vec::new();
    for (tag, text) in [(0x0a, "other".to_owned()), (0x4a, address.to_string())] {
        datagram.extend([tag, text.len() as u8]);
        datagram.extend(text.as_bytes());
    }
    let sent = socket.send_to(&datagram, node.datagrams());
    sent.expect("the datagram is sent");
    let timeout = Some(Duration::from_millis(500));
    socket.set_read_timeout(timeout).expect("the time is valid");
    socket
}

/// Returns the field with a model's demand up to its work, as it stands in datagrams.
fn field(model: &str) -> Vec<u8> {
    let mut field = vec![0x09];
    field.extend(demand::key("service", model).to_le_bytes());
    field.push(0x10);
    field
}

/// Reads datagrams until one contains some bytes, or a number of them do not.
fn is_told(socket: &UdpSocket, field: &[u8], datagrams: usize) -> bool {
    let mut buf = [0; 2_048];
    (0..datagrams).any(|_| {
        let len = socket.recv(&mut buf).unwrap_or_default();
        buf[..len].windows(field.len()).any(|part| part == field)
    })
}

#[derive(Debug)]
struct Told {
    name: &'static str,
    models: usize,
    requested: &'static str,
    is_told: bool,
}

// Guards against refused requests that do not count, and against datagrams that grow where models share
// no servers.
#[rstest]
#[case(Told { name: "two models", models: 2, requested: "m1", is_told: true })]
#[case(Told { name: "one model", models: 1, requested: "m0", is_told: false })]
#[case(Told { name: "a model that is not configured", models: 2, requested: "m7", is_told: false })]
fn refused_requests_count_where_models_share_servers(#[case] case: Told) {
    let cluster = start(case.models);
    let node = &cluster.nodes[0];
    let socket = introduce(node);
    // The first version of the configuration has no engine.
    let since = Instant::now();
    let mut is_told_once = false;
    while since.elapsed() < TIMEOUT && !is_told_once {
        call(node, case.requested);
        is_told_once = is_told(&socket, &field(case.requested), 4);
        if !case.is_told && since.elapsed() > Duration::from_secs(2) {
            break;
        }
    }
    assert_eq!(is_told_once, case.is_told, "{}", case.name);
}

// Guards against a leader that does not use what is measured.
#[test]
fn leader_puts_measured_shares_in_force() {
    let cluster = start(2);
    let node = &cluster.nodes[0];
    let since = Instant::now();
    while since.elapsed() < 3 * TIMEOUT && !node.has_logged("model shares have changed") {
        call(node, "m1");
    }
    node.wait_logged("model shares have changed");
}
