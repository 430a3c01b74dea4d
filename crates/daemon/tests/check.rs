//! `jackdawd check`, and command lines that are invalid.

use std::fs;
use std::process::Command;

use rstest::rstest;

/// A settings file, with the exit code and the output of its check.
struct Case {
    settings: &'static str,
    exit_code: i32,
    printed: &'static [&'static str],
}

const VALID: &str = include_str!("../../../examples/laurentide/node-qc-east-a-1.yaml");

#[rstest]
#[case::valid(Case { settings: VALID, exit_code: 0, printed: &[": fine"] })]
#[case::empty(Case { settings: "", exit_code: 2, printed: &["expected a section"] })]
#[case::several_problems(Case {
    settings: "node: a\nzones: [b]\ncolour: blue\n",
    exit_code: 2,
    printed: &[
        "line 1: region: is missing",
        "line 1: zone: is missing",
        "line 1: platform: is missing",
        "line 3: colour: unknown key",
    ],
})]
fn check_prints_every_problem_of_the_settings(#[case] case: Case) {
    let name = format!(
        "jackdaw-check-{}-{}.yaml",
        std::process::id(),
        case.settings.len()
    );
    let file = std::env::temp_dir().join(name);
    fs::write(&file, case.settings).expect("the settings file is written");
    let output = Command::new(env!("CARGO_BIN_EXE_jackdawd"))
        .arg("check")
        .arg(&file)
        .output()
        .expect("jackdawd runs");
    fs::remove_file(&file).expect("the settings file is removed");
    let printed = String::from_utf8_lossy(&output.stdout) + String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(case.exit_code), "{printed}");
    for expected in case.printed {
        assert!(
            printed.contains(expected),
            "{printed} does not contain {expected}"
        );
    }
}

#[rstest]
#[case::no_command(&[])]
#[case::unknown_command(&["fly", "x.yaml"])]
#[case::unknown_option(&["run", "x.yaml", "--fast"])]
#[case::missing_file(&["check", "no-such-file.yaml"])]
fn invalid_command_line_exits_with_code_2(#[case] arguments: &[&str]) {
    let output = Command::new(env!("CARGO_BIN_EXE_jackdawd"))
        .args(arguments)
        .output()
        .expect("jackdawd runs");
    assert_eq!(output.status.code(), Some(2));
    assert!(!output.stderr.is_empty());
}
