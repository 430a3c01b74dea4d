//! Guards against a logger that blocks its callers or loses lines without a count when the standard
//! output is not read.

use std::env;
use std::io::{BufRead, BufReader, Read, Write as _};
use std::process::{Child, Command, Stdio};

use jackdawstair::log;
use slog::{Level, info};

/// Environment variable that is set for the process that writes the log.
const WRITER_VARIABLE: &str = "JACKDAWSTAIR_TEST_WRITER";
/// Lines that are logged; many times the capacity of the queue and a pipe.
const LOGGED_LINES: usize = 100_000;
/// Lines that are read before the last one is logged. They are fewer than the queue holds, and more
/// than fit into the pipe again meanwhile.
const LINES_READ_FIRST: usize = 1_800;
/// Line that the writer prints to its standard error once it has logged all lines.
const DONE_MESSAGE: &str = "all lines are logged";

/// Value of [`WRITER_VARIABLE`] for a writer that ends while its queue is full.
const ENDS_AT_ONCE: &str = "ends";

/// Logs more lines than the queue holds. Does nothing unless another test started this process.
#[test]
fn write_more_lines_than_the_queue_holds() {
    let Ok(variant) = env::var(WRITER_VARIABLE) else {
        return;
    };
    let logger = log::json_stdout(Level::Info, "node");
    for number in 0..LOGGED_LINES {
        info!(logger, "request refused"; "request" => number);
    }
    eprintln!("{DONE_MESSAGE}");
    if variant == ENDS_AT_ONCE {
        drop(logger);
        return;
    }
    // The next line that fits into the queue, once the log is read again, reports the dropped lines.
    let mut signal = String::new();
    std::io::stdin()
        .read_line(&mut signal)
        .expect("wait for the reader's signal");
    info!(logger, "request refused"; "request" => "last");
    // Dropping the logger waits until the queue is written.
    drop(logger);
}

/// Starts a process that logs more lines than the queue holds.
fn start_writer(variant: &str) -> Child {
    let program = env::current_exe().expect("get the path of the test program");
    Command::new(program)
        .args([
            "--exact",
            "write_more_lines_than_the_queue_holds",
            "--nocapture",
        ])
        .env(WRITER_VARIABLE, variant)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("start the writer")
}

/// Waits until a writer has logged all lines; its log is not read until then.
fn wait_until_done(child: &mut Child) {
    let errors = BufReader::new(child.stderr.take().expect("standard error is piped"));
    let is_done = errors
        .lines()
        .any(|line| line.is_ok_and(|line| line.contains(DONE_MESSAGE)));
    assert!(is_done, "the writer ended before it had logged all lines");
}

/// Sums up the numbers of dropped lines that a log reports.
fn count_dropped(text: &str) -> usize {
    text.lines()
        .filter(|line| line.contains("dropped messages"))
        .filter_map(|line| {
            let count = line.split("\"count\":").nth(1)?;
            let digits: String = count.chars().take_while(char::is_ascii_digit).collect();
            digits.parse::<usize>().ok()
        })
        .sum()
}

#[test]
fn logging_does_not_wait_for_an_idle_reader_and_counts_dropped_lines() {
    let mut child = start_writer("1");
    wait_until_done(&mut child);
    let mut log = BufReader::new(child.stdout.take().expect("standard output is piped"));
    let mut text = String::new();
    for _ in 0..LINES_READ_FIRST {
        log.read_line(&mut text).expect("read the log");
    }
    let mut input = child.stdin.take().expect("standard input is piped");
    input.write_all(b"go\n").expect("signal the writer");
    log.read_to_string(&mut text).expect("read the log");
    child.wait().expect("wait for the writer to end");
    let written = text.matches("request refused").count();
    assert!(
        written > 0 && written < LOGGED_LINES,
        "{written} of {LOGGED_LINES} lines were written"
    );
    let dropped = count_dropped(&text);
    assert_eq!(written + dropped, LOGGED_LINES + 1, "{dropped} dropped");
}

// Guards against dropped lines that no notice counts, since the process logs nothing after them.
#[test]
fn lines_that_are_dropped_last_are_counted_when_the_logger_ends() {
    let mut child = start_writer(ENDS_AT_ONCE);
    wait_until_done(&mut child);
    let mut log = child.stdout.take().expect("standard output is piped");
    let mut text = String::new();
    log.read_to_string(&mut text).expect("read the log");
    child.wait().expect("wait for the writer to end");
    let written = text.matches("request refused").count();
    let dropped = count_dropped(&text);
    assert!(dropped > 0, "the queue was never full");
    assert_eq!(written + dropped, LOGGED_LINES, "{dropped} lines dropped");
}
