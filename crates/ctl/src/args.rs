//! Parses the command line.

use std::env;

use lexopt::{Arg, Parser, ValueExt};

/// Address used if neither `--address` nor the environment gives one.
const DEFAULT_ADDRESS: &str = "127.0.0.1:7401";

/// Environment variable that holds the address of a node.
const ADDRESS_VARIABLE: &str = "JACKDAW_ADDRESS";

/// Environment variable that holds the operator's token.
const TOKEN_VARIABLE: &str = "JACKDAW_TOKEN";

/// Number of release notes that `history` shows without `--count`.
const DEFAULT_HISTORY_COUNT: u64 = 20;

/// Text that `--help` prints.
pub(crate) const HELP: &str = "\
Usage: jackdawctl [OPTIONS] COMMAND

plan NOTE.yaml     shows what a release note would change
apply NOTE.yaml    sends a release note and waits until it is accepted or refused
status             shows the node's view of the fleet
groups             shows the replica groups of the node's zone
vms                shows the VMs
nodes              shows the nodes of the system
teams              shows the teams
watch [SUBJECT]    follows decisions as they happen
explain SUBJECT    explains decisions about a group, VM, request, release, node, team or zone
explain --log FILE SUBJECT
                   does so from nodes' log lines alone; --log may stand several times
history            shows the last accepted release notes

--address HOST:PORT  operators' port of a node (JACKDAW_ADDRESS, else 127.0.0.1:7401)
--token TOKEN        operator's token (JACKDAW_TOKEN)
--json               prints JSON instead of tables
--log FILE           log of a node
--id ID              identity of the note, to send again what may have been accepted
--count N            number of notes that history shows (20)
--help               prints this text

Exit codes: 0 done, 1 refused or conflict, 2 bad input, 3 unreachable or answer unknown.";

/// A command with its arguments.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Command {
    /// Shows what the release note in a file would change.
    Plan(String),
    /// Sends the release note in a file.
    Apply(String),
    /// Shows the node's view of the fleet.
    Status,
    /// Shows the replica groups.
    Groups,
    /// Shows the VMs.
    Vms,
    /// Shows the nodes.
    Nodes,
    /// Shows the teams.
    Teams,
    /// Follows decisions, about one subject if one is given.
    Watch(Option<String>),
    /// Explains the decisions about a subject.
    Explain(String),
    /// Explains a subject from log files, without asking a node.
    ExplainLogs {
        /// Paths of the log files.
        logs: Vec<String>,
        /// Subject to explain.
        subject: String,
    },
    /// Shows the last accepted release notes, at most this many.
    History(u64),
}

/// The parsed command line.
#[derive(Clone, Debug)]
pub(crate) struct Args {
    /// Command to run.
    pub(crate) command: Command,
    /// Address of a node's operators' port.
    pub(crate) address: String,
    /// Operator's token.
    pub(crate) token: String,
    /// Whether to print JSON instead of tables.
    pub(crate) json: bool,
    /// Identity of the release note, in place of the one in its file.
    pub(crate) id: Option<String>,
}

/// What the command line asks for.
pub(crate) enum Parsed {
    /// Runs a command.
    Run(Args),
    /// Prints the help text.
    Help,
}

impl Args {
    /// Parses the command line and the environment.
    ///
    /// # Errors
    ///
    /// Fails on an unknown option or command, on a missing or malformed value, and if a command
    /// that asks a node has no token.
    pub(crate) fn parse(mut parser: Parser) -> Result<Parsed, lexopt::Error> {
        let mut address = env::var(ADDRESS_VARIABLE).ok();
        let mut token = env::var(TOKEN_VARIABLE).ok();
        let mut count = DEFAULT_HISTORY_COUNT;
        let mut json = false;
        let mut id = None;
        let mut logs = Vec::new();
        let mut positionals = Vec::new();
        while let Some(arg) = parser.next()? {
            match arg {
                Arg::Short('h') | Arg::Long("help") => return Ok(Parsed::Help),
                Arg::Long("address") => address = Some(parser.value()?.string()?),
                Arg::Long("token") => token = Some(parser.value()?.string()?),
                Arg::Long("json") => json = true,
                Arg::Long("id") => id = Some(parser.value()?.string()?),
                Arg::Long("log") => logs.push(parser.value()?.string()?),
                Arg::Long("count") => count = parser.value()?.parse()?,
                Arg::Value(value) => positionals.push(value.string()?),
                Arg::Short(_) | Arg::Long(_) => return Err(arg.unexpected()),
            }
        }
        let command = match (parse_command(&positionals, count)?, logs.is_empty()) {
            (Command::Explain(subject), false) => Command::ExplainLogs { logs, subject },
            (command, true) => command,
            (_, false) => return Err("--log goes with explain".into()),
        };
        // Explaining from log files asks no node.
        let needs_token = !matches!(command, Command::ExplainLogs { .. });
        if needs_token && token.is_none() {
            return Err("no token; use --token or JACKDAW_TOKEN".into());
        }
        Ok(Parsed::Run(Args {
            command,
            address: address.unwrap_or_else(|| DEFAULT_ADDRESS.to_owned()),
            token: token.unwrap_or_default(),
            json,
            id,
        }))
    }
}

/// Parses the positional arguments.
fn parse_command(positionals: &[String], count: u64) -> Result<Command, lexopt::Error> {
    let positionals: Vec<&str> = positionals.iter().map(String::as_str).collect();
    Ok(match positionals.as_slice() {
        ["plan", file] => Command::Plan((*file).to_owned()),
        ["apply", file] => Command::Apply((*file).to_owned()),
        ["status"] => Command::Status,
        ["groups"] => Command::Groups,
        ["vms"] => Command::Vms,
        ["nodes"] => Command::Nodes,
        ["teams"] => Command::Teams,
        ["watch"] => Command::Watch(None),
        ["watch", subject] => Command::Watch(Some((*subject).to_owned())),
        ["explain", subject] => Command::Explain((*subject).to_owned()),
        ["history"] => Command::History(count),
        [] => return Err("no command".into()),
        [word, ..] => return Err(format!("wrong use of {word}, or no such command").into()),
    })
}
