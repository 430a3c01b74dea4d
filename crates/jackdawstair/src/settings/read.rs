//! Reads the sections of the settings from a parsed document.

use compact_str::{CompactString, format_compact};
use slog::Level;

use super::reader::{
    Problem, Problems, Section, parse_address, parse_bool, parse_digest, parse_millis,
    parse_number, parse_text,
};
use super::tree::{Item, Value};
use super::{Operator, Platform, Role, Settings, Timing, Weights};

/// Number of worker threads if the settings state none.
const DEFAULT_WORKERS: u64 = 2;

/// Reads all settings and collects every problem. Returns no settings if a required value is
/// missing or invalid.
pub(super) fn read_settings(root: &Item) -> (Option<Settings>, Vec<Problem>) {
    let mut problems = Problems::default();
    let settings = read_root(root, &mut problems);
    (settings, problems.0)
}

fn read_root(root: &Item, problems: &mut Problems) -> Option<Settings> {
    let mut section = Section::open(root, "", problems)?;
    let node = section.read("node", parse_text, problems);
    let region = section.read("region", parse_text, problems);
    let zone = section.read("zone", parse_text, problems);
    let zones = section.list("zones", parse_text, problems);
    let callers = section.read("callers", parse_address, problems);
    let operators = section.read("operators", parse_address, problems);
    let peers = section.read("peers", parse_address, problems);
    let seeds = section.list("seeds", parse_address, problems);
    let peer_token = section.read("peer_token", parse_text, problems);
    let operator_tokens = read_operators(&mut section, problems);
    let platform = section
        .required("platform", problems)
        .and_then(|item| read_platform(item, problems));
    let workers = section.read_or("workers", parse_number, DEFAULT_WORKERS, problems);
    let log_level = section.read_or("log_level", parse_level, Level::Info, problems);
    let engines_check_fence = section.read_or("engines_check_fence", parse_bool, false, problems);
    let weights = read_weights(&mut section, problems);
    let timing = read_timing(&mut section, problems);
    section.reject_unknown_keys(problems);
    Some(Settings {
        node: node?,
        region: region?,
        zone: zone?,
        zones,
        callers: callers?,
        operators: operators?,
        peers: peers?,
        seeds,
        peer_token: peer_token?,
        operator_tokens,
        platform: platform?,
        workers: usize::try_from(workers).unwrap_or(usize::MAX),
        log_level,
        engines_check_fence,
        weights,
        timing,
    })
}

fn read_operators(section: &mut Section<'_>, problems: &mut Problems) -> Vec<Operator> {
    let path = section.path("operator_tokens");
    let mut operators = Vec::new();
    for (index, item) in section
        .items("operator_tokens", problems)
        .iter()
        .enumerate()
    {
        let path = format_compact!("{path}[{index}]");
        operators.extend(read_operator(item, &path, problems));
    }
    operators
}

fn read_operator(item: &Item, path: &str, problems: &mut Problems) -> Option<Operator> {
    let mut section = Section::open(item, path, problems)?;
    let name = section.read("name", parse_text, problems);
    let token = section.read("sha256", parse_digest, problems);
    let role = section.read("role", parse_role, problems);
    section.reject_unknown_keys(problems);
    Some(Operator {
        name: name?,
        token: token?,
        role: role?,
    })
}

fn read_platform(item: &Item, problems: &mut Problems) -> Option<Platform> {
    let mut section = Section::open(item, "platform", problems)?;
    section.required("store", problems);
    let store = section.list("store", parse_address, problems);
    let vms = section.read("vms", parse_address, problems);
    section.reject_unknown_keys(problems);
    Some(Platform { store, vms: vms? })
}

fn read_weights(section: &mut Section<'_>, problems: &mut Problems) -> Weights {
    let default = Weights {
        downtime: 1,
        stranded: 1,
    };
    let Some(item) = section.optional("weights") else {
        return default;
    };
    let Some(mut section) = Section::open(item, "weights", problems) else {
        return default;
    };
    let weights = Weights {
        downtime: section.read_or("downtime", parse_number, default.downtime, problems),
        stranded: section.read_or("stranded", parse_number, default.stranded, problems),
    };
    section.reject_unknown_keys(problems);
    weights
}

fn read_timing(section: &mut Section<'_>, problems: &mut Problems) -> Timing {
    let default = Timing::default();
    let Some(item) = section.optional("timing") else {
        return default;
    };
    let Some(mut section) = Section::open(item, "timing", problems) else {
        return default;
    };
    let mut read_duration = |key, default| section.read_or(key, parse_millis, default, problems);
    let timing = Timing {
        probe_interval: read_duration("probe_interval", default.probe_interval),
        report_bound: read_duration("report_bound", default.report_bound),
        list_interval: read_duration("list_interval", default.list_interval),
        plan_interval: read_duration("plan_interval", default.plan_interval),
        leader_lease: read_duration("leader_lease", default.leader_lease),
        clock_margin: read_duration("clock_margin", default.clock_margin),
        order_timeout: read_duration("order_timeout", default.order_timeout),
        spread_interval: read_duration("spread_interval", default.spread_interval),
        dispatch_window: read_duration("dispatch_window", default.dispatch_window),
        key_retention: read_duration("key_retention", default.key_retention),
        grace_period: read_duration("grace_period", default.grace_period),
    };
    section.reject_unknown_keys(problems);
    timing
}

fn parse_level(value: &Value) -> Result<Level, CompactString> {
    let text = parse_text(value)?;
    text.parse()
        .map_err(|()| "expected one of critical, error, warning, info, debug, trace".into())
}

fn parse_role(value: &Value) -> Result<Role, CompactString> {
    match parse_text(value)?.as_str() {
        "read" => Ok(Role::Read),
        "write" => Ok(Role::Write),
        other => Err(format_compact!("expected read or write, found \"{other}\"")),
    }
}
