//! HTTP clients for engines and the VM list against healthy and faulty local servers.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;

use jackdaw_core::engine::Engine;
use jackdaw_core::errors::Error;
use jackdaw_core::inventory::{Inventory, State};
use jackdaw_core::order::{Command, Order};
use jackdaw_core::units::{Fence, Millis};
use jackdaw_platform::http::Bounds;
use jackdaw_platform::{engine, inventory};
use ntex::web::{self, App, HttpResponse};
use rstest::rstest;

const BOUNDS: Bounds = Bounds {
    connect: Millis(2_000),
    total: Millis(5_000),
    answer_bytes: 64 * 1024,
};

/// Limits that time out quickly when a peer never responds.
const SHORT_BOUNDS: Bounds = Bounds {
    total: Millis(50),
    ..BOUNDS
};

const REPORT: &str = r#"{"vm":"vm-1","boot":7,"membership":null,"ready":true,"fence":3,"load":{"running":1,"waiting":2}}"#;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Done,
    Unreachable,
    Indeterminate,
    Refused,
    Malformed,
}

fn outcome<T>(result: &Result<T, Error>) -> Outcome {
    match result {
        Ok(_) => Outcome::Done,
        Err(Error::Unreachable { .. }) => Outcome::Unreachable,
        Err(Error::Indeterminate { .. }) => Outcome::Indeterminate,
        Err(Error::Refused { .. }) => Outcome::Refused,
        Err(Error::Malformed { .. }) => Outcome::Malformed,
    }
}

fn order() -> Order {
    Order {
        fence: Fence(3),
        command: Command::Leave,
    }
}

/// Behaviour of a faulty peer after it has read one request.
#[derive(Clone, Copy)]
enum Peer {
    /// Does not listen, so the connection is refused.
    Absent,
    /// Closes the connection without a response.
    Closes,
    /// Keeps the connection open without a response.
    Silent,
    /// Sends these bytes and closes the connection.
    Responds(&'static str),
}

/// Starts a peer that serves one connection and returns its address.
fn start(peer: Peer) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("port");
    let address = listener.local_addr().expect("address");
    let response = match peer {
        Peer::Absent => return address,
        Peer::Closes => Some(""),
        Peer::Silent => None,
        Peer::Responds(response) => Some(response),
    };
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("connection");
        let mut buffer = [0; 4096];
        read_request(&mut stream);
        match response {
            Some(response) => drop(stream.write_all(response.as_bytes())),
            // Returns once the client has closed the connection.
            None => while stream.read(&mut buffer).is_ok_and(|length| length > 0) {},
        }
    });
    address
}

/// Reads a complete request, since closing with unread bytes resets the connection, which may
/// discard the response before the client reads it.
fn read_request(stream: &mut TcpStream) {
    let mut request = Vec::new();
    let mut buffer = [0; 4096];
    while !is_complete(&request) {
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return,
            Ok(length) => request.extend_from_slice(&buffer[..length]),
        }
    }
}

/// Returns whether the head and the body length that it declares have been received.
fn is_complete(request: &[u8]) -> bool {
    let text = String::from_utf8_lossy(request).to_ascii_lowercase();
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let content_length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "))
        .map_or(0, |length| length.parse().expect("length"));
    body.len() >= content_length
}

/// A peer, the limits of the client, and the expected outcome of each call.
struct Case {
    peer: Peer,
    bounds: Bounds,
    report: Outcome,
    order: Outcome,
}

/// Returns the case of a peer whose answer stops within its head or has no status of HTTP.
const fn unusable(answer: &'static str) -> Case {
    Case {
        peer: Peer::Responds(answer),
        bounds: BOUNDS,
        report: Outcome::Indeterminate,
        order: Outcome::Indeterminate,
    }
}

// Guards against an order that counts as done or refused although its answer stopped within its head, or has
// a status that HTTP does not have.
#[rstest]
#[case::nothing_listens(Case { peer: Peer::Absent, bounds: BOUNDS, report: Outcome::Unreachable, order: Outcome::Unreachable })]
#[case::closed_without_response(Case { peer: Peer::Closes, bounds: BOUNDS, report: Outcome::Indeterminate, order: Outcome::Indeterminate })]
#[case::silent_until_timeout(Case { peer: Peer::Silent, bounds: SHORT_BOUNDS, report: Outcome::Indeterminate, order: Outcome::Indeterminate })]
#[case::truncated_body(Case { peer: Peer::Responds("HTTP/1.1 200 OK\r\ncontent-length: 90\r\n\r\n{"), bounds: BOUNDS, report: Outcome::Indeterminate, order: Outcome::Indeterminate })]
#[case::not_http(Case { peer: Peer::Responds("SMTP ready\r\n\r\n"), bounds: BOUNDS, report: Outcome::Indeterminate, order: Outcome::Indeterminate })]
#[case::conflict_for_old_fencing_number(Case { peer: Peer::Responds("HTTP/1.1 409 Conflict\r\ncontent-length: 0\r\n\r\n"), bounds: BOUNDS, report: Outcome::Refused, order: Outcome::Refused })]
#[case::server_error(Case { peer: Peer::Responds("HTTP/1.1 500 Oops\r\ncontent-length: 0\r\n\r\n"), bounds: BOUNDS, report: Outcome::Indeterminate, order: Outcome::Indeterminate })]
#[case::status_000(unusable("HTTP/1.1 000 Odd\r\ncontent-length: 0\r\n\r\n"))]
#[case::status_600(unusable("HTTP/1.1 600 Odd\r\ncontent-length: 0\r\n\r\n"))]
#[case::status_999(unusable("HTTP/1.1 999 Odd\r\ncontent-length: 0\r\n\r\n"))]
#[case::status_of_text(unusable("HTTP/1.1 abc Odd\r\ncontent-length: 0\r\n\r\n"))]
#[case::status_line_only(unusable("HTTP/1.1 200 OK\r\n"))]
#[case::part_of_header_name(unusable("HTTP/1.1 200 OK\r\ncontent-le"))]
#[case::part_of_length(unusable("HTTP/1.1 200 OK\r\ncontent-length: 0"))]
#[case::part_of_encoding(unusable("HTTP/1.1 200 OK\r\ntransfer-encoding: chun"))]
#[case::no_empty_line(unusable("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n"))]
#[case::part_of_empty_line(unusable("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r"))]
#[case::part_of_refusal(unusable("HTTP/1.1 409 Conflict\r\ncontent-length: 0\r\n"))]
#[case::json_of_another_type(Case { peer: Peer::Responds("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n[]"), bounds: BOUNDS, report: Outcome::Malformed, order: Outcome::Done })]
#[ntex::test]
async fn faulty_peer_gives_the_expected_outcome(#[case] case: Case) {
    let client = engine::Client::new(case.bounds).await.expect("client");
    assert_eq!(outcome(&client.report(start(case.peer)).await), case.report);
    assert_eq!(
        outcome(&client.order(start(case.peer), &order()).await),
        case.order
    );
    let client = inventory::Client::new(start(case.peer), case.bounds)
        .await
        .expect("client");
    let listed = outcome(&client.vms().await);
    // An empty array is a valid list.
    let expected = match case.report {
        Outcome::Malformed => Outcome::Done,
        other => other,
    };
    assert_eq!(listed, expected);
}

/// Number of orders received.
static ORDER_COUNT: AtomicU32 = AtomicU32::new(0);

async fn take_order(body: web::types::Json<Order>) -> HttpResponse {
    assert_eq!(*body, order());
    ORDER_COUNT.fetch_add(1, Ordering::SeqCst);
    HttpResponse::Ok().finish()
}

async fn report() -> HttpResponse {
    HttpResponse::Ok()
        .content_type("application/json")
        .body(REPORT)
}

async fn vms() -> HttpResponse {
    HttpResponse::Ok().body(
        r#"[{"name":"vm-1","address":"127.0.0.1:9","zone":"a","domain":"d","state":"leaving"}]"#,
    )
}

#[ntex::test]
async fn healthy_peer_serves_reports_orders_and_vm_list() {
    let server = web::test::server(async || {
        App::new()
            .service(web::resource("/jackdaw/report").route(web::get().to(report)))
            .service(web::resource("/jackdaw/order").route(web::post().to(take_order)))
            .service(web::resource("/vms").route(web::get().to(vms)))
    })
    .await;
    let client = engine::Client::new(BOUNDS).await.expect("client");
    for _ in 0..3 {
        let report = client.report(server.addr()).await.expect("report");
        assert_eq!((report.vm.as_str(), report.boot), ("vm-1", 7));
        client.order(server.addr(), &order()).await.expect("order");
    }
    assert_eq!(ORDER_COUNT.load(Ordering::SeqCst), 3);
    let client = inventory::Client::new(server.addr(), BOUNDS)
        .await
        .expect("client");
    let vms = client.vms().await.expect("list");
    assert_eq!(vms[0].state, State::Leaving);
    server.stop().await;
}
