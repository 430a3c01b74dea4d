//! Stand-ins as a process of their own, and the demo.

mod demo;

use std::process::ExitCode;

use lexopt::Arg;

/// Exit code for wrong usage.
const EXIT_USAGE: u8 = 2;

const HELP: &str = "\
Usage: jackdaw-standin demo [--callers ADDRESS] [--operators ADDRESS]

demo    starts one node with in-process stand-ins and an accepted sample
        release note; stops on SIGTERM or SIGINT

--callers ADDRESS     callers' port, 127.0.0.1:7400 if left out
--operators ADDRESS   operators' port, 127.0.0.1:7401 if left out

Exit codes: 0 stopped as planned, 1 could not start, 2 wrong usage.";

/// What the command line asks for.
enum Command {
    Demo(demo::Options),
    Help,
}

fn main() -> ExitCode {
    match parse(lexopt::Parser::from_env()) {
        Ok(Command::Help) => {
            println!("{HELP}");
            ExitCode::SUCCESS
        }
        Ok(Command::Demo(options)) => match demo::run(&options) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("jackdaw-standin: {error}");
                ExitCode::FAILURE
            }
        },
        Err(error) => {
            eprintln!("jackdaw-standin: {error}\n\n{HELP}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

fn parse(mut parser: lexopt::Parser) -> Result<Command, lexopt::Error> {
    use lexopt::ValueExt as _;
    let mut verb = None;
    let mut options = demo::Options::default();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Short('h') | Arg::Long("help") => return Ok(Command::Help),
            Arg::Long("callers") => options.callers = parser.value()?.parse()?,
            Arg::Long("operators") => options.operators = parser.value()?.parse()?,
            Arg::Value(value) if verb.is_none() => verb = Some(value.string()?),
            Arg::Short(_) | Arg::Long(_) | Arg::Value(_) => return Err(arg.unexpected()),
        }
    }
    match verb.as_deref() {
        Some("demo") => Ok(Command::Demo(options)),
        Some(other) => Err(format!("unknown command {other}").into()),
        None => Ok(Command::Help),
    }
}
