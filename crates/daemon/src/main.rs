//! The daemon of an entry VM.

mod gateway;

use std::fs;
use std::process::{self, ExitCode};
use std::sync::Arc;
use std::sync::mpsc::{self, RecvTimeoutError};
use std::thread;

use fail::FailScenario;
use jackdawstair::core::time::SystemClock;
use jackdawstair::core::units::Millis;
use jackdawstair::node::{Node, Parts, wire_runtime};
use jackdawstair::platform::etcd;
use jackdawstair::settings::Settings;
use jackdawstair::{log, stop};
use lexopt::Arg;

/// Exit code of a node that could not start or stop.
const EXIT_FAILURE: u8 = 1;

/// Exit code for invalid arguments or invalid settings.
pub(crate) const EXIT_USAGE: u8 = 2;

const HELP: &str = "\
Usage: jackdawd run SETTINGS.yaml
       jackdawd check SETTINGS.yaml
       jackdawd gateway

run     starts a node and stops it gracefully on SIGTERM or SIGINT
check   reports every problem of the settings and exits
gateway starts a node on the users' platform, with the settings file that the platform names

Exit codes: 0 fine or stopped as planned, 1 the node could not start or did not stop in time,
2 wrong usage or wrong settings.";

/// Subcommand that the command line selects.
enum Command {
    /// Runs a node with the settings file at this path.
    Run(String),
    /// Validates the settings file at this path.
    Check(String),
    /// Runs a gateway node.
    Gateway,
    /// Prints the usage.
    Help,
}

fn main() -> ExitCode {
    match parse_arguments(lexopt::Parser::from_env()) {
        Ok(Command::Help) => {
            println!("{HELP}");
            ExitCode::SUCCESS
        }
        Ok(Command::Check(path)) => match read_settings(&path) {
            Ok(_) => {
                println!("{path}: fine");
                ExitCode::SUCCESS
            }
            Err(code) => code,
        },
        Ok(Command::Gateway) => gateway::run(),
        Ok(Command::Run(path)) => match read_settings(&path) {
            Ok(settings) => run_node(&settings),
            Err(code) => code,
        },
        Err(error) => {
            eprintln!("jackdawd: {error}\n\n{HELP}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

fn parse_arguments(mut parser: lexopt::Parser) -> Result<Command, lexopt::Error> {
    let mut arguments = Vec::new();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Short('h') | Arg::Long("help") => return Ok(Command::Help),
            Arg::Value(value) => arguments.push(value.to_string_lossy().into_owned()),
            Arg::Short(_) | Arg::Long(_) => return Err(arg.unexpected()),
        }
    }
    match arguments.as_slice() {
        [command, path] if command == "run" => Ok(Command::Run(path.clone())),
        [command] if command == "gateway" => Ok(Command::Gateway),
        [command, path] if command == "check" => Ok(Command::Check(path.clone())),
        _ => Err("expected gateway, or run or check and one settings file".into()),
    }
}

/// Reads and validates a settings file; on failure, prints each problem and returns the exit code.
fn read_settings(path: &str) -> Result<Settings, ExitCode> {
    let text = fs::read_to_string(path).map_err(|error| {
        eprintln!("{path}: {error}");
        ExitCode::from(EXIT_USAGE)
    })?;
    Settings::parse(&text).map_err(|problems| {
        for problem in problems {
            eprintln!("{path}: {problem}");
        }
        ExitCode::from(EXIT_USAGE)
    })
}

/// Runs a node until a signal stops it.
fn run_node(settings: &Settings) -> ExitCode {
    // Has no effect in builds without the `failpoints` feature, which only the tests enable.
    let _fail_points = FailScenario::setup();
    let logger = log::json(settings.log_level, &settings.node);
    let signals = match stop::Signals::install() {
        Ok(signals) => signals,
        Err(error) => return report_failure(&error),
    };
    if let Err(error) = signals.ignore_hangups(logger.clone()) {
        return report_failure(&error);
    }
    let runtime = match wire_runtime() {
        Ok(runtime) => runtime,
        Err(error) => return report_failure(&error),
    };
    let bounds = etcd::Bounds::default();
    let store = match etcd::Client::new(runtime.handle().clone(), &settings.platform.store, bounds)
    {
        Ok(store) => store,
        Err(error) => return report_failure(&error),
    };
    let parts = Parts {
        store: Arc::new(store),
        clock: Arc::new(SystemClock::default()),
        wire: runtime.handle().clone(),
        logger,
        switch: Arc::default(),
    };
    match Node::start(settings, parts) {
        Ok(node) => {
            signals.wait();
            stop_in_time(node, settings.timing.grace_period)
        }
        Err(error) => report_failure(&error),
    }
}

/// Stops a node and ends the process if that takes longer than the grace period.
fn stop_in_time(node: Node, grace_period: Millis) -> ExitCode {
    let (stopped_sender, stopped) = mpsc::channel();
    let stopping = thread::spawn(move || {
        node.stop();
        let _ = stopped_sender.send(());
    });
    match stopped.recv_timeout(grace_period.duration()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(RecvTimeoutError::Timeout) => {
            eprintln!("jackdawd: the node did not stop within {grace_period}");
            // Returning would wait for the runtime, which may be what does not end.
            process::exit(i32::from(EXIT_FAILURE));
        }
        Err(RecvTimeoutError::Disconnected) => {
            let _ = stopping.join();
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

/// Prints an error and returns the exit code of a failure.
pub(crate) fn report_failure(error: &jackdawstair::core::errors::Error) -> ExitCode {
    eprintln!("jackdawd: {error}");
    ExitCode::FAILURE
}
