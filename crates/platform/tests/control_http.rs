//! Clients of engines and of the VM list against small servers: what each fault is reported as.

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

/// A bound that ends the wait for an answer which never comes.
const IMPATIENT: Bounds = Bounds {
    total: Millis(50),
    ..BOUNDS
};

const REPORT: &str = r#"{"vm":"vm-1","boot":7,"membership":null,"ready":true,"fence":3,"load":{"running":1,"waiting":2}}"#;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Done,
    Unreachable,
    Indeterminate,
    Refused,
    Malformed,
}

fn kind<T>(result: &Result<T, Error>) -> Kind {
    match result {
        Ok(_) => Kind::Done,
        Err(Error::Unreachable { .. }) => Kind::Unreachable,
        Err(Error::Indeterminate { .. }) => Kind::Indeterminate,
        Err(Error::Refused { .. }) => Kind::Refused,
        Err(Error::Malformed { .. }) => Kind::Malformed,
    }
}

fn order() -> Order {
    Order {
        fence: Fence(3),
        command: Command::Leave,
    }
}

/// What a faulty peer does after it has read the head of one request.
#[derive(Clone, Copy)]
enum Peer {
    Refuses,
    Closes,
    Silent,
    Answers(&'static str),
}

/// Starts a peer for one connection and returns its address.
fn start(peer: Peer) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("port");
    let address = listener.local_addr().expect("address");
    let answer = match peer {
        Peer::Refuses => return address,
        Peer::Closes => Some(""),
        Peer::Silent => None,
        Peer::Answers(answer) => Some(answer),
    };
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("connection");
        let mut buffer = [0; 4096];
        read_request(&mut stream);
        match answer {
            Some(answer) => drop(stream.write_all(answer.as_bytes())),
            // Returns once the client has closed the connection.
            None => while stream.read(&mut buffer).is_ok_and(|length| length > 0) {},
        }
    });
    address
}

/// Reads a whole request: closing with unread bytes would reset the connection and race the answer.
fn read_request(stream: &mut TcpStream) {
    let mut request = Vec::new();
    let mut buffer = [0; 4096];
    while !is_whole(&request) {
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return,
            Ok(length) => request.extend_from_slice(&buffer[..length]),
        }
    }
}

/// Returns whether a head and the body that it announces are there.
fn is_whole(request: &[u8]) -> bool {
    let text = String::from_utf8_lossy(request).to_ascii_lowercase();
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let announced = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "))
        .map_or(0, |length| length.parse().expect("length"));
    body.len() >= announced
}

struct Case {
    peer: Peer,
    bounds: Bounds,
    report: Kind,
    order: Kind,
}

#[rstest]
#[case::nothing_listens(Case { peer: Peer::Refuses, bounds: BOUNDS, report: Kind::Unreachable, order: Kind::Unreachable })]
#[case::closed_without_answer(Case { peer: Peer::Closes, bounds: BOUNDS, report: Kind::Indeterminate, order: Kind::Indeterminate })]
#[case::silent(Case { peer: Peer::Silent, bounds: IMPATIENT, report: Kind::Indeterminate, order: Kind::Indeterminate })]
#[case::truncated_body(Case { peer: Peer::Answers("HTTP/1.1 200 OK\r\ncontent-length: 90\r\n\r\n{"), bounds: BOUNDS, report: Kind::Indeterminate, order: Kind::Indeterminate })]
#[case::garbage(Case { peer: Peer::Answers("SMTP ready\r\n\r\n"), bounds: BOUNDS, report: Kind::Indeterminate, order: Kind::Indeterminate })]
#[case::old_fencing_number(Case { peer: Peer::Answers("HTTP/1.1 409 Conflict\r\ncontent-length: 0\r\n\r\n"), bounds: BOUNDS, report: Kind::Refused, order: Kind::Refused })]
#[case::server_error(Case { peer: Peer::Answers("HTTP/1.1 500 Oops\r\ncontent-length: 0\r\n\r\n"), bounds: BOUNDS, report: Kind::Indeterminate, order: Kind::Indeterminate })]
#[case::other_json(Case { peer: Peer::Answers("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n[]"), bounds: BOUNDS, report: Kind::Malformed, order: Kind::Done })]
#[ntex::test]
async fn fault_is_reported_as(#[case] case: Case) {
    let client = engine::Client::new(case.bounds).await.expect("client");
    assert_eq!(kind(&client.report(start(case.peer)).await), case.report);
    assert_eq!(
        kind(&client.order(start(case.peer), &order()).await),
        case.order
    );
    let client = inventory::Client::new(start(case.peer), case.bounds)
        .await
        .expect("client");
    let listed = kind(&client.vms().await);
    // An empty array is a valid list.
    let expected = match case.report {
        Kind::Malformed => Kind::Done,
        other => other,
    };
    assert_eq!(listed, expected);
}

static ORDERS: AtomicU32 = AtomicU32::new(0);

async fn take_order(body: web::types::Json<Order>) -> HttpResponse {
    assert_eq!(*body, order());
    ORDERS.fetch_add(1, Ordering::SeqCst);
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
async fn whole_exchanges() {
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
    assert_eq!(ORDERS.load(Ordering::SeqCst), 3);
    let client = inventory::Client::new(server.addr(), BOUNDS)
        .await
        .expect("client");
    let vms = client.vms().await.expect("list");
    assert_eq!(vms[0].state, State::Leaving);
    server.stop().await;
}
