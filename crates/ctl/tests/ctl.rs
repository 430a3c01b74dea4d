//! Runs jackdawctl against a node: output, exit codes, bad input and lost answers.

mod support;

use std::net::{Ipv4Addr, SocketAddr, TcpListener};

use rstest::rstest;
use support::{Deployment, OPERATOR_TOKEN, READER_TOKEN, proxy, write_file};

const FIRST_NOTE: &str = "\
id: first
summary: One model
models:
  add:
    - {name: tile-match, version: \"1\", vms_per_replica: 2, replicas: 1}
";

const SECOND_NOTE: &str = "\
base: 1
summary: Another version
models:
  change:
    - {name: tile-match, version: \"2\", vms_per_replica: 2, replicas: 1}
";

/// A command line with its exit code and the texts that it prints.
struct Case {
    args: &'static [&'static str],
    note: &'static str,
    token: &'static str,
    code: i32,
    prints: &'static [&'static str],
}

#[rstest]
#[case::status(Case {
    args: &["status"], note: "", token: READER_TOKEN, code: 0,
    prints: &["release in force  1 (first)", "platform contact", "ZONE", "east-a"],
})]
#[case::status_json(Case {
    args: &["status", "--json"], note: "", token: READER_TOKEN, code: 0,
    prints: &["\"platform_contact_age_ms\"", "\"in_force_everywhere\""],
})]
#[case::groups(Case {
    args: &["groups"], note: "", token: READER_TOKEN, code: 0,
    prints: &["GROUP", "MODEL", "WHOLE"],
})]
#[case::vms(Case {
    args: &["vms"], note: "", token: READER_TOKEN, code: 0, prints: &["VM", "REPORT"] })]
#[case::nodes(Case {
    args: &["nodes"], note: "", token: READER_TOKEN, code: 0, prints: &["node-1", "live"] })]
#[case::teams(Case {
    args: &["teams"], note: "", token: READER_TOKEN, code: 0, prints: &["TEAM", "WEIGHT"] })]
#[case::history(Case {
    args: &["history"], note: "", token: READER_TOKEN, code: 0, prints: &["first", "One model"] })]
#[case::explain_release(Case {
    args: &["explain", "release:1"], note: "", token: READER_TOKEN, code: 0,
    prints: &["catalogue in force on this node", "because", "saw", "against"],
})]
#[case::explain_unknown_subject(Case {
    args: &["explain", "group:none"], note: "", token: READER_TOKEN, code: 2,
    prints: &["no decision about group:none"],
})]
#[case::plan(Case {
    args: &["plan", "NOTE"], note: SECOND_NOTE, token: READER_TOKEN, code: 0,
    prints: &["revision in force: 1", "change", "tile-match", "version 2"],
})]
#[case::plan_of_an_outdated_note(Case {
    args: &["plan", "NOTE"], note: FIRST_NOTE, token: READER_TOKEN, code: 1,
    prints: &["written against revision 0, but 1 is in force"],
})]
#[case::apply(Case {
    args: &["apply", "NOTE"], note: SECOND_NOTE, token: OPERATOR_TOKEN, code: 0,
    prints: &["accepted at revision 2"],
})]
#[case::apply_again(Case {
    args: &["apply", "NOTE"], note: FIRST_NOTE, token: OPERATOR_TOKEN, code: 0,
    prints: &["note first accepted at revision 1 by an earlier attempt"],
})]
#[case::apply_an_outdated_note(Case {
    args: &["apply", "NOTE", "--id", "late"], note: FIRST_NOTE, token: OPERATOR_TOKEN, code: 1,
    prints: &["but 1 is in force", "accepted since the note's base", "first"],
})]
#[case::apply_without_permission(Case {
    args: &["apply", "NOTE"], note: SECOND_NOTE, token: READER_TOKEN, code: 1,
    prints: &["reading only"],
})]
#[case::unknown_token(Case {
    args: &["status"], note: "", token: "guess", code: 1, prints: &["bearer token"] })]
#[case::unknown_key(Case {
    args: &["plan", "NOTE"], note: "base: 1\nmodel: {}\n", token: READER_TOKEN, code: 2,
    prints: &["note.yaml:2: ", "model"],
})]
#[case::broken_yaml(Case {
    args: &["apply", "NOTE"], note: "base: [1\n", token: OPERATOR_TOKEN, code: 2,
    prints: &["note.yaml:1: "],
})]
#[case::missing_file(Case {
    args: &["apply", "/none/note.yaml"], note: "", token: OPERATOR_TOKEN, code: 2,
    prints: &["/none/note.yaml"],
})]
#[case::unknown_command(Case {
    args: &["fly"], note: "", token: READER_TOKEN, code: 2, prints: &["Usage"] })]
fn command_prints_and_exits_as_documented(#[case] case: Case) {
    let deployment = Deployment::start(FIRST_NOTE);
    let note = write_file("note.yaml", case.note);
    let args = case.args.iter().map(|arg| match *arg {
        "NOTE" => note.to_str().expect("path"),
        arg => arg,
    });
    let output = support::run_tool(deployment.operators_address(), case.token, args);
    assert_eq!(output.code, case.code, "{output:?}");
    for text in case.prints {
        assert!(
            output.text.contains(text),
            "{text:?} is missing in {output:?}"
        );
    }
}

#[test]
fn status_of_an_unreachable_node_exits_with_3() {
    // The port is free again after the listener is dropped, so that nothing listens on it.
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("port");
    let address: SocketAddr = listener.local_addr().expect("address");
    drop(listener);
    let output = support::run_tool(address, READER_TOKEN, ["status"].into_iter());
    assert_eq!(output.code, 3, "{output:?}");
}

#[test]
fn apply_whose_answer_is_lost_is_repeated_with_the_same_identity() {
    let deployment = Deployment::start(FIRST_NOTE);
    let address = proxy::start_losing_first_answer(deployment.operators_address());
    let note = write_file("lost.yaml", SECOND_NOTE);
    let args = ["apply", note.to_str().expect("path")];
    let output = support::run_tool(address, OPERATOR_TOKEN, args.into_iter());
    assert_eq!(output.code, 0, "{output:?}");
    assert!(
        output.text.contains("asking again with the same identity"),
        "{output:?}"
    );
    assert!(
        output
            .text
            .contains("accepted at revision 2 by an earlier attempt"),
        "{output:?}"
    );
    let history = support::run_tool(
        deployment.operators_address(),
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
    let deployment = Deployment::start(FIRST_NOTE);
    let mut watch =
        support::Watch::start(deployment.operators_address(), READER_TOKEN, "release:2");
    let note = write_file("watched.yaml", SECOND_NOTE);
    let args = ["apply", note.to_str().expect("path")];
    let output = support::run_tool(
        deployment.operators_address(),
        OPERATOR_TOKEN,
        args.into_iter(),
    );
    assert_eq!(output.code, 0, "{output:?}");
    let lines = watch.read_lines_until("    against  ");
    assert!(
        lines[0].contains("release:2: catalogue in force on this node"),
        "{lines:?}"
    );
    assert!(lines[1].starts_with("    because  "), "{lines:?}");
    assert!(lines[2].starts_with("    saw      "), "{lines:?}");
}
