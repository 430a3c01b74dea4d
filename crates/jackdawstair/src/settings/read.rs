//! Reads the settings' sections from the tree.

use compact_str::{CompactString, format_compact};
use slog::Level;

use super::reader::{Problem, Problems, Section, address, digest, flag, millis, number, text};
use super::tree::{Item, Value};
use super::{Operator, Platform, Role, Settings, Timing, Weights};

/// Number of worker threads if the settings name none.
const DEFAULT_WORKERS: u64 = 2;

/// Reads all settings; a missing value leaves no settings but all problems.
pub(super) fn settings(root: &Item) -> (Option<Settings>, Vec<Problem>) {
    let mut problems = Problems::default();
    let settings = read_root(root, &mut problems);
    (settings, problems.0)
}

fn read_root(root: &Item, problems: &mut Problems) -> Option<Settings> {
    let mut section = Section::open(root, "", problems)?;
    let node = section.read("node", text, problems);
    let region = section.read("region", text, problems);
    let zone = section.read("zone", text, problems);
    let zones = section.list("zones", text, problems);
    let callers = section.read("callers", address, problems);
    let operators = section.read("operators", address, problems);
    let peers = section.read("peers", address, problems);
    let seeds = section.list("seeds", address, problems);
    let peer_token = section.read("peer_token", text, problems);
    let operator_tokens = read_operators(&mut section, problems);
    let platform = section
        .required("platform", problems)
        .and_then(|item| read_platform(item, problems));
    let workers = section.read_or("workers", number, DEFAULT_WORKERS, problems);
    let log_level = section.read_or("log_level", level, Level::Info, problems);
    let engines_check_fence = section.read_or("engines_check_fence", flag, false, problems);
    let weights = read_weights(&mut section, problems);
    let timing = read_timing(&mut section, problems);
    section.finish(problems);
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
    let name = section.read("name", text, problems);
    let token = section.read("sha256", digest, problems);
    let role = section.read("role", role, problems);
    section.finish(problems);
    Some(Operator {
        name: name?,
        token: token?,
        role: role?,
    })
}

fn read_platform(item: &Item, problems: &mut Problems) -> Option<Platform> {
    let mut section = Section::open(item, "platform", problems)?;
    section.required("store", problems);
    let store = section.list("store", address, problems);
    let vms = section.read("vms", address, problems);
    section.finish(problems);
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
        downtime: section.read_or("downtime", number, default.downtime, problems),
        stranded: section.read_or("stranded", number, default.stranded, problems),
    };
    section.finish(problems);
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
    let mut span = |key, default| section.read_or(key, millis, default, problems);
    let timing = Timing {
        probe_interval: span("probe_interval", default.probe_interval),
        report_bound: span("report_bound", default.report_bound),
        list_interval: span("list_interval", default.list_interval),
        plan_interval: span("plan_interval", default.plan_interval),
        leader_lease: span("leader_lease", default.leader_lease),
        clock_margin: span("clock_margin", default.clock_margin),
        order_timeout: span("order_timeout", default.order_timeout),
        spread_interval: span("spread_interval", default.spread_interval),
        dispatch_window: span("dispatch_window", default.dispatch_window),
        key_retention: span("key_retention", default.key_retention),
    };
    section.finish(problems);
    timing
}

fn level(value: &Value) -> Result<Level, CompactString> {
    let text = text(value)?;
    text.parse()
        .map_err(|()| "expected one of critical, error, warning, info, debug, trace".into())
}

fn role(value: &Value) -> Result<Role, CompactString> {
    match text(value)?.as_str() {
        "read" => Ok(Role::Read),
        "write" => Ok(Role::Write),
        other => Err(format_compact!("expected read or write, found \"{other}\"")),
    }
}
