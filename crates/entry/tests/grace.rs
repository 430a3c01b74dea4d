//! Tests of stops that last long or end requests without an answer.

mod support;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use futures::executor::block_on;
use jackdaw_core::units::Millis;
use jackdaw_entry::shared::Options;
use support::backend::Backend;
use support::caller::Request;
use support::node::{Node, options};

// Guards against a request that gets no answer at the end of the grace period because its body still
// arrives.
#[test]
fn request_whose_body_still_arrives_is_answered_when_the_grace_period_ends() {
    let backend = Backend::start(1, &[]);
    let options = Options {
        grace_period: Millis(300),
        ..options()
    };
    let node = Node::start(options, &backend.addresses);
    let request = Request {
        body: "x".repeat(10_000),
        ..Request::completion()
    };
    let text = request.encode();
    let mut caller = TcpStream::connect(node.address()).expect("connect");
    caller
        .set_read_timeout(Some(Duration::from_secs(10)))
        .expect("timeout");
    caller.write_all(&text.as_bytes()[..200]).expect("write");
    while node.shared.drain.in_flight() == 0 {
        thread::yield_now();
    }
    let mut writer = caller.try_clone().expect("clone");
    let end = Arc::new(AtomicBool::new(false));
    let ended = Arc::clone(&end);
    let body = thread::spawn(move || {
        while !ended.load(Ordering::SeqCst) && writer.write_all(b"x").is_ok() {
            thread::sleep(Duration::from_millis(50));
        }
    });
    let asked = Instant::now();
    let stop = thread::spawn(move || block_on(node.server.stop()));
    let mut bytes = Vec::new();
    let read = caller.read_to_end(&mut bytes);
    let after = asked.elapsed();
    end.store(true, Ordering::SeqCst);
    body.join().expect("the caller ends");
    stop.join().expect("the server stops");
    let answer = String::from_utf8_lossy(&bytes);
    assert!(
        answer.starts_with("HTTP/1.1 503"),
        "{read:?} after {after:?}: {answer:?}"
    );
}

// Guards against a node without requests whose stop lasts as long as new connections arrive.
#[test]
fn new_connections_without_requests_do_not_delay_a_stop() {
    let backend = Backend::start(1, &[]);
    let options = Options {
        grace_period: Millis(4_000),
        ..options()
    };
    let node = Node::start(options, &backend.addresses);
    let address = node.address();
    let end = Arc::new(AtomicBool::new(false));
    let ended = Arc::clone(&end);
    let checks = thread::spawn(move || {
        let mut open = Vec::new();
        while !ended.load(Ordering::SeqCst) {
            open.extend(TcpStream::connect(address));
            thread::sleep(Duration::from_millis(100));
        }
    });
    thread::sleep(Duration::from_millis(500));
    let asked = Instant::now();
    block_on(node.server.stop());
    let after = asked.elapsed();
    end.store(true, Ordering::SeqCst);
    checks.join().expect("the checks end");
    assert!(after < Duration::from_secs(3), "stopped after {after:?}");
}
