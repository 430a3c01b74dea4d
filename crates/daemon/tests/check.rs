//! `jackdawd check` and wrong command lines.

use std::fs;
use std::process::Command;

use rstest::rstest;

/// A settings file and what the check says of it.
struct Case {
    settings: &'static str,
    code: i32,
    said: &'static [&'static str],
}

const GOOD: &str = include_str!("../../../examples/laurentide/node-qc-east-a-1.yaml");

#[rstest]
#[case::good(Case { settings: GOOD, code: 0, said: &[": fine"] })]
#[case::empty(Case { settings: "", code: 2, said: &["expected a section"] })]
#[case::all_at_once(Case {
    settings: "node: a\nzones: [b]\ncolour: blue\n",
    code: 2,
    said: &[
        "line 1: region: is missing",
        "line 1: zone: is missing",
        "line 1: platform: is missing",
        "line 3: colour: unknown key",
    ],
})]
fn check_reports_every_problem(#[case] case: Case) {
    let name = format!(
        "jackdaw-check-{}-{}.yaml",
        std::process::id(),
        case.settings.len()
    );
    let file = std::env::temp_dir().join(name);
    fs::write(&file, case.settings).expect("written");
    let output = Command::new(env!("CARGO_BIN_EXE_jackdawd"))
        .arg("check")
        .arg(&file)
        .output()
        .expect("runs");
    fs::remove_file(&file).expect("removed");
    let said = String::from_utf8_lossy(&output.stdout) + String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(case.code), "{said}");
    for expected in case.said {
        assert!(said.contains(expected), "{said} does not say {expected}");
    }
}

#[rstest]
#[case::no_command(&[])]
#[case::unknown_command(&["fly", "x.yaml"])]
#[case::unknown_option(&["run", "x.yaml", "--fast"])]
#[case::missing_file(&["check", "no-such-file.yaml"])]
fn wrong_usage_ends_with_2(#[case] words: &[&str]) {
    let output = Command::new(env!("CARGO_BIN_EXE_jackdawd"))
        .args(words)
        .output()
        .expect("runs");
    assert_eq!(output.status.code(), Some(2));
    assert!(!output.stderr.is_empty());
}
