//! Checks that valid settings are read and that every problem is reported with its line and path.

use jackdaw_core::units::Millis;
use jackdawstair::settings::{Role, Settings};
use rstest::rstest;

const VALID_SETTINGS: &str = "\
node: qc-east-a-1
region: qc-east
zone: qc-east-a
zones: [qc-east-a, qc-east-b]
callers: 127.0.0.1:7400
operators: 127.0.0.1:7401
peers: 127.0.0.1:7402
peer_token: peers-only
operator_tokens:
  - name: duty
    sha256: 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08
    role: write
platform:
  store: [127.0.0.1:2379]
  vms: 127.0.0.1:2380
timing:
  leader_lease: 9s
";

#[test]
fn valid_settings_keep_their_values_and_get_defaults() {
    let settings = Settings::parse(VALID_SETTINGS).expect("valid settings");
    assert_eq!(settings.node, "qc-east-a-1");
    assert_eq!(settings.operator_tokens[0].role, Role::Write);
    assert_eq!(settings.timing.leader_lease, Millis::from_secs(9));
    assert_eq!(settings.timing.probe_interval, Millis(500));
}

/// A change to the valid settings and the problems that it causes.
struct Case {
    from: &'static str,
    to: &'static str,
    problems: &'static [&'static str],
}

#[rstest]
#[case::unknown_key(Case {
    from: "region: qc-east\n",
    to: "region: qc-east\nregoin: x\n",
    problems: &["line 3: regoin: unknown key"],
})]
#[case::missing_key(Case {
    from: "peer_token: peers-only\n",
    to: "",
    problems: &["line 1: peer_token: is missing"],
})]
#[case::unit_missing(Case {
    from: "leader_lease: 9s",
    to: "leader_lease: 9",
    problems: &["line 17: timing.leader_lease: expected a span of time"],
})]
#[case::unit_unknown(Case {
    from: "leader_lease: 9s",
    to: "leader_lease: 9 parsecs",
    problems: &["line 17: timing.leader_lease: expected a span of time"],
})]
#[case::retention_too_short(Case {
    from: "leader_lease: 9s",
    to: "key_retention: 9min",
    problems: &["line 17: timing.key_retention: must be at least 60 times as long"],
})]
#[case::grace_period_too_short(Case {
    from: "leader_lease: 9s",
    to: "grace_period: 4s",
    problems: &["line 17: timing.grace_period: must be longer than 4000 ms"],
})]
#[case::ports_overlap(Case {
    from: "operators: 127.0.0.1:7401",
    to: "operators: 0.0.0.0:7400",
    problems: &["line 6: operators: overlaps with callers at 127.0.0.1:7400"],
})]
#[case::zone_not_listed(Case {
    from: "zones: [qc-east-a, qc-east-b]",
    to: "zones: [qc-east-b]",
    problems: &["line 4: zones: does not list this node's zone qc-east-a"],
})]
#[case::address_without_port(Case {
    from: "vms: 127.0.0.1:2380",
    to: "vms: vm-list.example",
    problems: &["line 15: platform.vms: expected an IP number with a port"],
})]
#[case::role_unknown(Case {
    from: "role: write",
    to: "role: root",
    problems: &["line 12: operator_tokens[0].role: expected read or write"],
})]
#[case::section_is_text(Case {
    from: "timing:\n  leader_lease: 9s",
    to: "timing: fast",
    problems: &["line 16: timing: expected a section, found text"],
})]
#[case::lease_too_short(Case {
    from: "leader_lease: 9s",
    to: "leader_lease: 1s",
    problems: &["line 17: timing.leader_lease: must be longer than"],
})]
#[case::several_at_once(Case {
    from: "peers: 127.0.0.1:7402\npeer_token: peers-only\n",
    to: "peers: 127.0.0.1:7400\npeer_token: peers-only\nworkers: 0\ncolour: blue\n",
    problems: &[
        "line 7: peers: overlaps with callers",
        "line 9: workers: must be at least 1",
        "line 10: colour: unknown key",
    ],
})]
#[case::not_yaml(Case {
    from: "zones: [qc-east-a, qc-east-b]",
    to: "zones: [qc-east-a, qc-east-b",
    problems: &["line "],
})]
fn invalid_settings_are_reported_with_line_and_path(#[case] case: Case) {
    let yaml = VALID_SETTINGS.replace(case.from, case.to);
    assert_ne!(yaml, VALID_SETTINGS, "the case changes the settings");
    let problems = Settings::parse(&yaml).expect_err("invalid settings");
    let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
    assert_eq!(lines.len(), case.problems.len(), "{lines:#?}");
    for (line, expected) in lines.iter().zip(case.problems) {
        assert!(
            line.starts_with(expected),
            "{line} does not start with {expected}"
        );
    }
}
