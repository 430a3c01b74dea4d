//! Prints state sizes, processor time and gossip bytes by size of the fleet.

use std::fs;
use std::hint::black_box;
use std::time::Instant as StdInstant;

use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;
use jackdaw_policy::member::{Bounds, Event, Observation, Table};
use jackdaw_policy::plan::{self, Health, Input};
use serde::Serialize;

use crate::overlay::Overlay;
use crate::sample;

/// Copies that are held while memory is measured, so that the size of one copy can be resolved.
const COPIES: usize = 200;
/// Repetitions of each timed step.
const REPEATS: u32 = 200;
/// Simulated time over which idle gossip bytes are counted.
const IDLE_SPAN: Millis = Millis::from_secs(60);

/// Prints all tables.
pub(crate) fn run() {
    print_state_sizes();
    print_step_times();
    print_gossip_bytes();
}

fn print_state_sizes() {
    println!("State: JSON bytes (as stored by the platform), resident bytes of one copy");
    for (models, teams) in [(5, 10), (20, 40), (80, 160)] {
        let catalog = || sample::catalog(models, teams, 4);
        print_state(
            &format!("catalogue, {models} models and {teams} teams"),
            measure_json_bytes(&catalog()),
            measure_copy_bytes(&catalog),
        );
    }
    for models in [0, 80] {
        let catalog = || sample::catalog(models, 160 - models * 2, 4);
        print_state(
            &format!("catalogue, {models} models and {} teams", 160 - models * 2),
            measure_json_bytes(&catalog()),
            measure_copy_bytes(&catalog),
        );
    }
    for vms in [50, 150, 600] {
        let placement = || sample::placement(vms);
        let groups = placement().groups.len();
        print_state(
            &format!("placement, {vms} VMs in {groups} groups"),
            measure_json_bytes(&placement()),
            measure_copy_bytes(&placement),
        );
    }
    for vms in [50, 150, 600] {
        print_state(
            &format!("VM list, {vms} VMs"),
            measure_json_bytes(&sample::vms(vms)),
            0,
        );
    }
    let placement = sample::placement(50);
    let report = sample::report(&placement.groups[0], 1);
    print_state("report of one VM", measure_json_bytes(&report), 0);
    for vms in [50, 150, 600] {
        let resident = measure_copy_bytes(&|| build_table(vms));
        print_state(&format!("member table, {vms} VMs"), 0, resident);
    }
    for targets in [20, 150, 600] {
        let resident = measure_copy_bytes(&|| sample::snapshot(targets, 40));
        print_state(
            &format!("snapshot, {targets} targets, 40 teams"),
            0,
            resident,
        );
    }
}

fn print_state(name: &str, json: usize, resident: usize) {
    println!("  {name:<44} {json:>10} {resident:>10}");
}

fn measure_json_bytes<T: Serialize>(value: &T) -> usize {
    serde_json::to_vec(value).map_or(0, |bytes| bytes.len())
}

/// Returns the growth of the process's resident memory per copy, in bytes.
fn measure_copy_bytes<T>(build: &dyn Fn() -> T) -> usize {
    let mut copies = Vec::with_capacity(COPIES);
    copies.push(build());
    let before = read_resident_bytes();
    copies.extend((0..COPIES).map(|_| build()));
    let growth = read_resident_bytes().saturating_sub(before);
    // The copies are leaked, so that later measurements don't reuse their memory.
    std::mem::forget(copies);
    growth / COPIES
}

/// Returns the resident memory of this process in bytes, or 0 if it cannot be read.
fn read_resident_bytes() -> usize {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line
        .and_then(|line| line.split_whitespace().nth(1))
        .and_then(|number| number.parse::<usize>().ok());
    kib.unwrap_or(0) * 1_024
}

fn build_table(vms: usize) -> Table {
    let mut table = Table::new(Bounds::default());
    table.step(Event::Listed(sample::vms(vms)), Instant(0));
    let placement = sample::placement(vms);
    table.step(Event::Placed(placement.clone()), Instant(0));
    for group in &placement.groups {
        for rank in 0..sample::GROUP_VMS {
            let observation = Observation::probed(sample::report(group, rank), Instant(1));
            table.step(Event::Reported(observation), Instant(1));
        }
    }
    table
}

fn print_step_times() {
    println!("\nProcessor time of one step, mean of {REPEATS}, in microseconds");
    println!(
        "  {:<16} {:>10} {:>10} {:>10} {:>12} {:>12} {:>12}",
        "VMs of a zone", "report", "tick", "list", "plan, same", "plan, lost", "plan, new"
    );
    for vms in [17, 50, 150, 600] {
        println!(
            "  {vms:<16} {:>10.2} {:>10.2} {:>10.2} {:>12.1} {:>12.1} {:>12.1}",
            measure_reports(vms),
            measure_table(vms, &|_| Event::Tick),
            measure_table(vms, &|vms| Event::Listed(sample::vms(vms))),
            measure_plan(vms, Change::Same),
            measure_plan(vms, Change::Lost),
            measure_plan(vms, Change::New),
        );
    }
}

/// Returns the mean time in which the member table takes in one report, in microseconds.
fn measure_reports(vms: usize) -> f64 {
    let mut table = build_table(vms);
    let placement = sample::placement(vms);
    let mut steps = 0;
    let start = StdInstant::now();
    for round in 0..u64::from(REPEATS) {
        for group in &placement.groups {
            let at = Instant(round * 500);
            let observation = Observation::probed(sample::report(group, (round % 4) as usize), at);
            black_box(table.step(Event::Reported(observation), at));
            steps += 1;
        }
    }
    start.elapsed().as_nanos() as f64 / 1_000.0 / f64::from(steps.max(1))
}

fn measure_table(vms: usize, event: &dyn Fn(usize) -> Event) -> f64 {
    let mut table = build_table(vms);
    measure_mean_micros(&mut || {
        black_box(table.step(event(vms), Instant(1)));
    })
}

/// Change since the placement was made.
#[derive(Clone, Copy)]
enum Change {
    /// No change.
    Same,
    /// One VM is missing.
    Lost,
    /// The placement is empty.
    New,
}

fn measure_plan(vms: usize, change: Change) -> f64 {
    let mut placement = sample::placement(vms);
    let catalog = sample::catalog(1, 0, placement.groups.len() as u32);
    let mut candidates = sample::candidates(vms);
    match change {
        Change::Same => {}
        Change::Lost => candidates[1].health = Health::Missing,
        Change::New => placement.groups.clear(),
    }
    measure_mean_micros(&mut || {
        let input = Input {
            placement: &placement,
            catalog: &catalog,
            vms: &candidates,
            drained: &[],
            now: Instant(1_000_000),
        };
        black_box(plan::propose(&input));
    })
}

fn measure_mean_micros(step: &mut dyn FnMut()) -> f64 {
    let start = StdInstant::now();
    for _ in 0..REPEATS {
        step();
    }
    start.elapsed().as_nanos() as f64 / 1_000.0 / f64::from(REPEATS)
}

fn print_gossip_bytes() {
    println!(
        "\nSpreading in 8 zones, encoded message bytes a second sent and received together \
         (without HTTP/2, TCP and IP), over {} s",
        IDLE_SPAN.0 / 1_000
    );
    println!(
        "  {:<8} {:>10} {:>10} {:>10} {:>12} {:>12} {:>12} {:>14}",
        "nodes",
        "idle mean",
        "idle max",
        "msgs/s",
        "cpu µs/s",
        "change B",
        "change ms",
        "placement ms"
    );
    for nodes in [30, 90, 180, 370] {
        print_overlay(nodes);
    }
}

fn print_overlay(count: usize) {
    let mut overlay = Overlay::new(count);
    overlay.advance(Millis::from_secs(30));
    while !overlay.is_fully_joined() {
        overlay.advance(Millis::from_secs(5));
    }
    overlay.advance(Millis::from_secs(10));
    overlay.reset_usage();
    overlay.advance(IDLE_SPAN);
    let seconds = IDLE_SPAN.0 / 1_000;
    let (idle, largest) = overlay.usage();
    overlay.reset_usage();
    let changes = 10;
    let mut slowest_catalog = Millis(0);
    let mut slowest_placement = Millis(0);
    for _ in 0..changes {
        slowest_catalog = slowest_catalog.max(overlay.publish_catalog());
        overlay.advance(Millis::from_secs(1));
        slowest_placement = slowest_placement.max(overlay.publish_placement());
        overlay.advance(Millis::from_secs(1));
    }
    let (under_change, _) = overlay.usage();
    let bytes_per_second = |sent: u64, received: u64| (sent + received) / seconds;
    let idle_rate = bytes_per_second(idle.sent, idle.received);
    // The bytes that idle nodes send in the same span are subtracted.
    let span_ms = overlay.since_reset().0;
    let idle_bytes = idle_rate * span_ms / 1_000;
    let change_bytes =
        (under_change.sent + under_change.received).saturating_sub(idle_bytes) / (2 * changes);
    println!(
        "  {count:<8} {idle_rate:>10} {:>10} {:>10.1} {:>12.1} {change_bytes:>12} {:>12} {:>14}",
        bytes_per_second(largest.sent, largest.received),
        idle.messages as f64 / seconds as f64,
        idle.cpu_time.as_nanos() as f64 / 1_000.0 / seconds as f64,
        slowest_catalog.0,
        slowest_placement.0,
    );
}
