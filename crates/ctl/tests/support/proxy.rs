//! A proxy that passes every request on and loses the first answer.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::thread;

/// Starts the proxy and returns its address. It ends with the test's process.
pub(crate) fn losing_first_answer(node: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("port");
    let address = listener.local_addr().expect("address");
    thread::spawn(move || {
        for (count, caller) in listener.incoming().map_while(Result::ok).enumerate() {
            let upstream = TcpStream::connect(node).expect("node");
            pass(&caller, &upstream, count == 0);
        }
    });
    address
}

/// Passes requests on; the answer is passed on as well, or lost once it has begun to come.
fn pass(caller: &TcpStream, upstream: &TcpStream, is_lossy: bool) {
    let copy = |from: &TcpStream, to: &TcpStream| {
        let (mut from, mut to) = (
            from.try_clone().expect("clone"),
            to.try_clone().expect("clone"),
        );
        thread::spawn(move || {
            let mut buffer = [0; 4_096];
            while let Ok(read @ 1..) = from.read(&mut buffer) {
                if to.write_all(&buffer[..read]).is_err() {
                    break;
                }
            }
            let _ = to.shutdown(Shutdown::Write);
        })
    };
    let _ = copy(caller, upstream);
    if !is_lossy {
        let _ = copy(upstream, caller);
        return;
    }
    let mut first = [0; 1];
    let _ = upstream.try_clone().expect("clone").read(&mut first);
    let _ = caller.shutdown(Shutdown::Both);
}
