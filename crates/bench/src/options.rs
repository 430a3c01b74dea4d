//! Reads the command line.

use lexopt::{Arg, Parser, ValueExt};

/// How the tool is called.
pub(crate) const USAGE: &str = "\
usage: jackdaw-bench plan [--seed N] [--seeds N] [--days N]
       jackdaw-bench route
       jackdaw-bench slopes
       jackdaw-bench nodes
       jackdaw-bench load [--rate N] [--seconds N] [--tokens N] [--whole]";

/// What is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Command {
    /// Planning against a fixed assignment.
    Plan,
    /// Cost of a routing decision.
    Route,
    /// State, processor time and bytes by size of the fleet.
    Slopes,
    /// Latency and throughput of one node.
    Load,
    /// What real nodes spend as processes.
    Nodes,
}

/// The command line.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    /// What is measured.
    pub(crate) command: Command,
    /// First seed.
    pub(crate) seed: u64,
    /// Number of seeds.
    pub(crate) seeds: u64,
    /// Days that a replay covers.
    pub(crate) days: u64,
    /// Requests a second.
    pub(crate) rate: u64,
    /// Seconds of load.
    pub(crate) seconds: u64,
    /// Tokens of each answer.
    pub(crate) tokens: u64,
    /// Whether answers come whole instead of as streams.
    pub(crate) whole: bool,
}

impl Options {
    /// Reads the command line of the process.
    ///
    /// # Errors
    ///
    /// Returns an error for an unknown command, option or value.
    pub(crate) fn parse() -> Result<Self, lexopt::Error> {
        let mut parser = Parser::from_env();
        let mut command = None;
        let mut options = Options {
            command: Command::Plan,
            seed: 1,
            seeds: 3,
            days: 7,
            rate: 1_000,
            seconds: 10,
            tokens: 200,
            whole: false,
        };
        while let Some(arg) = parser.next()? {
            match arg {
                Arg::Long("seed") => options.seed = parser.value()?.parse()?,
                Arg::Long("seeds") => options.seeds = parser.value()?.parse()?,
                Arg::Long("days") => options.days = parser.value()?.parse()?,
                Arg::Long("rate") => options.rate = parser.value()?.parse()?,
                Arg::Long("seconds") => options.seconds = parser.value()?.parse()?,
                Arg::Long("tokens") => options.tokens = parser.value()?.parse()?,
                Arg::Long("whole") => options.whole = true,
                Arg::Value(name) if command.is_none() => command = Some(parse_command(&name)?),
                other => return Err(other.unexpected()),
            }
        }
        options.command = command.ok_or("a command is missing")?;
        Ok(options)
    }
}

fn parse_command(name: &std::ffi::OsStr) -> Result<Command, lexopt::Error> {
    match name.to_str() {
        Some("plan") => Ok(Command::Plan),
        Some("route") => Ok(Command::Route),
        Some("slopes") => Ok(Command::Slopes),
        Some("load") => Ok(Command::Load),
        Some("nodes") => Ok(Command::Nodes),
        _ => Err(format!("unknown command {}", name.display()).into()),
    }
}
