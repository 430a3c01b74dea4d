//! Orders and queries to servers that send an earlier answer once more.

use std::io::{BufRead as _, BufReader, Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use jackdaw_adapter::order::Client;
use jackdaw_core::backend::{Command, Order, Reply};
use jackdaw_core::protocol::Orders;
use jackdaw_core::units::Millis;
use jackdaw_link::client;
use jackdaw_link::pool::Options;
use rstest::rstest;

const BEGUN: &str = "HTTP/1.1 202 Accepted\r\ncontent-length: 0\r\n\r\n";
const DONE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
const CONFLICT: &str = "HTTP/1.1 409 Conflict\r\ncontent-length: 0\r\n\r\n";
const OUTDATED: &str = "HTTP/1.1 412 Precondition Failed\r\ncontent-length: 0\r\n\r\n";
const MISDIRECTED: &str = "HTTP/1.1 421 Misdirected Request\r\ncontent-length: 0\r\n\r\n";
const TWO_ORDERS: &str = "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{\"seq\":2}";
const FIVE_ORDERS: &str = "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{\"seq\":5}";

/// Starts a server that gives each answer to one request, and repeats the first answer of a
/// connection in place of all later ones; returns its address and a count of its connections.
fn start(answers: [&'static str; 2]) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the port is bound");
    let arrived = Arc::new(AtomicUsize::new(0));
    let connections = Arc::new(AtomicUsize::new(0));
    let accepted = Arc::clone(&connections);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            accepted.fetch_add(1, Ordering::SeqCst);
            let arrived = Arc::clone(&arrived);
            thread::spawn(move || serve(stream, answers, &arrived));
        }
    });
    (address, connections)
}

fn serve(mut stream: TcpStream, answers: [&'static str; 2], arrived: &AtomicUsize) {
    let mut reader = BufReader::new(stream.try_clone().expect("a descriptor is free"));
    let mut repeated = None;
    while read_request(&mut reader) {
        let number = arrived.fetch_add(1, Ordering::SeqCst);
        let own = answers[number.min(answers.len() - 1)];
        let answer = *repeated.get_or_insert(own);
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// Reads a request; returns false at the end of the connection.
fn read_request(reader: &mut BufReader<TcpStream>) -> bool {
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).unwrap_or_default() == 0 {
            return false;
        }
        let line = line.trim_end().to_lowercase();
        if line.is_empty() {
            break;
        }
        if let Some(value) = line.strip_prefix("content-length: ") {
            length = value.parse().expect("lengths are numbers");
        }
    }
    reader.read_exact(&mut vec![0; length]).is_ok()
}

fn client() -> Client {
    let exchange = client::Client::new("send order", Options::default());
    Client::new(Arc::new(exchange), Millis(5_000))
}

fn order(address: SocketAddr, accepted_orders: u64, command: Command) -> Order {
    Order {
        server: "s0".into(),
        address,
        accepted_orders,
        command,
    }
}

fn leave() -> Command {
    Command::Leave {
        group: "g1".into(),
        epoch: 1,
    }
}

fn open() -> Command {
    Command::Open {
        group: "g1".into(),
        epoch: 1,
    }
}

/// Answers to two orders, and what the second one must be taken for.
#[derive(Clone, Copy, Debug)]
struct Case {
    earlier: &'static str,
    own: &'static str,
    reply: Reply,
}

// Guards against an order whose answer is a copy of an earlier one's: a member that seems to have left
// would be joined to another group beside the head that still serves.
#[rstest]
#[case::left(Case { earlier: DONE, own: CONFLICT, reply: Reply::Conflict })]
#[case::begun(Case { earlier: BEGUN, own: CONFLICT, reply: Reply::Conflict })]
#[case::conflict(Case { earlier: CONFLICT, own: BEGUN, reply: Reply::Begun })]
#[case::outdated(Case { earlier: OUTDATED, own: BEGUN, reply: Reply::Begun })]
#[case::other_server(Case { earlier: MISDIRECTED, own: DONE, reply: Reply::Done })]
#[tokio::test]
async fn order_is_not_answered_by_an_earlier_answer(#[case] case: Case) {
    let (address, _) = start([case.earlier, case.own]);
    let client = client();
    let first = client.order(&order(address, 1, open())).await;
    assert!(first.is_ok(), "{case:?}: {first:?}");
    let second = client.order(&order(address, 2, leave())).await;
    assert_eq!(second, Ok(case.reply), "{case:?}");
}

// Guards against a server's number of orders that is read from a copy of an earlier report.
#[tokio::test]
async fn report_is_not_an_earlier_report() {
    let (address, _) = start([TWO_ORDERS, FIVE_ORDERS]);
    let client = client();
    let first = client.report("s0", address).await;
    assert_eq!(first.map(|report| report.accepted_orders), Ok(2));
    let second = client.report("s0", address).await;
    assert_eq!(second.map(|report| report.accepted_orders), Ok(5));
}

// Guards against a server that counts as lost since the answer to an order came in place of its report.
#[rstest]
#[case::query(false)]
#[case::poll(true)]
#[tokio::test]
async fn report_is_not_the_answer_to_an_earlier_order(#[case] is_polled: bool) {
    let (address, _) = start([DONE, FIVE_ORDERS]);
    let client = client();
    let first = client.order(&order(address, 1, leave())).await;
    assert_eq!(first, Ok(Reply::Done));
    let report = match is_polled {
        true => client.poll_report("s0", address).await,
        false => client.report("s0", address).await,
    };
    assert_eq!(report.map(|report| report.accepted_orders), Ok(5));
}

// Guards against polls of all servers of a zone that open a connection each time.
#[tokio::test]
async fn polls_use_a_kept_connection() {
    let (address, connections) = start([FIVE_ORDERS; 2]);
    let client = client();
    for _ in 0..3 {
        let report = client.poll_report("s0", address).await;
        assert_eq!(report.map(|report| report.accepted_orders), Ok(5));
    }
    assert_eq!(connections.load(Ordering::SeqCst), 1);
}
