//! Errors of commands and their exit codes.

use jackdawstair::control::admin::problem::Problem;
use jackdawstair::core::note::Conflict;
use thiserror::Error as ThisError;

/// Exit code for a refusal or a conflict.
pub(crate) const EXIT_REFUSED: u8 = 1;

/// Exit code for bad input.
pub(crate) const EXIT_INPUT: u8 = 2;

/// Exit code for a node that cannot be reached, or whose answer is unknown.
pub(crate) const EXIT_UNREACHABLE: u8 = 3;

/// Result whose error is [`Error`].
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// Why a command failed.
#[derive(Debug, ThisError)]
pub(crate) enum Error {
    /// The input cannot be used: a file, a value or a subject.
    #[error("{0}")]
    Input(String),
    /// The node refused the request.
    #[error("{}", describe_problem(.0))]
    Refused(Box<Problem>),
    /// No connection to the node could be opened.
    #[error("{address}: {reason}")]
    NotSent {
        /// Address of the node.
        address: String,
        /// Cause of the failure.
        reason: String,
    },
    /// The connection broke, or no usable answer came.
    #[error("{address}: {reason}")]
    Unreachable {
        /// Address of the node.
        address: String,
        /// Cause of the failure.
        reason: String,
    },
    /// Every attempt to send a note failed, and one of them may have been accepted.
    #[error(
        "the answer is unknown: {reason}\nAsk again with the same identity: \
         jackdawctl apply FILE --id {id}"
    )]
    Unknown {
        /// Identity of the note.
        id: String,
        /// Cause of the failure.
        reason: String,
    },
}

impl Error {
    /// Returns the exit code of the process.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Error::Input(_) => EXIT_INPUT,
            Error::Refused(problem) if problem.status == 503 => EXIT_UNREACHABLE,
            Error::Refused(problem) if problem.status == 400 => EXIT_INPUT,
            Error::Refused(_) => EXIT_REFUSED,
            Error::NotSent { .. } | Error::Unreachable { .. } | Error::Unknown { .. } => {
                EXIT_UNREACHABLE
            }
        }
    }
}

/// Describes a problem: its title, its conflicts and the notes accepted since the base, one per
/// line.
fn describe_problem(problem: &Problem) -> String {
    let mut lines = vec![problem.title.to_string()];
    lines.extend(
        problem
            .conflicts
            .iter()
            .map(|conflict| format!("  {conflict}")),
    );
    if !problem.since.is_empty() {
        lines.push("accepted since the note's base:".to_owned());
    }
    for record in &problem.since {
        let (id, summary) = (&record.note.id, &record.note.summary);
        lines.push(format!("  {}  {id}  {summary}", record.revision));
    }
    lines.join("\n")
}

/// Describes conflicts, one per line.
pub(crate) fn describe_conflicts(conflicts: &[Conflict]) -> String {
    let lines: Vec<String> = conflicts.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
