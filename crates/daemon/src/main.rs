//! The daemon of an entry VM.

mod gateway;

use std::fs;
use std::process::ExitCode;
use std::sync::Arc;

use fail::FailScenario;
use jackdawstair::core::time::SystemClock;
use jackdawstair::node::{Node, Parts, wire_runtime};
use jackdawstair::platform::etcd;
use jackdawstair::settings::Settings;
use jackdawstair::{log, stop};
use lexopt::Arg;

/// Exit code for wrong usage or wrong settings.
pub(crate) const EXIT_USAGE: u8 = 2;

const HELP: &str = "\
Usage: jackdawd run SETTINGS.yaml
       jackdawd check SETTINGS.yaml
       jackdawd gateway

run     starts a node and stops it gracefully on SIGTERM or SIGINT
check   reports every problem of the settings and exits
gateway starts a node on the users' platform, with the settings file that the platform names

Exit codes: 0 fine or stopped as planned, 1 the node could not start,
2 wrong usage or wrong settings.";

/// What the command line asks for.
enum Command {
    Run(String),
    Check(String),
    Gateway,
    Help,
}

fn main() -> ExitCode {
    match parse(lexopt::Parser::from_env()) {
        Ok(Command::Help) => {
            println!("{HELP}");
            ExitCode::SUCCESS
        }
        Ok(Command::Check(path)) => match read(&path) {
            Ok(_) => {
                println!("{path}: fine");
                ExitCode::SUCCESS
            }
            Err(code) => code,
        },
        Ok(Command::Gateway) => gateway::run(),
        Ok(Command::Run(path)) => match read(&path) {
            Ok(settings) => run(&settings),
            Err(code) => code,
        },
        Err(error) => {
            eprintln!("jackdawd: {error}\n\n{HELP}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

fn parse(mut parser: lexopt::Parser) -> Result<Command, lexopt::Error> {
    let mut words = Vec::new();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Short('h') | Arg::Long("help") => return Ok(Command::Help),
            Arg::Value(value) => words.push(value.to_string_lossy().into_owned()),
            Arg::Short(_) | Arg::Long(_) => return Err(arg.unexpected()),
        }
    }
    match words.as_slice() {
        [verb, path] if verb == "run" => Ok(Command::Run(path.clone())),
        [verb] if verb == "gateway" => Ok(Command::Gateway),
        [verb, path] if verb == "check" => Ok(Command::Check(path.clone())),
        _ => Err("expected gateway, or run or check and one settings file".into()),
    }
}

fn read(path: &str) -> Result<Settings, ExitCode> {
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

fn run(settings: &Settings) -> ExitCode {
    // Builds without the feature of the tests have no fail points to set up.
    let _failures = FailScenario::setup();
    let logger = log::json(settings.log_level, &settings.node);
    let signals = match stop::Signals::install() {
        Ok(signals) => signals,
        Err(error) => return fail(&error),
    };
    let runtime = match wire_runtime() {
        Ok(runtime) => runtime,
        Err(error) => return fail(&error),
    };
    let bounds = etcd::Bounds::default();
    let store = match etcd::Client::new(runtime.handle().clone(), &settings.platform.store, bounds)
    {
        Ok(store) => store,
        Err(error) => return fail(&error),
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
            node.stop();
            ExitCode::SUCCESS
        }
        Err(error) => fail(&error),
    }
}

pub(crate) fn fail(error: &jackdawstair::core::errors::Error) -> ExitCode {
    eprintln!("jackdawd: {error}");
    ExitCode::FAILURE
}
