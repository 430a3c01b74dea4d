//! A log that nobody reads.

use std::env;
use std::io::{BufRead, BufReader, Read, Write as _};
use std::process::{Command, Stdio};

use jackdawstair::log;
use slog::{Level, info};

/// Set for the process that writes the log.
const WRITER: &str = "JACKDAWSTAIR_TEST_WRITER";
/// Lines of the flood; many times what the queue and a pipe hold.
const LINES: usize = 100_000;
/// Lines that are read before the last one is logged: fewer than the queue holds, and more than
/// find room in the pipe again meanwhile.
const READ_FIRST: usize = 1_800;
/// What the writer says once all lines are logged.
const DONE: &str = "all lines are logged";

/// Floods the log; does nothing unless the other test has started this process for it.
#[test]
fn flood() {
    if env::var_os(WRITER).is_none() {
        return;
    }
    let logger = log::json_stdout(Level::Info, "node");
    for number in 0..LINES {
        info!(logger, "request refused"; "request" => number);
    }
    eprintln!("{DONE}");
    // What was left out is told with the next line that finds room, once the log is read again.
    let mut go = String::new();
    std::io::stdin()
        .read_line(&mut go)
        .expect("the reader says so");
    info!(logger, "request refused"; "request" => "last");
    // Waits for the rest of the queue.
    drop(logger);
}

#[test]
fn a_flood_never_waits_for_the_reader_and_what_is_left_out_is_counted() {
    let program = env::current_exe().expect("the test has a path");
    let mut child = Command::new(program)
        .args(["--exact", "flood", "--nocapture"])
        .env(WRITER, "1")
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the writer starts");
    let errors = BufReader::new(child.stderr.take().expect("a pipe"));
    // Nobody reads the log until the writer is done.
    let is_done = errors
        .lines()
        .any(|line| line.is_ok_and(|line| line.contains(DONE)));
    assert!(is_done, "the writer has ended before its last line");
    let mut log = BufReader::new(child.stdout.take().expect("a pipe"));
    let mut text = String::new();
    for _ in 0..READ_FIRST {
        log.read_line(&mut text).expect("the log is text");
    }
    let mut words = child.stdin.take().expect("a pipe");
    words.write_all(b"go\n").expect("the writer listens");
    log.read_to_string(&mut text).expect("the log is text");
    child.wait().expect("the writer ends");
    let written = text.matches("request refused").count();
    assert!(written > 0 && written < LINES, "{written} lines");
    let dropped: usize = text
        .lines()
        .filter(|line| line.contains("dropped messages"))
        .filter_map(|line| {
            let count = line.split("\"count\":").nth(1)?;
            let digits: String = count.chars().take_while(char::is_ascii_digit).collect();
            digits.parse::<usize>().ok()
        })
        .sum();
    let all = LINES + 1;
    // The library counts its own notices as well if they find no room.
    assert!(
        written + dropped >= all,
        "{} of {all} lines are lost without a count",
        all - written - dropped
    );
}
