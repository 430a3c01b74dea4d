//! Prints state, processor time and bytes by size of the fleet.

use std::fs;
use std::hint::black_box;
use std::time::Instant as Wall;

use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;
use jackdaw_policy::member::{Bounds, Event, Observation, Table};
use jackdaw_policy::plan::{self, Health, Input};
use serde::Serialize;

use crate::overlay::Overlay;
use crate::sample;

/// Copies that are kept while memory is measured, so that a copy's share of it shows.
const COPIES: usize = 200;
/// Repetitions of a step that is timed.
const REPEATS: u32 = 200;
/// Time over which bytes are counted.
const WATCHED: Millis = Millis::from_secs(60);

/// Prints all slopes.
pub(crate) fn run() {
    state();
    time();
    bytes();
}

fn state() {
    println!("State: JSON bytes (as stored by the platform), resident bytes of one copy");
    for (models, teams) in [(5, 10), (20, 40), (80, 160)] {
        let catalog = || sample::catalog(models, teams, 4);
        print_state(
            &format!("catalogue, {models} models and {teams} teams"),
            json_bytes(&catalog()),
            resident_bytes(&catalog),
        );
    }
    for models in [0, 80] {
        let catalog = || sample::catalog(models, 160 - models * 2, 4);
        print_state(
            &format!("catalogue, {models} models and {} teams", 160 - models * 2),
            json_bytes(&catalog()),
            resident_bytes(&catalog),
        );
    }
    for vms in [50, 150, 600] {
        let placement = || sample::placement(vms);
        let groups = placement().groups.len();
        print_state(
            &format!("placement, {vms} VMs in {groups} groups"),
            json_bytes(&placement()),
            resident_bytes(&placement),
        );
    }
    for vms in [50, 150, 600] {
        print_state(
            &format!("VM list, {vms} VMs"),
            json_bytes(&sample::vms(vms)),
            0,
        );
    }
    let placement = sample::placement(50);
    let report = sample::report(&placement.groups[0], 1);
    print_state("report of one VM", json_bytes(&report), 0);
    for vms in [50, 150, 600] {
        let resident = resident_bytes(&|| table(vms));
        print_state(&format!("member table, {vms} VMs"), 0, resident);
    }
    for targets in [20, 150, 600] {
        let resident = resident_bytes(&|| sample::snapshot(targets, 40));
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

fn json_bytes<T: Serialize>(value: &T) -> usize {
    serde_json::to_vec(value).map_or(0, |bytes| bytes.len())
}

/// Returns the growth of the process's resident memory for each copy.
fn resident_bytes<T>(make: &dyn Fn() -> T) -> usize {
    let mut copies = Vec::with_capacity(COPIES);
    copies.push(make());
    let before = resident();
    copies.extend((0..COPIES).map(|_| make()));
    let grown = resident().saturating_sub(before);
    // The copies are kept for good, so that later measures get fresh memory.
    std::mem::forget(copies);
    grown / COPIES
}

/// Returns the resident memory of the process in bytes.
fn resident() -> usize {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line
        .and_then(|line| line.split_whitespace().nth(1))
        .and_then(|number| number.parse::<usize>().ok());
    kib.unwrap_or(0) * 1_024
}

fn table(vms: usize) -> Table {
    let mut table = Table::new(Bounds::default());
    table.step(Event::Listed(sample::vms(vms)), Instant(0));
    let placement = sample::placement(vms);
    table.step(Event::Placed(placement.clone()), Instant(0));
    for group in &placement.groups {
        for rank in 0..sample::GROUP {
            let seen = Observation::probed(sample::report(group, rank), Instant(1));
            table.step(Event::Reported(seen), Instant(1));
        }
    }
    table
}

fn time() {
    println!("\nProcessor time of one step, mean of {REPEATS}, in microseconds");
    println!(
        "  {:<16} {:>10} {:>10} {:>10} {:>12} {:>12} {:>12}",
        "VMs of a zone", "report", "tick", "list", "plan, same", "plan, lost", "plan, new"
    );
    for vms in [17, 50, 150, 600] {
        println!(
            "  {vms:<16} {:>10.2} {:>10.2} {:>10.2} {:>12.1} {:>12.1} {:>12.1}",
            report_time(vms),
            table_time(vms, &|_| Event::Tick),
            table_time(vms, &|vms| Event::Listed(sample::vms(vms))),
            plan_time(vms, Plan::Same),
            plan_time(vms, Plan::Lost),
            plan_time(vms, Plan::New),
        );
    }
}

/// Returns the mean time of one report in microseconds.
fn report_time(vms: usize) -> f64 {
    let mut table = table(vms);
    let placement = sample::placement(vms);
    let mut steps = 0;
    let start = Wall::now();
    for turn in 0..u64::from(REPEATS) {
        for group in &placement.groups {
            let at = Instant(turn * 500);
            let seen = Observation::probed(sample::report(group, (turn % 4) as usize), at);
            black_box(table.step(Event::Reported(seen), at));
            steps += 1;
        }
    }
    start.elapsed().as_nanos() as f64 / 1_000.0 / f64::from(steps.max(1))
}

fn table_time(vms: usize, event: &dyn Fn(usize) -> Event) -> f64 {
    let mut table = table(vms);
    mean_micros(&mut || {
        black_box(table.step(event(vms), Instant(1)));
    })
}

/// What has changed since the placement.
#[derive(Clone, Copy)]
enum Plan {
    Same,
    Lost,
    New,
}

fn plan_time(vms: usize, plan: Plan) -> f64 {
    let mut placement = sample::placement(vms);
    let catalog = sample::catalog(1, 0, placement.groups.len() as u32);
    let mut candidates = sample::candidates(vms);
    match plan {
        Plan::Same => {}
        Plan::Lost => candidates[1].health = Health::Missing,
        Plan::New => placement.groups.clear(),
    }
    mean_micros(&mut || {
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

fn mean_micros(act: &mut dyn FnMut()) -> f64 {
    let start = Wall::now();
    for _ in 0..REPEATS {
        act();
    }
    start.elapsed().as_nanos() as f64 / 1_000.0 / f64::from(REPEATS)
}

fn bytes() {
    println!(
        "\nSpreading in 8 zones, encoded message bytes a second sent and received together \
         (without HTTP/2, TCP and IP), over {} s",
        WATCHED.0 / 1_000
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
        overlay(nodes);
    }
}

fn overlay(count: usize) {
    let mut overlay = Overlay::new(count);
    overlay.run(Millis::from_secs(30));
    while !overlay.is_joined() {
        overlay.run(Millis::from_secs(5));
    }
    overlay.run(Millis::from_secs(10));
    overlay.reset();
    overlay.run(WATCHED);
    let seconds = WATCHED.0 / 1_000;
    let (idle, largest) = overlay.spent();
    overlay.reset();
    let changes = 10;
    let mut slowest = Millis(0);
    let mut slowest_placement = Millis(0);
    for _ in 0..changes {
        slowest = slowest.max(overlay.change());
        overlay.run(Millis::from_secs(1));
        slowest_placement = slowest_placement.max(overlay.place());
        overlay.run(Millis::from_secs(1));
    }
    let (busy, _) = overlay.spent();
    let rate = |sent: u64, received: u64| (sent + received) / seconds;
    let idle_rate = rate(idle.sent, idle.received);
    // The run under change covers its own span; what an idle span of that length costs is left out.
    let span = overlay.since_reset().0;
    let idle_part = idle_rate * span / 1_000;
    let per_change = (busy.sent + busy.received).saturating_sub(idle_part) / (2 * changes);
    println!(
        "  {count:<8} {idle_rate:>10} {:>10} {:>10.1} {:>12.1} {per_change:>12} {:>12} {:>14}",
        rate(largest.sent, largest.received),
        idle.messages as f64 / seconds as f64,
        idle.time.as_nanos() as f64 / 1_000.0 / seconds as f64,
        slowest.0,
        slowest_placement.0,
    );
}
