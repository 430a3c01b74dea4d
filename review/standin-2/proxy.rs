//! A link to a server that can hold everything back, as a partition does.

use std::io::{Read, Result, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// Pause between two looks at the partition.
const PAUSE: Duration = Duration::from_millis(2);

/// The link; clones share it.
#[derive(Clone, Default)]
pub struct Link {
    is_cut: Arc<AtomicBool>,
}

impl Link {
    /// Starts to pass connections on to a server and returns the address for them.
    pub fn start(&self, server: SocketAddr) -> Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let link = self.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let link = link.clone();
                thread::spawn(move || link.pass_on(&near, server));
            }
        });
        Ok(address)
    }

    /// Holds all bytes and ends of connections back from now on, or lets them pass again.
    pub fn cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }

    fn wait(&self) {
        while self.is_cut.load(Ordering::SeqCst) {
            thread::sleep(PAUSE);
        }
    }

    fn pass_on(&self, near: &TcpStream, server: SocketAddr) {
        self.wait();
        let Ok(far) = TcpStream::connect(server) else {
            return;
        };
        let _ = near.set_nodelay(true);
        let _ = far.set_nodelay(true);
        thread::scope(|scope| {
            scope.spawn(|| self.copy(near, &far));
            self.copy(&far, near);
        });
    }

    /// Copies bytes in one direction, and the end of the connection.
    fn copy(&self, mut from: &TcpStream, mut to: &TcpStream) {
        let mut buffer = [0; 16 << 10];
        loop {
            let count = from.read(&mut buffer).unwrap_or(0);
            self.wait();
            if count == 0 || to.write_all(&buffer[..count]).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Write);
        if from.peer_addr().is_err() {
            let _ = from.shutdown(Shutdown::Read);
        }
    }
}
