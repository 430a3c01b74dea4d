//! Runs commands.

use std::time::Duration;

use futures::StreamExt;
use jackdawstair::control::admin::problem::Outcome;
use jackdawstair::control::admin::view;
use jackdawstair::core::decision::Decision;
use jackdawstair::core::time::{Clock, SystemClock};
use serde::de::DeserializeOwned;

use crate::args::{Args, Command};
use crate::client::{Node, parse};
use crate::error::{Error, Result, conflicts};
use crate::note;
use crate::print;
use crate::story;

/// Times that a note is sent before its answer counts as unknown.
const APPLY_ATTEMPTS: u32 = 5;

/// Pause between two attempts.
const APPLY_PAUSE: Duration = Duration::from_secs(1);

const NOTES: &str = "/admin/v1/release-notes";

/// Runs a command and prints its result.
pub(crate) async fn run(args: Args) -> Result<()> {
    let json = args.json;
    if let Command::Story { logs, subject } = &args.command {
        return tell(logs, subject, json);
    }
    let node = Node::new(args.address, args.token).await;
    match args.command {
        Command::Story { .. } => Ok(()),
        Command::Plan(path) => plan(&node, &path, json).await,
        Command::Apply(path) => apply(&node, &path, args.id, json).await,
        Command::Status => show(&node, "/admin/v1/status", json, print::status).await,
        Command::Groups => list(&node, "/admin/v1/groups", json, print::groups).await,
        Command::Vms => list(&node, "/admin/v1/vms", json, print::vms).await,
        Command::Nodes => list(&node, "/admin/v1/nodes", json, print::nodes).await,
        Command::Teams => list(&node, "/admin/v1/teams", json, print::teams).await,
        Command::Watch(subject) => watch(&node, subject, json).await,
        Command::Explain(subject) => explain(&node, &subject, json).await,
        Command::History(count) => {
            let path = format!("{NOTES}?count={count}");
            let now = SystemClock::default().unix_millis();
            let print = |history: &view::History| print::history(&history.notes, now);
            show(&node, &path, json, print).await
        }
    }
}

fn tell(logs: &[String], subject: &str, json: bool) -> Result<()> {
    let story = story::read(logs, subject)?;
    if json {
        println!("{}", story.json()?);
    } else {
        print!("{}", story.text());
    }
    Ok(())
}

async fn show<T: DeserializeOwned>(
    node: &Node,
    path: &str,
    json: bool,
    print: impl Fn(&T) -> String,
) -> Result<()> {
    let text = node.get(path).await?;
    if json {
        println!("{text}");
        return Ok(());
    }
    print!("{}", print(&parse(&text)?));
    Ok(())
}

async fn list<T: DeserializeOwned>(
    node: &Node,
    path: &str,
    json: bool,
    print: impl Fn(&[T]) -> String,
) -> Result<()> {
    show(node, path, json, |items: &Vec<T>| print(items)).await
}

async fn plan(node: &Node, path: &str, json: bool) -> Result<()> {
    let note = note::read(path)?;
    let text = node.post("/admin/v1/plan", encode(&note)?).await?;
    let plan: view::Plan = parse(&text)?;
    if json {
        println!("{text}");
    } else {
        print!("{}", print::plan(&plan));
    }
    if plan.conflicts.is_empty() {
        return Ok(());
    }
    Err(Error::Refused(Box::new(refusal(&plan))))
}

/// Creates the problem of a planned note that would not be accepted.
fn refusal(plan: &view::Plan) -> jackdawstair::control::admin::problem::Problem {
    let title = format!("the note would be refused:\n{}", conflicts(&plan.conflicts));
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
    let text = send(node, &note.id, &encode(&note)?).await?;
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
async fn send(node: &Node, id: &str, body: &str) -> Result<String> {
    let mut is_unsure = false;
    let mut reason = String::new();
    for attempt in 0..APPLY_ATTEMPTS {
        if attempt > 0 {
            eprintln!("jackdawctl: {reason}; asking again with the same identity {id}");
            ntex::time::sleep(APPLY_PAUSE).await;
        }
        match node.post(NOTES, body.to_owned()).await {
            Ok(text) => return Ok(text),
            Err(Error::Refused(problem)) if problem.status == 503 => {
                is_unsure |= problem.outcome != Some(Outcome::NotAccepted);
                reason = problem.title.to_string();
            }
            Err(error @ Error::NotSent { .. }) => reason = error.to_string(),
            Err(error @ Error::Unreachable { .. }) => {
                // The note may have arrived although no answer did.
                is_unsure = true;
                reason = error.to_string();
            }
            Err(error) => return Err(error),
        }
    }
    if is_unsure {
        let id = id.to_owned();
        return Err(Error::Unknown { id, reason });
    }
    Err(node.lost(reason))
}

fn encode<T: serde::Serialize>(value: &T) -> Result<String> {
    serde_json::to_string(value).map_err(|error| Error::Input(error.to_string()))
}

async fn explain(node: &Node, subject: &str, json: bool) -> Result<()> {
    let path = format!("/admin/v1/explain/{}", escape(subject));
    let text = node.get(&path).await?;
    let decisions: Vec<Decision> = parse(&text)?;
    if json {
        println!("{text}");
    } else {
        for decision in &decisions {
            print!("{}", print::explain(decision));
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
        Some(subject) => format!("/admin/v1/decisions?subject={}", escape(&subject)),
        None => "/admin/v1/decisions".to_owned(),
    };
    let mut response = node.follow(&path).await?;
    let mut buffer = Vec::new();
    while let Some(chunk) = response.next().await {
        let chunk = chunk.map_err(|error| node.lost(error))?;
        buffer.extend_from_slice(&chunk);
        while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = buffer.drain(..=end).collect();
            print_event(&String::from_utf8_lossy(&line), json)?;
        }
    }
    Err(node.lost("the node ended the stream"))
}

fn print_event(line: &str, json: bool) -> Result<()> {
    let Some(data) = line.trim_end().strip_prefix("data: ") else {
        return Ok(());
    };
    if json {
        println!("{data}");
        return Ok(());
    }
    let decision: Decision = parse(data)?;
    print!("{}", print::explain(&decision));
    Ok(())
}

/// Escapes what would end the path or the query.
fn escape(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for byte in text.bytes() {
        let is_plain = byte.is_ascii_alphanumeric() || b"-._~/:".contains(&byte);
        if is_plain {
            escaped.push(char::from(byte));
        } else {
            escaped.push_str(&format!("%{byte:02X}"));
        }
    }
    escaped
}
