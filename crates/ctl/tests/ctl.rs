//! The tool against a running node: output, exit codes, bad input and lost answers.

mod support;

use std::net::{Ipv4Addr, SocketAddr, TcpListener};

use rstest::rstest;
use support::{Deployment, OPERATOR_TOKEN, READER_TOKEN, file, proxy};

const FIRST: &str = "\
id: first
summary: One model
models:
  add:
    - {name: tile-match, version: \"1\", vms_per_replica: 2, replicas: 1}
";

const SECOND: &str = "\
base: 1
summary: Another version
models:
  change:
    - {name: tile-match, version: \"2\", vms_per_replica: 2, replicas: 1}
";

/// A command with what it prints and its exit code.
struct Case {
    words: &'static [&'static str],
    note: &'static str,
    token: &'static str,
    code: i32,
    prints: &'static [&'static str],
}

#[rstest]
#[case::status(Case {
    words: &["status"], note: "", token: READER_TOKEN, code: 0,
    prints: &["release in force  1 (first)", "platform contact", "ZONE", "east-a"],
})]
#[case::status_json(Case {
    words: &["status", "--json"], note: "", token: READER_TOKEN, code: 0,
    prints: &["\"platform_contact_age_ms\"", "\"in_force_everywhere\""],
})]
#[case::groups(Case {
    words: &["groups"], note: "", token: READER_TOKEN, code: 0,
    prints: &["GROUP", "MODEL", "WHOLE"],
})]
#[case::vms(Case {
    words: &["vms"], note: "", token: READER_TOKEN, code: 0, prints: &["VM", "REPORT"] })]
#[case::nodes(Case {
    words: &["nodes"], note: "", token: READER_TOKEN, code: 0, prints: &["node-1", "live"] })]
#[case::teams(Case {
    words: &["teams"], note: "", token: READER_TOKEN, code: 0, prints: &["TEAM", "WEIGHT"] })]
#[case::history(Case {
    words: &["history"], note: "", token: READER_TOKEN, code: 0, prints: &["first", "One model"] })]
#[case::explain_release(Case {
    words: &["explain", "release:1"], note: "", token: READER_TOKEN, code: 0,
    prints: &["catalogue in force on this node", "because", "saw", "against"],
})]
#[case::explain_unknown_subject(Case {
    words: &["explain", "group:none"], note: "", token: READER_TOKEN, code: 2,
    prints: &["no decision about group:none"],
})]
#[case::plan(Case {
    words: &["plan", "NOTE"], note: SECOND, token: READER_TOKEN, code: 0,
    prints: &["revision in force: 1", "change", "tile-match", "version 2"],
})]
#[case::plan_of_an_outdated_note(Case {
    words: &["plan", "NOTE"], note: FIRST, token: READER_TOKEN, code: 1,
    prints: &["written against revision 0, but 1 is in force"],
})]
#[case::apply(Case {
    words: &["apply", "NOTE"], note: SECOND, token: OPERATOR_TOKEN, code: 0,
    prints: &["accepted at revision 2"],
})]
#[case::apply_again(Case {
    words: &["apply", "NOTE"], note: FIRST, token: OPERATOR_TOKEN, code: 0,
    prints: &["note first accepted at revision 1 by an earlier attempt"],
})]
#[case::apply_an_outdated_note(Case {
    words: &["apply", "NOTE", "--id", "late"], note: FIRST, token: OPERATOR_TOKEN, code: 1,
    prints: &["but 1 is in force", "accepted since the note's base", "first"],
})]
#[case::apply_without_permission(Case {
    words: &["apply", "NOTE"], note: SECOND, token: READER_TOKEN, code: 1,
    prints: &["reading only"],
})]
#[case::unknown_token(Case {
    words: &["status"], note: "", token: "guess", code: 1, prints: &["bearer token"] })]
#[case::unknown_key(Case {
    words: &["plan", "NOTE"], note: "base: 1\nmodel: {}\n", token: READER_TOKEN, code: 2,
    prints: &["note.yaml:2: ", "model"],
})]
#[case::broken_yaml(Case {
    words: &["apply", "NOTE"], note: "base: [1\n", token: OPERATOR_TOKEN, code: 2,
    prints: &["note.yaml:1: "],
})]
#[case::missing_file(Case {
    words: &["apply", "/none/note.yaml"], note: "", token: OPERATOR_TOKEN, code: 2,
    prints: &["/none/note.yaml"],
})]
#[case::unknown_command(Case {
    words: &["fly"], note: "", token: READER_TOKEN, code: 2, prints: &["Usage"] })]
fn command_prints_and_exits_as_documented(#[case] case: Case) {
    let deployment = Deployment::start(FIRST);
    let note = file("note.yaml", case.note);
    let words = case.words.iter().map(|word| match *word {
        "NOTE" => note.to_str().expect("path"),
        word => word,
    });
    let run = support::run(deployment.operators(), case.token, words);
    assert_eq!(run.code, case.code, "{run:?}");
    for text in case.prints {
        assert!(run.text.contains(text), "{text:?} is missing in {run:?}");
    }
}

#[test]
fn unreachable_node_has_its_own_exit_code() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("port");
    let address: SocketAddr = listener.local_addr().expect("address");
    drop(listener);
    let run = support::run(address, READER_TOKEN, ["status"].into_iter());
    assert_eq!(run.code, 3, "{run:?}");
}

#[test]
fn lost_answer_is_asked_for_again_with_the_same_identity() {
    let deployment = Deployment::start(FIRST);
    let address = proxy::losing_first_answer(deployment.operators());
    let note = file("lost.yaml", SECOND);
    let words = ["apply", note.to_str().expect("path")];
    let run = support::run(address, OPERATOR_TOKEN, words.into_iter());
    assert_eq!(run.code, 0, "{run:?}");
    assert!(
        run.text.contains("asking again with the same identity"),
        "{run:?}"
    );
    assert!(
        run.text
            .contains("accepted at revision 2 by an earlier attempt"),
        "{run:?}"
    );
    let history = support::run(
        deployment.operators(),
        READER_TOKEN,
        ["history"].into_iter(),
    );
    assert_eq!(
        history.text.matches("Another version").count(),
        1,
        "{history:?}"
    );
}

#[test]
fn watch_explains_decisions_as_they_happen() {
    let deployment = Deployment::start(FIRST);
    let mut watch = support::Watch::start(deployment.operators(), READER_TOKEN, "release:2");
    let note = file("watched.yaml", SECOND);
    let words = ["apply", note.to_str().expect("path")];
    let run = support::run(deployment.operators(), OPERATOR_TOKEN, words.into_iter());
    assert_eq!(run.code, 0, "{run:?}");
    let lines = watch.lines_until("    against  ");
    assert!(
        lines[0].contains("release:2: catalogue in force on this node"),
        "{lines:?}"
    );
    assert!(lines[1].starts_with("    because  "), "{lines:?}");
    assert!(lines[2].starts_with("    saw      "), "{lines:?}");
}
