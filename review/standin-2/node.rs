//! Processes of the system, started as the deploy file says.

use std::fs::{self, File};
use std::io::{Error, Result};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

/// Ports of a node: callers, readiness, and three for other nodes.
const PORTS: u16 = 5;

/// One node.
pub struct Node {
    pub name: String,
    address: SocketAddr,
    program: PathBuf,
    directory: PathBuf,
    child: Option<Child>,
}

/// Returns the first of some ports that are free now, below those that the system gives out itself.
fn find_ports(from: u16) -> Option<u16> {
    (from..32_000).step_by(usize::from(PORTS)).find(|first| {
        (*first..first + PORTS).all(|port| {
            let address = (Ipv4Addr::LOCALHOST, port);
            TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok()
        })
    })
}

impl Node {
    /// Writes a node's settings and starts its process.
    pub fn start(program: &Path, directory: &Path, number: u16, store: SocketAddr) -> Result<Node> {
        let from = 20_000 + (std::process::id() % 900) as u16 * 10 + number * 40;
        let port = find_ports(from).ok_or_else(|| Error::other("no free ports"))?;
        let name = format!("node-{number}");
        let settings = format!(
            "node_name={name}\nrole=entry\nmachine_class=front\nserves=front\nip=127.0.0.1\n\
             zone=zone-a\nregion=region-a\nzones.zone-a=region-a\nlisten.front=127.0.0.1:{port}\n\
             listen.ready=127.0.0.1:{}\ninternal_ports={},{}\nbootstrap=true\nheartbeat_ms=1200\n\
             limits.memory_mb=260\nlimits.max_fds=4200\nbounds.stable_window_ms=3000\n\
             bounds.drain_ms=2000\nbounds.grace_s=8\nbounds.config_apply_ms=2000\n\
             bounds.retry_budget_ratio=0.2\nbounds.budget_slack=130\nbounds.recover_s=12\n\
             bounds.stall_ms=4000\nplatform.address={store}\nplatform.form=kv\n\
             platform.ttl_min_ms=1000\n",
            port + 1,
            port + 2,
            port + 4,
        );
        fs::write(directory.join(format!("{name}.conf")), settings)?;
        let mut node = Node {
            name,
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, port)),
            program: program.to_owned(),
            directory: directory.to_owned(),
            child: None,
        };
        node.run()?;
        Ok(node)
    }

    /// Starts the process.
    pub fn run(&mut self) -> Result<()> {
        let log = self.directory.join(format!("{}.log", self.name));
        let log = File::options().create(true).append(true).open(log)?;
        let settings = self.directory.join(format!("{}.conf", self.name));
        let child = Command::new(&self.program)
            .arg("gateway")
            .env("JACKDAWSTAIR_CONFIG", settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Gets the address for callers.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns whether the node says that it is ready.
    pub fn is_ready(&self) -> bool {
        let address = SocketAddr::new(self.address.ip(), self.address.port() + 1);
        let request =
            "GET /jackdawstair/readyz HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n";
        let answer = http::call(address, request, Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status == 200)
    }

    /// Waits until the node is ready, for a time at most.
    pub fn wait_ready(&self, patience: Duration) -> bool {
        let due = Instant::now() + patience;
        while Instant::now() < due {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Kills the process, as a loss of power does.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Fails only if the process has ended.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends SIGTERM to the process.
    pub fn terminate(&self) -> Result<()> {
        self.signal("TERM")
    }

    /// Stops the process, as a machine that freezes.
    pub fn freeze(&self) -> Result<()> {
        self.signal("STOP")
    }

    /// Lets the process go on.
    pub fn wake(&self) -> Result<()> {
        self.signal("CONT")
    }

    fn signal(&self, name: &str) -> Result<()> {
        let child = self.child.as_ref();
        let child = child.ok_or_else(|| Error::other("no process"))?;
        let command = format!("kill -{name} {}", child.id());
        let status = Command::new("/bin/sh").args(["-c", &command]).status()?;
        match status.success() {
            true => Ok(()),
            false => Err(Error::other("the signal could not be sent")),
        }
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
