//! Runs one daemon as a child process.

use std::fs;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use serde_json::Value;

/// Time limit of a wait; a hang becomes a test failure.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Log lines that a child process has written so far.
#[derive(Default)]
struct LogLines {
    lines: Mutex<Vec<Value>>,
    appended: Condvar,
}

/// A running daemon.
pub(crate) struct Node {
    /// Name of the node.
    pub(crate) name: String,
    /// Address of the callers' port.
    pub(crate) callers: SocketAddr,
    /// Address of the operators' port.
    pub(crate) operators: SocketAddr,
    /// Address of the peers' port.
    pub(crate) peers: SocketAddr,
    child: Child,
    lines: Arc<LogLines>,
    settings_path: std::path::PathBuf,
}

impl Node {
    /// Starts a daemon with fail points in the syntax of the `fail` crate and waits for its ports.
    pub(crate) fn start(name: &str, settings: &str, fail_points: &str) -> Node {
        let file = std::env::temp_dir().join(format!("jackdaw-{}-{name}.yaml", unique_suffix()));
        fs::write(&file, settings).expect("the settings file is written");
        let mut child = Command::new(env!("CARGO_BIN_EXE_jackdawd"))
            .arg("run")
            .arg(&file)
            .env("FAILPOINTS", fail_points)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the daemon starts");
        let stderr = child.stderr.take().expect("standard error is piped");
        let lines = Arc::new(LogLines::default());
        let sink = Arc::clone(&lines);
        thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                let value = serde_json::from_str(&line).unwrap_or(Value::String(line));
                let mut lines = sink.lines.lock().unwrap_or_else(PoisonError::into_inner);
                lines.push(value);
                sink.appended.notify_all();
            }
        });
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut node = Node {
            name: name.to_owned(),
            callers: any_port,
            operators: any_port,
            peers: any_port,
            child,
            lines,
            settings_path: file,
        };
        let started = node.wait_for_line(|line| line["msg"] == "node started");
        let address = |key: &str| started[key].as_str().and_then(|text| text.parse().ok());
        node.callers = address("callers").expect("callers' port");
        node.operators = address("operators").unwrap_or(any_port);
        node.peers = address("peers").unwrap_or(any_port);
        node
    }

    /// Waits for a log line that matches and returns the first such line.
    ///
    /// # Panics
    ///
    /// Panics if no line matches within [`WAIT_TIMEOUT`].
    pub(crate) fn wait_for_line(&self, is_match: impl Fn(&Value) -> bool) -> Value {
        let guard = self.lines.lines.lock().expect("lines");
        let (guard, timeout) = self
            .lines
            .appended
            .wait_timeout_while(guard, WAIT_TIMEOUT, |lines| !lines.iter().any(&is_match))
            .expect("lines");
        let found = guard.iter().find(|line| is_match(line)).cloned();
        found.unwrap_or_else(|| {
            let last = &guard[guard.len().saturating_sub(30)..];
            panic!(
                "{}: no log line matches (timed out: {}); last lines: {last:#?}",
                self.name,
                timeout.timed_out()
            )
        })
    }

    /// Waits for a decision whose subjects and action contain the given texts.
    pub(crate) fn wait_for_decision(&self, subject: &str, taken: &str) -> Value {
        self.wait_for_line(|line| {
            line["msg"] == "decision"
                && line["subjects"]
                    .as_str()
                    .is_some_and(|text| text.contains(subject))
                && line["taken"]
                    .as_str()
                    .is_some_and(|text| text.contains(taken))
        })
    }

    /// Waits for a decision as [`Node::wait_for_decision`] does, but for one after `earlier`.
    pub(crate) fn wait_for_later_decision(
        &self,
        earlier: &Value,
        subject: &str,
        taken: &str,
    ) -> Value {
        let after = earlier["sequence"].as_u64();
        self.wait_for_line(|line| {
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

    /// Counts the log lines that match.
    pub(crate) fn count_lines(&self, is_match: impl Fn(&Value) -> bool) -> usize {
        let lines = self.lines.lines.lock().expect("lines");
        lines.iter().filter(|line| is_match(line)).count()
    }

    /// Kills the process and waits for its end.
    pub(crate) fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Stops every thread of the process, as a pause of the VM does, until [`Node::resume`].
    pub(crate) fn freeze(&self) {
        self.signal("STOP");
        // `kill` may return before the signal takes effect.
        while !self.is_frozen() {
            thread::yield_now();
        }
    }

    /// Resumes a frozen process.
    pub(crate) fn resume(&self) {
        self.signal("CONT");
    }

    /// Returns whether the kernel has stopped every thread of the process.
    fn is_frozen(&self) -> bool {
        let tasks = fs::read_dir(format!("/proc/{}/task", self.child.id())).expect("threads");
        tasks.flatten().all(|task| {
            let status = fs::read_to_string(task.path().join("stat")).unwrap_or_default();
            // The state follows the name of the thread, which is in parentheses.
            let state = status.rsplit(')').next().unwrap_or_default();
            state.trim_start().starts_with('T')
        })
    }

    /// Sends a signal, given by its name without `SIG`, to this process only.
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
        // SIGKILL is the only signal that ends a frozen process.
        self.kill();
        let _ = fs::remove_file(&self.settings_path);
    }
}

/// Returns a suffix for file names that is unique across tests and processes.
fn unique_suffix() -> String {
    use std::sync::atomic::{AtomicU64, Ordering};
    static NEXT: AtomicU64 = AtomicU64::new(0);
    format!(
        "{}-{}",
        std::process::id(),
        NEXT.fetch_add(1, Ordering::SeqCst)
    )
}
