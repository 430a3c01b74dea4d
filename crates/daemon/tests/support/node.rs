//! One daemon as a child process.

use std::fs;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use serde_json::Value;

/// Time after which a wait is given up, so that a hang becomes a failure.
const HANG: Duration = Duration::from_secs(60);

/// Log lines of a child process.
#[derive(Default)]
struct Lines {
    lines: Mutex<Vec<Value>>,
    grown: Condvar,
}

/// A running daemon.
pub(crate) struct Node {
    /// Name of the node.
    pub(crate) name: String,
    /// Callers' port.
    pub(crate) callers: SocketAddr,
    /// Operators' port.
    pub(crate) operators: SocketAddr,
    /// Peers' port.
    pub(crate) peers: SocketAddr,
    child: Child,
    lines: Arc<Lines>,
    settings: std::path::PathBuf,
}

impl Node {
    /// Starts a daemon with fail points, in the form of the `fail` crate, and waits for its ports.
    pub(crate) fn start(name: &str, settings: &str, fail_points: &str) -> Node {
        let file = std::env::temp_dir().join(format!("jackdaw-{}-{name}.yaml", unique()));
        fs::write(&file, settings).expect("settings are written");
        let mut child = Command::new(env!("CARGO_BIN_EXE_jackdawd"))
            .arg("run")
            .arg(&file)
            .env("FAILPOINTS", fail_points)
            .stderr(Stdio::piped())
            .spawn()
            .expect("daemon starts");
        let stderr = child.stderr.take().expect("standard error");
        let lines = Arc::new(Lines::default());
        let sink = Arc::clone(&lines);
        thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                let value = serde_json::from_str(&line).unwrap_or(Value::String(line));
                let mut lines = sink.lines.lock().unwrap_or_else(PoisonError::into_inner);
                lines.push(value);
                sink.grown.notify_all();
            }
        });
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut node = Node {
            name: name.to_owned(),
            callers: any,
            operators: any,
            peers: any,
            child,
            lines,
            settings: file,
        };
        let started = node.wait_for(|line| line["msg"] == "node started");
        let address = |key: &str| started[key].as_str().and_then(|text| text.parse().ok());
        node.callers = address("callers").expect("callers' port");
        node.operators = address("operators").unwrap_or(any);
        node.peers = address("peers").unwrap_or(any);
        node
    }

    /// Waits for a log line and returns it.
    pub(crate) fn wait_for(&self, is_match: impl Fn(&Value) -> bool) -> Value {
        let guard = self.lines.lines.lock().expect("lines");
        let (guard, timeout) = self
            .lines
            .grown
            .wait_timeout_while(guard, HANG, |lines| !lines.iter().any(&is_match))
            .expect("lines");
        let found = guard.iter().find(|line| is_match(line)).cloned();
        found.unwrap_or_else(|| {
            let last = &guard[guard.len().saturating_sub(30)..];
            panic!(
                "{}: no such line (timed out: {}): {last:#?}",
                self.name,
                timeout.timed_out()
            )
        })
    }

    /// Waits for a decision about a subject.
    pub(crate) fn wait_for_decision(&self, subject: &str, taken: &str) -> Value {
        self.wait_for(|line| {
            line["msg"] == "decision"
                && line["subjects"]
                    .as_str()
                    .is_some_and(|text| text.contains(subject))
                && line["taken"]
                    .as_str()
                    .is_some_and(|text| text.contains(taken))
        })
    }

    /// Waits for a decision about a subject that was taken after another one.
    pub(crate) fn wait_for_later(&self, earlier: &Value, subject: &str, taken: &str) -> Value {
        let after = earlier["sequence"].as_u64();
        self.wait_for(|line| {
            line["msg"] == "decision"
                && line["sequence"].as_u64() > after
                && line["subjects"]
                    .as_str()
                    .is_some_and(|text| text.contains(subject))
                && line["taken"]
                    .as_str()
                    .is_some_and(|text| text.contains(taken))
        })
    }

    /// Returns how many log lines match.
    pub(crate) fn count(&self, is_match: impl Fn(&Value) -> bool) -> usize {
        let lines = self.lines.lines.lock().expect("lines");
        lines.iter().filter(|line| is_match(line)).count()
    }

    /// Ends the process at once.
    pub(crate) fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Stops every thread of the process, as a pause of the VM does, until [`Node::wake`].
    pub(crate) fn freeze(&self) {
        self.signal("STOP");
        // The signal is sent before it takes effect.
        while !self.is_frozen() {
            thread::yield_now();
        }
    }

    /// Lets a frozen process go on.
    pub(crate) fn wake(&self) {
        self.signal("CONT");
    }

    /// Returns whether the kernel has stopped every thread of the process.
    fn is_frozen(&self) -> bool {
        let tasks = fs::read_dir(format!("/proc/{}/task", self.child.id())).expect("threads");
        tasks.flatten().all(|task| {
            let status = fs::read_to_string(task.path().join("stat")).unwrap_or_default();
            // The state follows the name of the thread, which stands in brackets.
            let state = status.rsplit(')').next().unwrap_or_default();
            state.trim_start().starts_with('T')
        })
    }

    /// Sends a signal by name to this process alone.
    pub(crate) fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(self.child.id().to_string())
            .status()
            .expect("kill runs");
        assert!(status.success(), "signal {name} sent");
    }

    /// Waits for the process to end.
    pub(crate) fn wait_for_exit(&mut self) -> ExitStatus {
        self.child.wait().expect("daemon ends")
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        // A frozen process takes no other signal than this one.
        self.kill();
        let _ = fs::remove_file(&self.settings);
    }
}

fn unique() -> String {
    use std::sync::atomic::{AtomicU64, Ordering};
    static NEXT: AtomicU64 = AtomicU64::new(0);
    format!(
        "{}-{}",
        std::process::id(),
        NEXT.fetch_add(1, Ordering::SeqCst)
    )
}
