//! Runs commands and prints their results.

use std::time::Duration;

use futures::StreamExt;
use jackdawstair::control::admin::problem::Outcome;
use jackdawstair::control::admin::view;
use jackdawstair::core::decision::Decision;
use jackdawstair::core::time::{Clock, SystemClock};
use serde::de::DeserializeOwned;

use crate::args::{Args, Command};
use crate::client::{Node, parse};
use crate::error::{Error, Result, describe_conflicts};
use crate::note;
use crate::output;
use crate::timeline;

/// Number of times that a note is sent while its answer is lost.
const APPLY_ATTEMPTS: u32 = 5;

/// Pause between two attempts to send a note.
const APPLY_PAUSE: Duration = Duration::from_secs(1);

/// Path of the release notes.
const NOTES: &str = "/admin/v1/release-notes";

/// Runs a command and prints its result.
///
/// # Errors
///
/// Fails if an input cannot be used, or if the node refuses the request or cannot be reached.
pub(crate) async fn run(args: Args) -> Result<()> {
    let json = args.json;
    if let Command::ExplainLogs { logs, subject } = &args.command {
        return explain_from_logs(logs, subject, json);
    }
    let node = Node::new(args.address, args.token).await;
    match args.command {
        Command::ExplainLogs { .. } => Ok(()),
        Command::Plan(path) => plan(&node, &path, json).await,
        Command::Apply(path) => apply(&node, &path, args.id, json).await,
        Command::Status => {
            print_resource(&node, "/admin/v1/status", json, output::format_status).await
        }
        Command::Groups => print_list(&node, "/admin/v1/groups", json, output::format_groups).await,
        Command::Vms => print_list(&node, "/admin/v1/vms", json, output::format_vms).await,
        Command::Nodes => print_list(&node, "/admin/v1/nodes", json, output::format_nodes).await,
        Command::Teams => print_list(&node, "/admin/v1/teams", json, output::format_teams).await,
        Command::Watch(subject) => watch(&node, subject, json).await,
        Command::Explain(subject) => explain(&node, &subject, json).await,
        Command::History(count) => {
            let path = format!("{NOTES}?count={count}");
            let now = SystemClock::default().unix_millis();
            let format = |history: &view::History| output::format_history(&history.notes, now);
            print_resource(&node, &path, json, format).await
        }
    }
}

/// Prints what the logs say about a subject.
fn explain_from_logs(logs: &[String], subject: &str, json: bool) -> Result<()> {
    let timeline = timeline::collect(logs, subject)?;
    if json {
        println!("{}", timeline.to_json()?);
    } else {
        print!("{}", timeline.to_text());
    }
    Ok(())
}

/// Gets a resource and prints it as JSON or as formatted text.
async fn print_resource<T: DeserializeOwned>(
    node: &Node,
    path: &str,
    json: bool,
    format: impl Fn(&T) -> String,
) -> Result<()> {
    let text = node.get(path).await?;
    if json {
        println!("{text}");
        return Ok(());
    }
    print!("{}", format(&parse(&text)?));
    Ok(())
}

/// Gets a list and prints it as JSON or as formatted text.
async fn print_list<T: DeserializeOwned>(
    node: &Node,
    path: &str,
    json: bool,
    format: impl Fn(&[T]) -> String,
) -> Result<()> {
    print_resource(node, path, json, |items: &Vec<T>| format(items)).await
}

async fn plan(node: &Node, path: &str, json: bool) -> Result<()> {
    let note = note::read(path)?;
    let text = node.post("/admin/v1/plan", encode_json(&note)?).await?;
    let plan: view::Plan = parse(&text)?;
    if json {
        println!("{text}");
    } else {
        print!("{}", output::format_plan(&plan));
    }
    if plan.conflicts.is_empty() {
        return Ok(());
    }
    Err(Error::Refused(Box::new(create_refusal(&plan))))
}

/// Creates the problem to report for a planned note that would be refused.
fn create_refusal(plan: &view::Plan) -> jackdawstair::control::admin::problem::Problem {
    let title = format!(
        "the note would be refused:\n{}",
        describe_conflicts(&plan.conflicts)
    );
    jackdawstair::control::admin::problem::Problem::new(
        ntex::http::StatusCode::CONFLICT,
        "note-refused",
        &title,
    )
}

async fn apply(node: &Node, path: &str, id: Option<String>, json: bool) -> Result<()> {
    let mut note = note::read(path)?;
    if let Some(id) = id {
        note.id = id.into();
    }
    if note.id.is_empty() {
        note.id = note::new_id(&note).into();
    }
    let text = send_note(node, &note.id, &encode_json(&note)?).await?;
    if json {
        println!("{text}");
        return Ok(());
    }
    let accepted: view::Accepted = parse(&text)?;
    let again = if accepted.repeated {
        " by an earlier attempt"
    } else {
        ""
    };
    println!(
        "note {} accepted at revision {}{again}",
        accepted.note, accepted.revision
    );
    Ok(())
}

/// Sends a note, and sends it again with the same identity while its answer is lost.
///
/// # Errors
///
/// Fails with [`Error::Unknown`] if an attempt may have been accepted, with [`Error::Unreachable`]
/// if none was, and at once if the node refuses the note.
async fn send_note(node: &Node, id: &str, body: &str) -> Result<String> {
    let mut may_be_accepted = false;
    let mut reason = String::new();
    for attempt in 0..APPLY_ATTEMPTS {
        if attempt > 0 {
            eprintln!("jackdawctl: {reason}; asking again with the same identity {id}");
            ntex::time::sleep(APPLY_PAUSE).await;
        }
        match node.post(NOTES, body.to_owned()).await {
            Ok(text) => return Ok(text),
            Err(Error::Refused(problem)) if problem.status == 503 => {
                may_be_accepted |= problem.outcome != Some(Outcome::NotAccepted);
                reason = problem.title.to_string();
            }
            Err(error @ Error::NotSent { .. }) => reason = error.to_string(),
            Err(error @ Error::Unreachable { .. }) => {
                // The node may have accepted the note although no answer arrived.
                may_be_accepted = true;
                reason = error.to_string();
            }
            Err(error) => return Err(error),
        }
    }
    if may_be_accepted {
        let id = id.to_owned();
        return Err(Error::Unknown { id, reason });
    }
    Err(node.unreachable(reason))
}

fn encode_json<T: serde::Serialize>(value: &T) -> Result<String> {
    serde_json::to_string(value).map_err(|error| Error::Input(error.to_string()))
}

async fn explain(node: &Node, subject: &str, json: bool) -> Result<()> {
    let path = format!("/admin/v1/explain/{}", percent_encode(subject));
    let text = node.get(&path).await?;
    let decisions: Vec<Decision> = parse(&text)?;
    if json {
        println!("{text}");
    } else {
        for decision in &decisions {
            print!("{}", output::format_decision(decision));
        }
    }
    if decisions.is_empty() {
        let title = format!("this node took no decision about {subject} that it still remembers");
        return Err(Error::Input(title));
    }
    Ok(())
}

async fn watch(node: &Node, subject: Option<String>, json: bool) -> Result<()> {
    let path = match subject {
        Some(subject) => format!("/admin/v1/decisions?subject={}", percent_encode(&subject)),
        None => "/admin/v1/decisions".to_owned(),
    };
    let mut response = node.open_event_stream(&path).await?;
    let mut buffer = Vec::new();
    while let Some(chunk) = response.next().await {
        let chunk = chunk.map_err(|error| node.unreachable(error))?;
        buffer.extend_from_slice(&chunk);
        while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = buffer.drain(..=end).collect();
            print_event_line(&String::from_utf8_lossy(&line), json)?;
        }
    }
    Err(node.unreachable("the node ended the stream"))
}

/// Prints the decision in a `data:` line of an event stream; other lines print nothing.
fn print_event_line(line: &str, json: bool) -> Result<()> {
    let Some(data) = line.trim_end().strip_prefix("data: ") else {
        return Ok(());
    };
    if json {
        println!("{data}");
        return Ok(());
    }
    let decision: Decision = parse(data)?;
    print!("{}", output::format_decision(&decision));
    Ok(())
}

/// Percent-encodes bytes that could end the path or the query.
fn percent_encode(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for byte in text.bytes() {
        let is_unescaped = byte.is_ascii_alphanumeric() || b"-._~/:".contains(&byte);
        if is_unescaped {
            escaped.push(char::from(byte));
        } else {
            escaped.push_str(&format!("%{byte:02X}"));
        }
    }
    escaped
}
