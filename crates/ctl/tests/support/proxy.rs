//! TCP proxy that forwards every connection and loses the first answer.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::thread;

/// Starts the proxy and returns its address. It runs until the test's process ends.
pub(crate) fn start_losing_first_answer(node: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("port");
    let address = listener.local_addr().expect("address");
    thread::spawn(move || {
        for (index, client) in listener.incoming().map_while(Result::ok).enumerate() {
            let upstream = TcpStream::connect(node).expect("node");
            forward(&client, &upstream, index == 0);
        }
    });
    address
}

/// Forwards requests and answers. A lossy connection is closed instead when the first byte of the
/// answer arrives.
fn forward(client: &TcpStream, upstream: &TcpStream, is_lossy: bool) {
    let spawn_copy = |from: &TcpStream, to: &TcpStream| {
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
    let _ = spawn_copy(client, upstream);
    if !is_lossy {
        let _ = spawn_copy(upstream, client);
        return;
    }
    let mut first_byte = [0; 1];
    let _ = upstream.try_clone().expect("clone").read(&mut first_byte);
    let _ = client.shutdown(Shutdown::Both);
}
