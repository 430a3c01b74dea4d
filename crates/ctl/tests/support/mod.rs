//! Starts a node with stand-ins in the test's process, and jackdawctl as a child process.

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

/// A node in a zone with two stand-in engines; the node is stopped on drop.
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
    /// Starts the node and waits until the release note is in force there.
    ///
    /// # Panics
    ///
    /// Panics if the note is malformed or refused, or if a part does not start.
    pub(crate) fn start(note: &str) -> Deployment {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let batch = Batch {
            zone: "east-a".into(),
            domain: "east-a/f1".into(),
            service: None,
            count: 2,
        };
        let fleet = Fleet::start(any_port, &[batch], engine::Options::default()).expect("fleet");
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
        let node =
            Node::start(&build_settings(any_port, fleet.list_address()), parts).expect("node");
        let deployment = Deployment {
            node: Some(node),
            _fleet: fleet,
            _runtime: runtime,
        };
        deployment.wait_until_ready();
        deployment
    }

    /// Returns the address of the operators' port.
    pub(crate) fn operators_address(&self) -> SocketAddr {
        self.node.as_ref().expect("runs").operators()
    }

    /// Waits until the status shows revision 1 in force.
    fn wait_until_ready(&self) {
        while !run_tool(
            self.operators_address(),
            READER_TOKEN,
            ["status"].into_iter(),
        )
        .text
        .contains("release in force  1 ")
        {
            std::thread::yield_now();
        }
    }
}

/// Builds the settings of a node that listens on any free local port.
fn build_settings(any_port: SocketAddr, list_address: SocketAddr) -> Settings {
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
        callers: any_port,
        operators: any_port,
        peers: any_port,
        seeds: Vec::new(),
        peer_token: "peer-token".into(),
        operator_tokens: vec![
            operator("duty", OPERATOR_TOKEN, Role::Write),
            operator("reader", READER_TOKEN, Role::Read),
        ],
        platform: Platform {
            store: Vec::new(),
            vms: list_address,
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

/// Output and exit code of a finished run of the tool.
#[derive(Debug)]
pub(crate) struct Run {
    /// Exit code.
    pub(crate) code: i32,
    /// Standard output, followed by standard error.
    pub(crate) text: String,
}

/// Runs the tool and waits until it exits.
///
/// # Panics
///
/// Panics if the tool does not start or is ended by a signal.
pub(crate) fn run_tool<'a>(
    address: SocketAddr,
    token: &str,
    args: impl Iterator<Item = &'a str>,
) -> Run {
    let output = tool_command(address, token)
        .args(args)
        .output()
        .expect("runs");
    let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
    text.push_str(&String::from_utf8_lossy(&output.stderr));
    Run {
        code: output.status.code().expect("exits"),
        text,
    }
}

/// Builds a command that runs the tool against an address.
fn tool_command(address: SocketAddr, token: &str) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_jackdawctl"));
    command
        .arg("--address")
        .arg(address.to_string())
        .env("JACKDAW_TOKEN", token);
    command
}

/// A running `jackdawctl watch`, killed on drop.
pub(crate) struct Watch {
    child: Child,
    lines: Lines<BufReader<ChildStdout>>,
}

impl Watch {
    /// Starts to watch the decisions about a subject.
    pub(crate) fn start(address: SocketAddr, token: &str, subject: &str) -> Watch {
        let mut child = tool_command(address, token)
            .args(["watch", subject])
            .stdout(Stdio::piped())
            .spawn()
            .expect("runs");
        let lines = BufReader::new(child.stdout.take().expect("output")).lines();
        Watch { child, lines }
    }

    /// Reads lines up to and including the first one that starts with a prefix, or to the end.
    pub(crate) fn read_lines_until(&mut self, prefix: &str) -> Vec<String> {
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

/// Writes a file into a new directory and returns its path.
pub(crate) fn write_file(name: &str, text: &str) -> PathBuf {
    static NEXT_NUMBER: AtomicU32 = AtomicU32::new(0);
    let number = NEXT_NUMBER.fetch_add(1, Ordering::SeqCst);
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("ctl-{}-{number}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("folder");
    let path = directory.join(name);
    std::fs::write(&path, text).expect("file");
    path
}
