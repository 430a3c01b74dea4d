//! Judges from members' own reports which replica groups are whole.
//!
//! [`Table`] is the aggregate: events and the time go in, decisions come out, and the judgement of
//! each group and the health of each VM can be read at any time.

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
mod judgement;
mod row;

pub use judgement::{Cause, Fault};
use judgement::{Judge, judge};
use row::Row;

/// Time bounds of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Age from which on a report no longer counts for its group.
    pub max_report_age: Millis,
    /// Time without an answer after which a VM is missing.
    pub missing_after: Millis,
    /// Time for which a VM that was missing must answer before it counts as present again. It
    /// doubles with each further loss, three times at most.
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

/// A report and the earliest time at which it can have been made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Observation {
    /// The report.
    pub report: Report,
    /// Time at which the probe was sent.
    pub sent: Instant,
}

impl Observation {
    /// Creates the record of a report that this node probed itself.
    #[must_use]
    pub fn probed(report: Report, sent: Instant) -> Self {
        Observation { report, sent }
    }

    /// Creates the record of a report that a peer passed on with its age.
    ///
    /// `asked` is the time at which this node sent the message that the peer answered: the time
    /// the answer took is then counted as age too.
    #[must_use]
    pub fn relayed(report: Report, asked: Instant, age: Millis) -> Self {
        Observation {
            report,
            sent: asked - age,
        }
    }
}

/// Something that the table learns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A report came, from this node's probe or from a peer.
    Reported(Observation),
    /// A probe brought no report.
    ProbeFailed {
        /// VM.
        vm: CompactString,
        /// Time at which the probe was sent.
        sent: Instant,
        /// Whether the VM could not even be reached.
        unreachable: bool,
    },
    /// The VM list was read.
    Listed(Vec<Vm>),
    /// A VM is about to go, whoever says so.
    Leaving(CompactString),
    /// The placement in force is known.
    Placed(Placement),
    /// A request could not be delivered to a group, or the group broke off.
    GroupFailed {
        /// Group.
        group: CompactString,
        /// Generation of the group.
        generation: Generation,
    },
    /// Time has passed.
    Tick,
}

/// Judgement of one group.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Verdict {
    fault: Option<Fault>,
    /// Requests failed at this time; only reports that were asked for later count.
    broken: Option<Instant>,
    /// Boot of each member when it first reported this generation.
    boots: BTreeMap<CompactString, u64>,
}

/// All VMs and groups of one availability zone as their own reports show them.
#[derive(Clone, Debug)]
pub struct Table {
    bounds: Bounds,
    rows: BTreeMap<CompactString, Row>,
    placement: Placement,
    verdicts: Vec<Verdict>,
    group_by_vm: HashMap<CompactString, usize>,
    dark_domains: Vec<CompactString>,
}

impl Table {
    /// Creates a table that knows nothing.
    #[must_use]
    pub fn new(bounds: Bounds) -> Self {
        Table {
            bounds,
            rows: BTreeMap::new(),
            placement: Placement::default(),
            verdicts: Vec::new(),
            group_by_vm: HashMap::new(),
            dark_domains: Vec::new(),
        }
    }

    /// Takes an event and returns a decision for each change that it made.
    pub fn step(&mut self, event: Event, now: Instant) -> Vec<Decision> {
        let mut decisions = Vec::new();
        match event {
            Event::Reported(seen) => self.report(seen, now, &mut decisions),
            Event::ProbeFailed {
                vm,
                sent,
                unreachable,
            } => self.fail(&vm, sent, unreachable, now, &mut decisions),
            Event::Listed(vms) => self.list(vms, now, &mut decisions),
            Event::Leaving(vm) => self.leave(&vm, now, &mut decisions),
            Event::Placed(placement) => self.place(placement, now, &mut decisions),
            Event::GroupFailed { group, generation } => {
                self.break_off(&group, generation, now, &mut decisions);
            }
            Event::Tick => self.refresh(now, &mut decisions),
        }
        decisions
    }

    /// Gets the placement by which groups are judged.
    #[must_use]
    pub fn placement(&self) -> &Placement {
        &self.placement
    }

    /// Iterates over the groups that are whole.
    pub fn whole_groups(&self) -> impl Iterator<Item = &Group> {
        self.placement
            .groups
            .iter()
            .zip(&self.verdicts)
            .filter(|(_, verdict)| verdict.fault.is_none())
            .map(|(group, _)| group)
    }

    /// Returns why a group is not whole, or `None` if it is whole.
    #[must_use]
    pub fn fault(&self, group: &str) -> Option<Fault> {
        self.index(group).map_or_else(
            || Some(Fault::new("", Cause::NotPlaced)),
            |index| self.verdicts[index].fault.clone(),
        )
    }

    /// Returns why a VM does not count as a member of a group, or `None` if it does.
    #[must_use]
    pub fn member_fault(&self, group: &Group, vm: &str, now: Instant) -> Option<Cause> {
        let index = self.index(&group.name);
        let rank = group.members.iter().position(|member| member == vm);
        let Some((index, rank)) = index.zip(rank) else {
            return Some(Cause::NotPlaced);
        };
        self.judge_of(index, now).cause(group, rank, vm)
    }

    /// Gets the newest report of a VM.
    #[must_use]
    pub fn observation(&self, vm: &str) -> Option<&Observation> {
        self.rows.get(vm)?.seen.as_ref()
    }

    /// Gets the newest report of a VM if it is young enough to count.
    #[must_use]
    pub fn fresh_observation(&self, vm: &str, now: Instant) -> Option<&Observation> {
        self.observation(vm)
            .filter(|seen| now.since(seen.sent) <= self.bounds.max_report_age)
    }

    /// Gets the last known entry of a VM in the VM list.
    #[must_use]
    pub fn vm(&self, vm: &str) -> Option<&Vm> {
        self.rows.get(vm)?.vm.as_ref()
    }

    /// Iterates over all VMs of the VM list, and those that it no longer names but that answer.
    pub fn vms(&self) -> impl Iterator<Item = &Vm> {
        self.rows.values().filter_map(|row| row.vm.as_ref())
    }

    /// Returns whether a VM must get no new work because it is about to go.
    #[must_use]
    pub fn is_leaving(&self, vm: &str) -> bool {
        self.rows.get(vm).is_some_and(Row::is_leaving)
    }

    /// Returns whether a member of a placed group has started anew since it joined.
    #[must_use]
    pub fn is_restarted(&self, vm: &str) -> bool {
        let Some(index) = self.group_by_vm.get(vm) else {
            return false;
        };
        let boot = self.observation(vm).map(|seen| seen.report.boot);
        let joined = self.verdicts[*index].boots.get(vm).copied();
        joined.is_some() && boot.is_some() && joined != boot
    }

    /// Returns all VMs with model engines as the planner needs them.
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

    /// Returns whether each listed engine has either answered or had its time to answer.
    ///
    /// A node that has just started takes no VM for missing before that.
    #[must_use]
    pub fn is_settled(&self, now: Instant) -> bool {
        self.engines()
            .all(|row| row.seen.is_some() || now.since(row.listed_at) > self.bounds.missing_after)
    }

    /// Returns whether engines are listed and none of them answers, so that this node itself is
    /// likely cut off.
    #[must_use]
    pub fn is_cut_off(&self, now: Instant) -> bool {
        let mut engines = self.engines().peekable();
        engines.peek().is_some() && !engines.any(|row| row.is_answering(now, self.bounds))
    }

    fn index(&self, group: &str) -> Option<usize> {
        let mut groups = self.placement.groups.iter();
        groups.position(|known| known.name == group)
    }

    fn judge_of(&self, index: usize, now: Instant) -> Judge<'_> {
        Judge {
            rows: &self.rows,
            boots: &self.verdicts[index].boots,
            broken: self.verdicts[index].broken,
            bound: self.bounds.max_report_age,
            now,
        }
    }

    fn engines(&self) -> impl Iterator<Item = &Row> {
        self.rows
            .values()
            .filter(|row| row.vm.as_ref().is_some_and(|vm| vm.service.is_none()))
    }

    fn report(&mut self, seen: Observation, now: Instant, decisions: &mut Vec<Decision>) {
        let vm = seen.report.vm.clone();
        let row = self.rows.entry(vm.clone()).or_insert_with(|| Row::new(now));
        if !row.take(seen, now, self.bounds) {
            return;
        }
        self.record_boot(&vm);
        self.assess(&vm, now, decisions);
    }

    /// Records the boot of a member that reports its group and generation for the first time.
    fn record_boot(&mut self, vm: &CompactString) {
        let Some(index) = self.group_by_vm.get(vm).copied() else {
            return;
        };
        let Some(report) = self.observation(vm).map(|seen| &seen.report) else {
            return;
        };
        let group = &self.placement.groups[index];
        let joined = report.membership.as_ref().is_some_and(|membership| {
            membership.group == group.name && membership.generation == group.generation
        });
        if joined {
            let boot = report.boot;
            self.verdicts[index].boots.entry(vm.clone()).or_insert(boot);
        }
    }

    fn fail(
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
        self.assess(vm, now, decisions);
    }

    fn list(&mut self, vms: Vec<Vm>, now: Instant, decisions: &mut Vec<Decision>) {
        for row in self.rows.values_mut() {
            row.listed = false;
        }
        for vm in vms {
            let row = self
                .rows
                .entry(vm.name.clone())
                .or_insert_with(|| Row::new(now));
            row.list(vm, now);
        }
        // The list lags: a VM that answers is there, even while the list does not name it.
        let bounds = self.bounds;
        self.rows
            .retain(|_, row| row.listed || row.is_answering(now, bounds));
        self.refresh(now, decisions);
    }

    fn leave(&mut self, vm: &CompactString, now: Instant, decisions: &mut Vec<Decision>) {
        let Some(row) = self.rows.get_mut(vm) else {
            return;
        };
        row.leave();
        self.assess(vm, now, decisions);
    }

    fn place(&mut self, placement: Placement, now: Instant, decisions: &mut Vec<Decision>) {
        if placement.sequence < self.placement.sequence && placement.fence <= self.placement.fence {
            return;
        }
        let mut verdicts = Vec::with_capacity(placement.groups.len());
        for group in &placement.groups {
            verdicts.push(self.verdict(group));
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
        self.verdicts = verdicts;
        let members: Vec<CompactString> = self.group_by_vm.keys().cloned().collect();
        for vm in &members {
            self.record_boot(vm);
        }
        self.refresh(now, decisions);
    }

    /// Returns the verdict with which a group of a new placement starts.
    fn verdict(&self, group: &Group) -> Verdict {
        let before = self
            .placement
            .groups
            .iter()
            .zip(&self.verdicts)
            .find(|(known, _)| known.name == group.name);
        match before {
            Some((known, verdict)) if known.generation == group.generation => verdict.clone(),
            // The fault of the former generation stays until this one is judged, so that the
            // change is explained.
            before => Verdict {
                fault: before.map_or_else(
                    || Some(Fault::new("", Cause::NeverReported)),
                    |(_, verdict)| verdict.fault.clone(),
                ),
                broken: None,
                boots: BTreeMap::new(),
            },
        }
    }

    fn break_off(
        &mut self,
        group: &str,
        generation: Generation,
        now: Instant,
        decisions: &mut Vec<Decision>,
    ) {
        let Some(index) = self.index(group) else {
            return;
        };
        if self.placement.groups[index].generation != generation {
            return;
        }
        self.verdicts[index].broken = Some(now);
        self.judge(index, now, decisions);
    }

    /// Assesses one VM and judges its group.
    fn assess(&mut self, vm: &CompactString, now: Instant, decisions: &mut Vec<Decision>) {
        let restarted = self.is_restarted(vm);
        if let Some(row) = self.rows.get_mut(vm) {
            decisions.extend(row.assess(vm, restarted, now, self.bounds));
        }
        if let Some(index) = self.group_by_vm.get(vm).copied() {
            self.judge(index, now, decisions);
        }
    }

    /// Assesses all VMs and judges all groups.
    fn refresh(&mut self, now: Instant, decisions: &mut Vec<Decision>) {
        let names: Vec<CompactString> = self.rows.keys().cloned().collect();
        for vm in &names {
            let restarted = self.is_restarted(vm);
            if let Some(row) = self.rows.get_mut(vm) {
                decisions.extend(row.assess(vm, restarted, now, self.bounds));
            }
        }
        for index in 0..self.verdicts.len() {
            self.judge(index, now, decisions);
        }
        let dark = domain::dark(&self.rows);
        decisions.extend(domain::explain(
            &self.placement.zone,
            &self.dark_domains,
            &dark,
        ));
        self.dark_domains = dark;
    }

    fn judge(&mut self, index: usize, now: Instant, decisions: &mut Vec<Decision>) {
        let group = &self.placement.groups[index];
        let verdict = &self.verdicts[index];
        let fault = judge(group, &self.judge_of(index, now));
        if fault == verdict.fault {
            return;
        }
        let was_whole = verdict.fault.is_none();
        decisions.extend(judgement::explain(group, was_whole, fault.as_ref()));
        self.verdicts[index].fault = fault;
    }
}

/// Returns whether the VM list says that a VM stays.
fn is_live(vm: &Vm) -> bool {
    match vm.state {
        inventory::State::Live => true,
        inventory::State::Leaving => false,
    }
}
