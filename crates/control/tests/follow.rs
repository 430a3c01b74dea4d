//! Following the catalogue: watches that go silent or end, and nodes that do not watch.

mod support;

use std::sync::Arc;
use std::time::Duration;

use jackdaw_control::catalog_follower::{self, Assignment, Timing};
use jackdaw_control::event::Event;
use jackdaw_control::release;
use jackdaw_core::time::SystemClock;
use jackdaw_core::units::{Millis, Revision};
use jackdaw_policy::release::accept::Attempt;
use jackdaw_policy::release::register::Source;
use jackdaw_standin::store::Memory;
use rstest::rstest;
use slog::{Discard, Logger, o};
use support::note;
use support::store::StoreProxy;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::sync::watch;

/// Limit on a wait, so that a hang becomes a failure.
const TIMEOUT: Duration = Duration::from_secs(60);

const PACE: Timing = Timing {
    max_retry_delay: Millis(50),
    min_retry_delay: Millis(5),
    watch_check_interval: Millis(20),
    idle_check_interval: Millis(20),
};

async fn accept(memory: &Memory, id: &str, base: u64) {
    let attempt = Attempt::new(note(id, base), Revision(base), "other", 1);
    let accepted = release::accept(memory, attempt).await;
    assert!(accepted.catalog.is_some(), "{:?}", accepted.verdict);
}

/// Waits for a revision and returns its source.
async fn source_of(events: &mut UnboundedReceiver<Event>, revision: u64) -> Source {
    loop {
        let event = tokio::time::timeout(TIMEOUT, events.recv()).await;
        if let Event::Catalog { stored, source } = event.expect("no hang").expect("follower runs")
            && stored.is_some_and(|stored| stored.catalog.revision == Revision(revision))
        {
            return source;
        }
    }
}

/// Whether the node watches, what happens to its watch, and the expected source of the next note.
struct Case {
    is_watcher: bool,
    disturb: fn(&StoreProxy),
    source: Source,
}

#[rstest]
#[case::watch_delivers(Case { is_watcher: true, disturb: |_| {}, source: Source::Watch })]
#[case::watch_goes_silent(Case {
    is_watcher: true, disturb: StoreProxy::silence_watches, source: Source::Read })]
#[case::watch_ends_and_the_service_returns(Case {
    is_watcher: true, disturb: StoreProxy::disconnect, source: Source::Read })]
#[case::node_does_not_watch(Case {
    is_watcher: false, disturb: |_| {}, source: Source::Read })]
fn next_note_arrives_from_the_expected_source(#[case] case: Case) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime");
    runtime.block_on(async {
        let memory = Memory::new(Arc::new(SystemClock::default()));
        accept(&memory, "one", 0).await;
        let proxy = Arc::new(StoreProxy::new(memory.clone()));
        let (sender, mut events) = unbounded_channel();
        let (duty, duties) = watch::channel(Assignment {
            is_watcher: case.is_watcher,
            revision: Revision(1),
        });
        let logger = Logger::root(Discard, o!());
        let follower = catalog_follower::run(proxy.clone(), sender, duties, PACE, logger);
        let follower = tokio::spawn(follower);
        assert_eq!(source_of(&mut events, 1).await, Source::Read);
        if case.is_watcher {
            memory.wait_for_counts(|counts| counts.watches > 0).await;
        }
        (case.disturb)(&proxy);
        accept(&memory, "two", 1).await;
        if proxy.is_disconnected() {
            proxy.wait_for_refusal().await;
            proxy.reconnect();
        }
        assert_eq!(source_of(&mut events, 2).await, case.source);
        drop(duty);
        follower.abort();
    });
}
