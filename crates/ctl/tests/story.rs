//! Failed requests are explained from log lines alone.

use std::process::Command;

use rstest::rstest;

const FIRST_NODE: &str = r#"
12.2 node-a {"msg":"attempt failed","level":"INFO","ts":"2026-01-01T00:00:01.500Z","node":"node-a","request":"r1","server":"s1","group":"large.7.1","fault":"silent","step":"answering","detail":"the stream stopped","verdict":"Elsewhere"}
12.4 node-a {"msg":"request refused","level":"INFO","ts":"2026-01-01T00:00:01.700Z","node":"node-a","request":"r2","reason":"overloaded","may_have_run":false,"retry_after_ms":500,"detail":"the first event would take 5000 ms of 8000 ms"}
no json at all
12.6 node-a {"msg":"request answered","level":"INFO","ts":"2026-01-01T00:00:02.900Z","node":"node-a","request":"r1","status":200,"failed_attempts":1}
12.7 node-a {"msg":"attempt failed","level":"INFO","ts":"2026-01-01T00:00:03.000Z","node":"node-a","request":"r3","server":"s9","fault":"closed","step":"written","detail":"no whole answer: connection reset","verdict":"GiveUp(MayHaveRun)"}
12.7 node-a {"msg":"request refused","level":"INFO","ts":"2026-01-01T00:00:03.001Z","node":"node-a","request":"r3","reason":"broken","may_have_run":true,"detail":"the call may have run and may not be repeated: no whole answer"}
"#;
const SECOND_NODE: &str = r#"
12.1 node-b {"msg":"order given","level":"INFO","ts":"2026-01-01T00:00:01.100Z","node":"node-b","server":"s1","command":"leave","target":"Leave { group: \"large.7.1\", epoch: 4 }","cause":"the group has lost a member","outcome":"Done"}
"#;

struct Case {
    subject: &'static str,
    prints: &'static [&'static str],
    cause: &'static str,
}

#[rstest]
#[case::resumed(Case {
    subject: "r1", prints: &["attempt failed", "fault=silent", "request answered"],
    cause: "cause: request answered",
})]
#[case::refused_under_load(Case {
    subject: "r2", prints: &["retry_after_ms=500"],
    cause: "cause: request refused: overloaded: the first event would take",
})]
#[case::ended_unknown(Case {
    subject: "r3", prints: &["step=written", "may_have_run=true"],
    cause: "cause: request refused: broken: the call may have run",
})]
#[case::a_group(Case {
    subject: "large.7.1", prints: &["order given", "the group has lost a member", "attempt failed"],
    cause: "",
})]
#[case::nobody(Case { subject: "r9", prints: &["no line names it"], cause: "" })]
fn a_subject_is_explained_from_logs(#[case] case: Case) {
    let folder = std::env::temp_dir().join(format!(
        "jackdawctl-story-{}-{}",
        std::process::id(),
        case.subject
    ));
    std::fs::create_dir_all(&folder).expect("a folder can be made");
    let (first, second) = (folder.join("a.log"), folder.join("b.log"));
    std::fs::write(&first, FIRST_NODE).expect("a file can be written");
    std::fs::write(&second, SECOND_NODE).expect("a file can be written");
    let output = Command::new(env!("CARGO_BIN_EXE_jackdawctl"))
        .args(["explain", "--log"])
        .arg(&first)
        .arg("--log")
        .arg(&second)
        .arg(case.subject)
        .output()
        .expect("the tool runs");
    std::fs::remove_dir_all(&folder).expect("the folder is the test's own");
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
