//! Runs `jackdawctl explain --log`, which explains subjects from log files without a node.

use std::process::Command;

use rstest::rstest;

const FIRST_NODE_LOG: &str = r#"
12.2 node-a {"msg":"attempt failed","level":"INFO","ts":"2026-01-01T00:00:01.500Z","node":"node-a","request":"r1","server":"s1","group":"large.7.1","fault":"silent","step":"answering","detail":"the stream stopped","verdict":"Elsewhere"}
12.4 node-a {"msg":"request refused","level":"INFO","ts":"2026-01-01T00:00:01.700Z","node":"node-a","request":"r2","reason":"overloaded","may_have_run":false,"retry_after_ms":500,"detail":"the first event would take 5000 ms of 8000 ms"}
no json at all
12.6 node-a {"msg":"request answered","level":"INFO","ts":"2026-01-01T00:00:02.900Z","node":"node-a","request":"r1","status":200,"failed_attempts":1}
12.7 node-a {"msg":"attempt failed","level":"INFO","ts":"2026-01-01T00:00:03.000Z","node":"node-a","request":"r3","server":"s9","fault":"closed","step":"written","detail":"no whole answer: connection reset","verdict":"GiveUp(MayHaveRun)"}
12.7 node-a {"msg":"request refused","level":"INFO","ts":"2026-01-01T00:00:03.001Z","node":"node-a","request":"r3","reason":"broken","may_have_run":true,"detail":"the call may have run and may not be repeated: no whole answer"}
"#;
const SECOND_NODE_LOG: &str = r#"
12.1 node-b {"msg":"order given","level":"INFO","ts":"2026-01-01T00:00:01.100Z","node":"node-b","server":"s1","command":"leave","target":"Leave { group: \"large.7.1\", epoch: 4 }","cause":"the group has lost a member","outcome":"Done"}
"#;

/// A subject with the texts that are printed about it.
struct Case {
    subject: &'static str,
    prints: &'static [&'static str],
    cause: &'static str,
}

#[rstest]
#[case::resumed_request(Case {
    subject: "r1", prints: &["attempt failed", "fault=silent", "request answered"],
    cause: "cause: request answered",
})]
#[case::request_refused_under_load(Case {
    subject: "r2", prints: &["retry_after_ms=500"],
    cause: "cause: request refused: overloaded: the first event would take",
})]
#[case::request_with_unknown_outcome(Case {
    subject: "r3", prints: &["step=written", "may_have_run=true"],
    cause: "cause: request refused: broken: the call may have run",
})]
#[case::group(Case {
    subject: "large.7.1", prints: &["order given", "the group has lost a member", "attempt failed"],
    cause: "",
})]
#[case::unknown_subject(Case { subject: "r9", prints: &["no line names it"], cause: "" })]
fn explain_with_logs_prints_the_lines_and_the_cause_of_a_subject(#[case] case: Case) {
    let directory = std::env::temp_dir().join(format!(
        "jackdawctl-story-{}-{}",
        std::process::id(),
        case.subject
    ));
    std::fs::create_dir_all(&directory).expect("a folder can be made");
    let (first, second) = (directory.join("a.log"), directory.join("b.log"));
    std::fs::write(&first, FIRST_NODE_LOG).expect("a file can be written");
    std::fs::write(&second, SECOND_NODE_LOG).expect("a file can be written");
    let output = Command::new(env!("CARGO_BIN_EXE_jackdawctl"))
        .args(["explain", "--log"])
        .arg(&first)
        .arg("--log")
        .arg(&second)
        .arg(case.subject)
        .output()
        .expect("the tool runs");
    std::fs::remove_dir_all(&directory).expect("the folder is the test's own");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(output.status.success(), "{text}");
    for part in case.prints {
        assert!(
            text.contains(part),
            "{}: {part} is not in {text}",
            case.subject
        );
    }
    assert!(text.contains(case.cause), "{}: {text}", case.subject);
}
