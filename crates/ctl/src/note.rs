//! Reads release notes from YAML files and creates identities for them.

use std::fs;
use std::time::{SystemTime, UNIX_EPOCH};

use jackdawstair::core::note::Note;
use jackdawstair::core::token::Digest;

use crate::error::{Error, Result};

/// Hexadecimal digits of the digest in a created identity.
const ID_DIGEST_DIGITS: usize = 12;

/// Reads a release note from a YAML file.
///
/// # Errors
///
/// Fails if the file cannot be read or parsed; the error names the file and, if known, the line.
pub(crate) fn read(path: &str) -> Result<Note> {
    let text =
        fs::read_to_string(path).map_err(|error| Error::Input(format!("{path}: {error}")))?;
    serde_saphyr::from_str(&text).map_err(|error| {
        let reason = error.to_string();
        let line = error
            .location()
            .map(|place| place.line())
            .or_else(|| find_key_line(&text, &reason));
        let place = line.map_or_else(String::new, |line| format!(":{line}"));
        Error::Input(format!("{path}{place}: {reason}"))
    })
}

/// Finds the line of the first key that an error message puts in back quotes. The parser gives
/// no location for unknown keys.
fn find_key_line(text: &str, reason: &str) -> Option<u64> {
    let key = reason.split('`').nth(1)?;
    let is_key = |line: &str| {
        line.split([' ', '{', ',', '-'])
            .any(|word| word.strip_suffix(':') == Some(key))
    };
    (1..)
        .zip(text.lines())
        .find(|(_, line)| is_key(line))
        .map(|(number, _)| number)
}

/// Creates the identity of a note that has none.
///
/// The time and the process are part of the digest, so that a file that is sent by two operators,
/// or twice on purpose, gets two identities.
pub(crate) fn new_id(note: &Note) -> String {
    let nanos = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_nanos();
    let text = format!("{nanos} {} {}", std::process::id(), note.summary);
    let digest = Digest::of(text.as_bytes()).to_string();
    format!("note-{}", &digest[..ID_DIGEST_DIGITS])
}
