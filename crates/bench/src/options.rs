//! Command line of the tool.

use lexopt::{Arg, Parser, ValueExt};

/// Usage text.
pub(crate) const USAGE: &str = "\
usage: jackdaw-bench plan [--seed N] [--seeds N] [--days N]
       jackdaw-bench route
       jackdaw-bench slopes
       jackdaw-bench nodes
       jackdaw-bench load [--rate N] [--seconds N] [--tokens N] [--whole]";

/// Measurement to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Command {
    /// Planning, compared with a fixed assignment.
    Plan,
    /// Cost of a routing decision.
    Route,
    /// State size, processor time and gossip bytes by size of the fleet.
    Slopes,
    /// Latency and throughput through one node, compared with direct requests.
    Load,
    /// Processor time, memory and traffic of idle node processes.
    Nodes,
}

/// Parsed command line.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    /// Measurement to run.
    pub(crate) command: Command,
    /// First seed of the replays.
    pub(crate) seed: u64,
    /// Number of consecutive seeds.
    pub(crate) seeds: u64,
    /// Simulated days of each replay.
    pub(crate) days: u64,
    /// Requests per second.
    pub(crate) rate: u64,
    /// Duration of the load in seconds.
    pub(crate) seconds: u64,
    /// Tokens per answer.
    pub(crate) tokens: u64,
    /// Whether answers are requested whole instead of as streams.
    pub(crate) whole: bool,
}

impl Options {
    /// Parses the command line of the process.
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
