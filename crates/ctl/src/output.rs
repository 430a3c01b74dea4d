//! Formats answers of nodes as text for people.

use compact_str::CompactString;
use jackdawstair::control::admin::view;
use jackdawstair::core::decision::Decision;
use jackdawstair::core::inventory;
use jackdawstair::core::placement;
use jackdawstair::core::units::{Millis, Revision};
use jackdawstair::policy::release::Record;

use crate::table::Table;

const MILLIS_PER_SECOND: u64 = 1_000;
const SECONDS_PER_MINUTE: u64 = 60;
const SECONDS_PER_HOUR: u64 = 3_600;
const SECONDS_PER_DAY: u64 = 86_400;

/// Formats a duration in whole hours, minutes, seconds or milliseconds, rounded down.
pub(crate) fn format_duration(duration: Millis) -> String {
    let seconds = duration.0 / MILLIS_PER_SECOND;
    match seconds {
        0 => format!("{} ms", duration.0),
        1..SECONDS_PER_MINUTE => format!("{seconds} s"),
        SECONDS_PER_MINUTE..SECONDS_PER_HOUR => format!("{} min", seconds / SECONDS_PER_MINUTE),
        _ => format!("{} h", seconds / SECONDS_PER_HOUR),
    }
}

/// Formats an age, or `never` without one.
fn format_age(age: Option<Millis>) -> String {
    age.map_or_else(|| "never".to_owned(), format_duration)
}

fn format_yes_no(value: bool) -> String {
    let text = if value { "yes" } else { "no" };
    text.to_owned()
}

/// Formats the time of day in UTC.
fn format_time_of_day(unix_ms: u64) -> String {
    let seconds = unix_ms / MILLIS_PER_SECOND % SECONDS_PER_DAY;
    let minutes = seconds / SECONDS_PER_MINUTE;
    format!(
        "{:02}:{:02}:{:02}.{:03}Z",
        minutes / 60,
        minutes % 60,
        seconds % SECONDS_PER_MINUTE,
        unix_ms % MILLIS_PER_SECOND
    )
}

/// Formats a node's view of the fleet.
pub(crate) fn format_status(status: &view::Status) -> String {
    let release = &status.release;
    let source = release.source.as_ref().map_or_else(
        || "none yet".to_owned(),
        |source| format!("{source}, {} ago", format_age(release.held_for_ms)),
    );
    let mut text = format!(
        "node              {} in {} ({})\n\
         takes requests    {}\n\
         release in force  {} ({})\n\
         learnt from       {source}\n\
         platform contact  {}\n\
         in force in all zones  {}\n\
         groups serving    {} of {}\n\
         stranded VMs      {}\n",
        status.node,
        status.zone,
        status.region,
        format_yes_no(status.ready),
        release.revision,
        release.note,
        release.platform_contact_age_ms.map_or_else(
            || "never".to_owned(),
            |age| format!("{} ago", format_duration(age))
        ),
        format_yes_no(status.in_force_everywhere),
        status.groups_serving,
        status.groups_placed,
        status.vms_stranded,
    );
    if let Some(revision) = release.platform_outdated_at {
        text.push_str(&format!(
            "the platform answers with the older revision {revision}\n"
        ));
    }
    if status.isolated {
        text.push_str("this node hears half of its zone's nodes or fewer\n");
    }
    text.push('\n');
    text.push_str(&format_zones(&status.zones));
    text
}

fn format_zones(zones: &[view::Zone]) -> String {
    let mut table = Table::new(&["ZONE", "LIVE NODES", "REVISIONS", "TOLD"]);
    for zone in zones {
        table.add_row(vec![
            zone.zone.to_string(),
            zone.live.to_string(),
            format_revisions(zone.lowest, zone.highest),
            format!("{} ago", format_duration(zone.age_ms)),
        ]);
    }
    table.to_string()
}

fn format_revisions(lowest: Revision, highest: Revision) -> String {
    if lowest == highest {
        return lowest.to_string();
    }
    format!("{lowest} to {highest}")
}

/// Formats a table of replica groups. An exclamation mark follows a member that is not present.
pub(crate) fn format_groups(groups: &[view::Group]) -> String {
    let mut table = Table::new(&[
        "GROUP", "GEN", "MODEL", "VERSION", "STATE", "WHOLE", "DOMAIN", "MEMBERS", "SPARES",
    ]);
    for group in groups {
        let state = match group.state {
            placement::State::Active => "active",
            placement::State::Draining => "draining",
        };
        let members: Vec<String> = group
            .members
            .iter()
            .map(|member| {
                let mark = if member.present { "" } else { "!" };
                format!("{}{mark}", member.vm)
            })
            .collect();
        table.add_row(vec![
            group.name.to_string(),
            group.generation.to_string(),
            group.model.to_string(),
            group.version.to_string(),
            state.to_owned(),
            format_yes_no(group.whole),
            group.domain.to_string(),
            members.join(" "),
            group.spares.join(" "),
        ]);
    }
    table.to_string()
}

/// Formats a table of VMs.
pub(crate) fn format_vms(vms: &[view::Vm]) -> String {
    let mut table = Table::new(&["VM", "ZONE", "DOMAIN", "SERVES", "STATE", "GROUP", "REPORT"]);
    for vm in vms {
        let state = match vm.state {
            inventory::State::Live => "live",
            inventory::State::Leaving => "leaving",
        };
        let placeholder = || CompactString::const_new("-");
        table.add_row(vec![
            vm.name.to_string(),
            vm.zone.to_string(),
            vm.domain.to_string(),
            vm.service
                .clone()
                .unwrap_or_else(|| "models".into())
                .to_string(),
            state.to_owned(),
            vm.group.clone().unwrap_or_else(placeholder).to_string(),
            format_age(vm.report_age_ms),
        ]);
    }
    table.to_string()
}

/// Formats a table of nodes.
pub(crate) fn format_nodes(nodes: &[view::Node]) -> String {
    let mut table = Table::new(&["NODE", "ZONE", "PEERS' PORT", "STATE", "HEARD", "REVISION"]);
    for node in nodes {
        let presence = match node.presence {
            view::Presence::Live => "live",
            view::Presence::Suspect => "suspect",
            view::Presence::Removed => "removed",
            view::Presence::Listed => "listed",
        };
        let placeholder = || "-".to_owned();
        table.add_row(vec![
            node.name.to_string(),
            node.zone.to_string(),
            node.address.to_string(),
            presence.to_owned(),
            node.silence_ms.map_or_else(placeholder, |silence| {
                format!("{} ago", format_duration(silence))
            }),
            node.revision
                .map_or_else(placeholder, |revision| revision.to_string()),
        ]);
    }
    table.to_string()
}

/// Formats a table of teams.
pub(crate) fn format_teams(teams: &[view::Team]) -> String {
    let mut table = Table::new(&[
        "TEAM",
        "WEIGHT",
        "REQUESTS/S",
        "CONCURRENCY",
        "PRIORITY",
        "DEADLINE",
        "MAY USE",
    ]);
    for team in teams {
        let allowed = if team.allowed.is_empty() {
            "all".to_owned()
        } else {
            team.allowed.join(" ")
        };
        table.add_row(vec![
            team.name.to_string(),
            team.weight.to_string(),
            team.requests_per_second.to_string(),
            team.concurrency.to_string(),
            team.priority.to_string(),
            format_duration(team.deadline_ms),
            allowed,
        ]);
    }
    table.to_string()
}

/// Formats a table of accepted notes, with their ages at a Unix time in milliseconds.
pub(crate) fn format_history(notes: &[Record], now_unix_ms: u64) -> String {
    let mut table = Table::new(&["REVISION", "ACCEPTED", "BY NODE", "NOTE", "SUMMARY"]);
    for record in notes {
        table.add_row(vec![
            record.revision.to_string(),
            format!(
                "{} ago",
                format_duration(Millis(now_unix_ms.saturating_sub(record.at_unix_ms)))
            ),
            record.node.to_string(),
            record.note.id.to_string(),
            record.note.summary.to_string(),
        ]);
    }
    table.to_string()
}

/// Formats what a release note would change.
pub(crate) fn format_plan(plan: &view::Plan) -> String {
    let mut table = Table::new(&["ACTION", "KIND", "NAME", "EFFECT"]);
    for change in &plan.changes {
        table.add_row(vec![
            change.action.to_string(),
            change.kind.to_string(),
            change.name.to_string(),
            change.effect.to_string(),
        ]);
    }
    let mut text = format!("revision in force: {}\n\n{table}", plan.in_force);
    if plan.decisions.is_empty() {
        text.push_str("\nno replica group of this zone would change at once\n");
    } else {
        text.push_str("\nthe zone's planner would decide:\n");
    }
    for decision in &plan.decisions {
        text.push_str(&format_decision(decision));
    }
    text
}

/// Formats a decision with its subjects, cause, inputs and rejected alternatives.
pub(crate) fn format_decision(decision: &Decision) -> String {
    let subjects: Vec<String> = decision.subjects.iter().map(ToString::to_string).collect();
    let mut text = String::new();
    if decision.sequence > 0 {
        let at = format_time_of_day(decision.at_unix_ms);
        text.push_str(&format!("{at} {} #{}  ", decision.node, decision.sequence));
    }
    text.push_str(&format!("{}: {}\n", subjects.join(" "), decision.taken));
    text.push_str(&format!("    because  {}\n", decision.cause));
    for input in &decision.inputs {
        text.push_str(&format!("    saw      {}: {}\n", input.name, input.value));
    }
    for alternative in &decision.weighed {
        text.push_str(&format!(
            "    against  {}: {}\n",
            alternative.way, alternative.against
        ));
    }
    text
}
