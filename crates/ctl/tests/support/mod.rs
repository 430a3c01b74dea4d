//! A node with stand-ins in the test's own process, and the tool as a child process.

pub(crate) mod proxy;

use std::io::{BufRead, BufReader, Lines};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, ChildStdout, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use jackdaw_core::note::Note;
use jackdaw_core::time::SystemClock;
use jackdaw_core::token::Digest;
use jackdaw_core::units::Revision;
use jackdaw_standin::store::Memory;
use jackdaw_standin::{engine, fleet::Batch, fleet::Fleet};
use jackdawstair::control::release;
use jackdawstair::node::{Node, Parts, wire_runtime};
use jackdawstair::policy::release::accept::Attempt;
use jackdawstair::settings::{Operator, Platform, Role, Settings, Timing, Weights};
use slog::{Discard, Level, Logger, o};
use tokio::runtime::Runtime;

pub(crate) const OPERATOR_TOKEN: &str = "operator-token";
pub(crate) const READER_TOKEN: &str = "reader-token";

/// One node of one zone with two engines.
pub(crate) struct Deployment {
    node: Option<Node>,
    _fleet: Fleet,
    _runtime: Runtime,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        if let Some(node) = self.node.take() {
            node.stop();
        }
    }
}

impl Deployment {
    /// Starts the node and waits until the note is in force there.
    pub(crate) fn start(note: &str) -> Deployment {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let batch = Batch {
            zone: "east-a".into(),
            domain: "east-a/f1".into(),
            service: None,
            count: 2,
        };
        let fleet = Fleet::start(any, &[batch], engine::Options::default()).expect("fleet");
        let clock = Arc::new(SystemClock::default());
        let store = Arc::new(Memory::new(clock.clone()));
        let note: Note = serde_saphyr::from_str(note).expect("note");
        let attempt = Attempt::new(note, Revision(0), "test", 1);
        let accepted = futures::executor::block_on(release::accept(store.as_ref(), attempt));
        assert!(accepted.catalog.is_some(), "{accepted:?}");
        let runtime = wire_runtime().expect("runtime");
        let parts = Parts {
            store,
            clock,
            wire: runtime.handle().clone(),
            logger: Logger::root(Discard, o!()),
            switch: Arc::default(),
        };
        let node = Node::start(&settings(any, fleet.list_address()), parts).expect("node");
        let deployment = Deployment {
            node: Some(node),
            _fleet: fleet,
            _runtime: runtime,
        };
        deployment.wait_until_ready();
        deployment
    }

    /// Gets the address of the operators' port.
    pub(crate) fn operators(&self) -> SocketAddr {
        self.node.as_ref().expect("runs").operators()
    }

    fn wait_until_ready(&self) {
        while !run(self.operators(), READER_TOKEN, ["status"].into_iter())
            .text
            .contains("release in force  1 ")
        {
            std::thread::yield_now();
        }
    }
}

fn settings(any: SocketAddr, vms: SocketAddr) -> Settings {
    let operator = |name: &str, token: &str, role| Operator {
        name: name.into(),
        token: Digest::of(token.as_bytes()),
        role,
    };
    Settings {
        node: "node-1".into(),
        region: "east".into(),
        zone: "east-a".into(),
        zones: vec!["east-a".into()],
        callers: any,
        operators: any,
        peers: any,
        seeds: Vec::new(),
        peer_token: "peer-token".into(),
        operator_tokens: vec![
            operator("duty", OPERATOR_TOKEN, Role::Write),
            operator("reader", READER_TOKEN, Role::Read),
        ],
        platform: Platform {
            store: Vec::new(),
            vms,
        },
        workers: 1,
        log_level: Level::Error,
        engines_check_fence: true,
        weights: Weights {
            downtime: 1,
            stranded: 1,
        },
        timing: Timing::default(),
    }
}

/// Result of a run of the tool.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) code: i32,
    /// Standard output and standard error.
    pub(crate) text: String,
}

/// Runs the tool to its end.
pub(crate) fn run<'a>(
    address: SocketAddr,
    token: &str,
    words: impl Iterator<Item = &'a str>,
) -> Run {
    let output = tool(address, token).args(words).output().expect("runs");
    let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
    text.push_str(&String::from_utf8_lossy(&output.stderr));
    Run {
        code: output.status.code().expect("exits"),
        text,
    }
}

fn tool(address: SocketAddr, token: &str) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_jackdawctl"));
    command
        .arg("--address")
        .arg(address.to_string())
        .env("JACKDAW_TOKEN", token);
    command
}

/// A running `watch`.
pub(crate) struct Watch {
    child: Child,
    lines: Lines<BufReader<ChildStdout>>,
}

impl Watch {
    /// Starts to follow a subject.
    pub(crate) fn start(address: SocketAddr, token: &str, subject: &str) -> Watch {
        let mut child = tool(address, token)
            .args(["watch", subject])
            .stdout(Stdio::piped())
            .spawn()
            .expect("runs");
        let lines = BufReader::new(child.stdout.take().expect("output")).lines();
        Watch { child, lines }
    }

    /// Reads lines up to one with a prefix.
    pub(crate) fn lines_until(&mut self, prefix: &str) -> Vec<String> {
        let mut lines = Vec::new();
        for line in self.lines.by_ref().map_while(Result::ok) {
            let is_last = line.starts_with(prefix);
            lines.push(line);
            if is_last {
                break;
            }
        }
        lines
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Writes a file of its own for a test.
pub(crate) fn file(name: &str, text: &str) -> PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::SeqCst);
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("ctl-{}-{number}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("folder");
    let path = folder.join(name);
    std::fs::write(&path, text).expect("file");
    path
}
