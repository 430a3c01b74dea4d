//! Command line that runs the stand-ins as a separate process, or the demo.

mod demo;
mod standalone;

use std::process::ExitCode;

use jackdaw_core::errors::Error;
use jackdaw_core::units::Millis;
use lexopt::{Arg, ValueExt as _};

/// Exit code for incorrect usage.
const EXIT_USAGE: u8 = 2;

const HELP: &str = "\
Usage: jackdaw-standin demo [--callers ADDRESS] [--operators ADDRESS]
       jackdaw-standin platform FLEET.yaml [--store ADDRESS] [--vms ADDRESS]
                                [--faults ADDRESS] [--token-interval MS]

demo      starts one node with in-process stand-ins and an accepted sample
          release note
platform  starts the VMs of a file with their engines and plain services,
          the VM list, the key-value service and a port for faults

--callers ADDRESS      callers' port, 127.0.0.1:7400 if left out
--operators ADDRESS    operators' port, 127.0.0.1:7401 if left out
--store ADDRESS        key-value service, 127.0.0.1:7590 if left out
--vms ADDRESS          VM list, 127.0.0.1:7591 if left out
--faults ADDRESS       port for faults, 127.0.0.1:7592 if left out
--token-interval MS    milliseconds between two tokens, 5 if left out

Both stop on SIGTERM or SIGINT. Faults are set by POST on the port for
faults: /vms/NAME/kill, revive, pause, resume, leave, stay and
/store/up, down, lose-answers, stale; GET /executions/SERVICE/KEY counts.

Exit codes: 0 stopped as planned, 1 could not start, 2 wrong usage.";

/// Command given on the command line.
enum Command {
    Demo(demo::Options),
    Platform(standalone::Options),
    Help,
}

fn main() -> ExitCode {
    match parse_command(lexopt::Parser::from_env()) {
        Ok(Command::Help) => {
            println!("{HELP}");
            ExitCode::SUCCESS
        }
        Ok(Command::Demo(options)) => exit_code(demo::run(&options)),
        Ok(Command::Platform(options)) => exit_code(standalone::run(&options)),
        Err(error) => {
            eprintln!("jackdaw-standin: {error}\n\n{HELP}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

fn exit_code(result: Result<(), Error>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("jackdaw-standin: {error}");
            ExitCode::FAILURE
        }
    }
}

fn parse_command(mut parser: lexopt::Parser) -> Result<Command, lexopt::Error> {
    let mut positionals = Vec::new();
    let mut demo = demo::Options::default();
    let mut platform = standalone::Options::default();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Short('h') | Arg::Long("help") => return Ok(Command::Help),
            Arg::Long("callers") => demo.callers = parser.value()?.parse()?,
            Arg::Long("operators") => demo.operators = parser.value()?.parse()?,
            Arg::Long("store") => platform.addresses.store = parser.value()?.parse()?,
            Arg::Long("vms") => platform.addresses.vms = parser.value()?.parse()?,
            Arg::Long("faults") => platform.addresses.faults = parser.value()?.parse()?,
            Arg::Long("token-interval") => {
                platform.token_interval = Millis(parser.value()?.parse()?);
            }
            Arg::Value(value) => positionals.push(value.string()?),
            Arg::Short(_) | Arg::Long(_) => return Err(arg.unexpected()),
        }
    }
    match positionals.as_slice() {
        [] => Ok(Command::Help),
        [command] if command == "demo" => Ok(Command::Demo(demo)),
        [command, file] if command == "platform" => {
            platform.file = file.clone();
            Ok(Command::Platform(platform))
        }
        _ => Err("expected demo, or platform and one fleet file".into()),
    }
}
