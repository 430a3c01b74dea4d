//! Determines from the members' own reports which replica groups are whole.
//!
//! [`Table`] processes events, returns decisions, and holds the current state of each group and the
//! health of each VM.

use std::collections::{BTreeMap, HashMap};

use compact_str::CompactString;
use jackdaw_core::decision::{Decision, Subject};
use jackdaw_core::inventory::{self, Vm};
use jackdaw_core::member::Report;
use jackdaw_core::placement::{Group, Placement};
use jackdaw_core::time::Instant;
use jackdaw_core::units::{Generation, Millis};

use crate::plan::Candidate;

mod domain;
mod evaluation;
mod row;

pub use evaluation::{Cause, Fault};
use evaluation::{Evaluator, evaluate_group};
use row::Row;

/// Time limits for reports and for the health of VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Age beyond which a report no longer counts for its group.
    pub max_report_age: Millis,
    /// Time without an answer after which a VM counts as missing.
    pub missing_after: Millis,
    /// Time for which a missing VM must answer before it counts as present again. It doubles with
    /// each further loss, at most three times.
    pub recovery_time: Millis,
    /// Time of presence after which earlier losses are forgotten.
    pub loss_memory: Millis,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            max_report_age: Millis::from_secs(2),
            missing_after: Millis::from_secs(4),
            recovery_time: Millis::from_secs(5),
            loss_memory: Millis::from_secs(600),
        }
    }
}

/// A report and the earliest time at which it can have been created.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Observation {
    /// The report.
    pub report: Report,
    /// Time at which the probe was sent.
    pub sent: Instant,
}

impl Observation {
    /// Creates an observation from this node's own probe.
    #[must_use]
    pub fn probed(report: Report, sent: Instant) -> Self {
        Observation { report, sent }
    }

    /// Creates an observation from a report that a peer relayed together with its age.
    ///
    /// `asked` is the time at which this node sent the request that the peer answered, so that the
    /// time taken by the answer counts as age too.
    #[must_use]
    pub fn relayed(report: Report, asked: Instant, age: Millis) -> Self {
        Observation {
            report,
            sent: asked - age,
        }
    }
}

/// Input of the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A report arrived from this node's probe or from a peer.
    Reported(Observation),
    /// A probe returned no report.
    ProbeFailed {
        /// VM.
        vm: CompactString,
        /// Time at which the probe was sent.
        sent: Instant,
        /// Whether the VM could not be reached, as opposed to a lost answer.
        unreachable: bool,
    },
    /// The VM list was read.
    Listed(Vec<Vm>),
    /// Any source announced that a VM is leaving.
    Leaving(CompactString),
    /// The placement in force was read.
    Placed(Placement),
    /// A request could not be delivered to a group, or the group aborted it.
    GroupFailed {
        /// Group.
        group: CompactString,
        /// Generation of the group.
        generation: Generation,
    },
    /// Time has passed.
    Tick,
}

/// State of one group.
#[derive(Clone, Debug, PartialEq, Eq)]
struct GroupStatus {
    fault: Option<Fault>,
    /// Time at which requests failed; only reports that were requested later count.
    failed_at: Option<Instant>,
    /// Boot number of each member when it first reported this generation.
    boots: BTreeMap<CompactString, u64>,
}

/// State of all VMs and groups of one availability zone, derived from the VMs' own reports.
#[derive(Clone, Debug)]
pub struct Table {
    bounds: Bounds,
    rows: BTreeMap<CompactString, Row>,
    placement: Placement,
    statuses: Vec<GroupStatus>,
    group_by_vm: HashMap<CompactString, usize>,
    missing_domains: Vec<CompactString>,
}

impl Table {
    /// Creates an empty table.
    #[must_use]
    pub fn new(bounds: Bounds) -> Self {
        Table {
            bounds,
            rows: BTreeMap::new(),
            placement: Placement::default(),
            statuses: Vec::new(),
            group_by_vm: HashMap::new(),
            missing_domains: Vec::new(),
        }
    }

    /// Processes an event and returns a decision for each resulting change.
    pub fn step(&mut self, event: Event, now: Instant) -> Vec<Decision> {
        let mut decisions = Vec::new();
        match event {
            Event::Reported(observation) => self.record_report(observation, now, &mut decisions),
            Event::ProbeFailed {
                vm,
                sent,
                unreachable,
            } => self.record_probe_failure(&vm, sent, unreachable, now, &mut decisions),
            Event::Listed(vms) => self.update_list(vms, now, &mut decisions),
            Event::Leaving(vm) => self.mark_leaving(&vm, now, &mut decisions),
            Event::Placed(placement) => self.update_placement(placement, now, &mut decisions),
            Event::GroupFailed { group, generation } => {
                self.record_group_failure(&group, generation, now, &mut decisions);
            }
            Event::Tick => self.update_all(now, &mut decisions),
        }
        decisions
    }

    /// Returns the current placement.
    #[must_use]
    pub fn placement(&self) -> &Placement {
        &self.placement
    }

    /// Iterates over the groups of which every member currently qualifies.
    pub fn whole_groups(&self) -> impl Iterator<Item = &Group> {
        self.placement
            .groups
            .iter()
            .zip(&self.statuses)
            .filter(|(_, status)| status.fault.is_none())
            .map(|(group, _)| group)
    }

    /// Returns why a group is not whole, or `None` if it is whole.
    #[must_use]
    pub fn fault(&self, group: &str) -> Option<Fault> {
        self.group_index(group).map_or_else(
            || Some(Fault::new("", Cause::NotPlaced)),
            |index| self.statuses[index].fault.clone(),
        )
    }

    /// Returns why a VM does not qualify as a member of a group, or `None` if it does.
    #[must_use]
    pub fn member_fault(&self, group: &Group, vm: &str, now: Instant) -> Option<Cause> {
        let index = self.group_index(&group.name);
        let rank = group.members.iter().position(|member| member == vm);
        let Some((index, rank)) = index.zip(rank) else {
            return Some(Cause::NotPlaced);
        };
        self.evaluator(index, now).cause(group, rank, vm)
    }

    /// Returns the newest report of a VM.
    #[must_use]
    pub fn observation(&self, vm: &str) -> Option<&Observation> {
        self.rows.get(vm)?.observation.as_ref()
    }

    /// Returns the newest report of a VM unless it is older than the maximum age.
    #[must_use]
    pub fn fresh_observation(&self, vm: &str, now: Instant) -> Option<&Observation> {
        self.observation(vm)
            .filter(|observation| now.since(observation.sent) <= self.bounds.max_report_age)
    }

    /// Returns the last known entry of a VM in the VM list.
    #[must_use]
    pub fn vm(&self, vm: &str) -> Option<&Vm> {
        self.rows.get(vm)?.vm.as_ref()
    }

    /// Iterates over the VMs of the VM list and those that were removed from it but still answer.
    pub fn vms(&self) -> impl Iterator<Item = &Vm> {
        self.rows.values().filter_map(|row| row.vm.as_ref())
    }

    /// Returns whether a VM is leaving and must get no new work.
    #[must_use]
    pub fn is_leaving(&self, vm: &str) -> bool {
        self.rows.get(vm).is_some_and(Row::is_leaving)
    }

    /// Returns whether a member of a placed group has restarted since it joined.
    #[must_use]
    pub fn is_restarted(&self, vm: &str) -> bool {
        let Some(index) = self.group_by_vm.get(vm) else {
            return false;
        };
        let boot = self
            .observation(vm)
            .map(|observation| observation.report.boot);
        let joined = self.statuses[*index].boots.get(vm).copied();
        joined.is_some() && boot.is_some() && joined != boot
    }

    /// Returns all VMs with model engines as input for the planner.
    #[must_use]
    pub fn candidates(&self) -> Vec<Candidate> {
        let engines = self.rows.iter().filter_map(|(name, row)| {
            let vm = row.vm.as_ref().filter(|vm| vm.service.is_none())?;
            Some(Candidate {
                name: name.clone(),
                domain: vm.domain.clone(),
                health: row.health,
                since: row.since,
            })
        });
        engines.collect()
    }

    /// Returns whether each listed engine has either answered or had `missing_after` to do so.
    ///
    /// Until then a node that has just started must not treat VMs as missing.
    #[must_use]
    pub fn is_settled(&self, now: Instant) -> bool {
        self.engine_rows().all(|row| {
            row.observation.is_some() || now.since(row.listed_at) > self.bounds.missing_after
        })
    }

    /// Returns whether engines are listed but none answers, which means that this node itself is
    /// likely cut off.
    #[must_use]
    pub fn is_cut_off(&self, now: Instant) -> bool {
        let mut engines = self.engine_rows().peekable();
        engines.peek().is_some() && !engines.any(|row| row.is_answering(now, self.bounds))
    }

    fn group_index(&self, group: &str) -> Option<usize> {
        let mut groups = self.placement.groups.iter();
        groups.position(|known| known.name == group)
    }

    fn evaluator(&self, index: usize, now: Instant) -> Evaluator<'_> {
        Evaluator {
            rows: &self.rows,
            boots: &self.statuses[index].boots,
            failed_at: self.statuses[index].failed_at,
            max_report_age: self.bounds.max_report_age,
            now,
        }
    }

    fn engine_rows(&self) -> impl Iterator<Item = &Row> {
        self.rows
            .values()
            .filter(|row| row.vm.as_ref().is_some_and(|vm| vm.service.is_none()))
    }

    fn record_report(
        &mut self,
        observation: Observation,
        now: Instant,
        decisions: &mut Vec<Decision>,
    ) {
        let vm = observation.report.vm.clone();
        let row = self.rows.entry(vm.clone()).or_insert_with(|| Row::new(now));
        if !row.record_observation(observation, now, self.bounds) {
            return;
        }
        self.record_boot(&vm);
        self.update_health(&vm, now, decisions);
    }

    /// Records the boot number of a member with its first report of its group and generation.
    fn record_boot(&mut self, vm: &CompactString) {
        let Some(index) = self.group_by_vm.get(vm).copied() else {
            return;
        };
        let Some(report) = self.observation(vm).map(|observation| &observation.report) else {
            return;
        };
        let group = &self.placement.groups[index];
        let joined = report.membership.as_ref().is_some_and(|membership| {
            membership.group == group.name && membership.generation == group.generation
        });
        if joined {
            let boot = report.boot;
            self.statuses[index].boots.entry(vm.clone()).or_insert(boot);
        }
    }

    fn record_probe_failure(
        &mut self,
        vm: &CompactString,
        sent: Instant,
        unreachable: bool,
        now: Instant,
        decisions: &mut Vec<Decision>,
    ) {
        let Some(row) = self.rows.get_mut(vm) else {
            return;
        };
        if unreachable {
            row.unreachable_at = row.unreachable_at.max(Some(sent));
        }
        self.update_health(vm, now, decisions);
    }

    fn update_list(&mut self, vms: Vec<Vm>, now: Instant, decisions: &mut Vec<Decision>) {
        for row in self.rows.values_mut() {
            row.listed = false;
        }
        for vm in vms {
            let row = self
                .rows
                .entry(vm.name.clone())
                .or_insert_with(|| Row::new(now));
            row.update_listing(vm, now);
        }
        // The VM list lags behind, so a VM that answers is kept although the list omits it.
        let bounds = self.bounds;
        self.rows
            .retain(|_, row| row.listed || row.is_answering(now, bounds));
        self.update_all(now, decisions);
    }

    fn mark_leaving(&mut self, vm: &CompactString, now: Instant, decisions: &mut Vec<Decision>) {
        let Some(row) = self.rows.get_mut(vm) else {
            return;
        };
        row.mark_leaving();
        self.update_health(vm, now, decisions);
    }

    fn update_placement(
        &mut self,
        placement: Placement,
        now: Instant,
        decisions: &mut Vec<Decision>,
    ) {
        if placement.sequence < self.placement.sequence && placement.fence <= self.placement.fence {
            return;
        }
        let mut statuses = Vec::with_capacity(placement.groups.len());
        for group in &placement.groups {
            statuses.push(self.initial_status(group));
        }
        for gone in self
            .whole_groups()
            .filter(|group| placement.group(&group.name).is_none())
        {
            let subject = Subject::Group(gone.name.clone());
            decisions.push(Decision::new(
                subject,
                "the placement no longer lists the group",
                "group gets no work",
            ));
        }
        self.group_by_vm.clear();
        for (index, group) in placement.groups.iter().enumerate() {
            for vm in &group.members {
                self.group_by_vm.insert(vm.clone(), index);
            }
        }
        self.placement = placement;
        self.statuses = statuses;
        let members: Vec<CompactString> = self.group_by_vm.keys().cloned().collect();
        for vm in &members {
            self.record_boot(vm);
        }
        self.update_all(now, decisions);
    }

    /// Returns the initial status of a group in a new placement.
    fn initial_status(&self, group: &Group) -> GroupStatus {
        let before = self
            .placement
            .groups
            .iter()
            .zip(&self.statuses)
            .find(|(known, _)| known.name == group.name);
        match before {
            Some((known, status)) if known.generation == group.generation => status.clone(),
            // The fault of the previous generation stays until this one is evaluated, so that the
            // change gets a decision.
            before => GroupStatus {
                fault: before.map_or_else(
                    || Some(Fault::new("", Cause::NeverReported)),
                    |(_, status)| status.fault.clone(),
                ),
                failed_at: None,
                boots: BTreeMap::new(),
            },
        }
    }

    fn record_group_failure(
        &mut self,
        group: &str,
        generation: Generation,
        now: Instant,
        decisions: &mut Vec<Decision>,
    ) {
        let Some(index) = self.group_index(group) else {
            return;
        };
        if self.placement.groups[index].generation != generation {
            return;
        }
        self.statuses[index].failed_at = Some(now);
        self.evaluate_group(index, now, decisions);
    }

    /// Updates the health of one VM and re-evaluates its group.
    fn update_health(&mut self, vm: &CompactString, now: Instant, decisions: &mut Vec<Decision>) {
        let restarted = self.is_restarted(vm);
        if let Some(row) = self.rows.get_mut(vm) {
            decisions.extend(row.update_health(vm, restarted, now, self.bounds));
        }
        if let Some(index) = self.group_by_vm.get(vm).copied() {
            self.evaluate_group(index, now, decisions);
        }
    }

    /// Updates the health of all VMs and re-evaluates all groups.
    fn update_all(&mut self, now: Instant, decisions: &mut Vec<Decision>) {
        let names: Vec<CompactString> = self.rows.keys().cloned().collect();
        for vm in &names {
            let restarted = self.is_restarted(vm);
            if let Some(row) = self.rows.get_mut(vm) {
                decisions.extend(row.update_health(vm, restarted, now, self.bounds));
            }
        }
        for index in 0..self.statuses.len() {
            self.evaluate_group(index, now, decisions);
        }
        let missing = domain::find_missing(&self.rows);
        decisions.extend(domain::explain(
            &self.placement.zone,
            &self.missing_domains,
            &missing,
        ));
        self.missing_domains = missing;
    }

    fn evaluate_group(&mut self, index: usize, now: Instant, decisions: &mut Vec<Decision>) {
        let group = &self.placement.groups[index];
        let status = &self.statuses[index];
        let fault = evaluate_group(group, &self.evaluator(index, now));
        if fault == status.fault {
            return;
        }
        let was_whole = status.fault.is_none();
        decisions.extend(evaluation::explain(group, was_whole, fault.as_ref()));
        self.statuses[index].fault = fault;
    }
}

/// Returns whether the VM list shows a VM as live.
fn is_live(vm: &Vm) -> bool {
    match vm.state {
        inventory::State::Live => true,
        inventory::State::Leaving => false,
    }
}
