//! Tests of the registry of requests in flight.

use jackdaw_core::time::Instant;
use jackdaw_entry::in_flight::{Key, Registry, Request, Stage};
use rstest::rstest;

fn request(id: &str, arrived: u64, deadline: u64) -> Request {
    Request {
        id: id.into(),
        route: "route".into(),
        stage: Stage::Body,
        server: "".into(),
        group: "".into(),
        events: 0,
        delivered: None,
        arrived: Instant(arrived),
        deadline: Instant(deadline),
        is_closed_by_node: false,
    }
}

/// A change of the registry; requests are named by the number of their insertion.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Inserts a request with a time of arrival and a deadline.
    Insert(u64, u64),
    Advance(usize, Stage),
    Remove(usize),
}

#[derive(Debug)]
struct Case {
    name: &'static str,
    steps: &'static [Step],
    /// Identities of the requests that are left, the oldest first.
    left: &'static [&'static str],
    stages: &'static str,
    latest_deadline: Option<u64>,
}

#[rstest]
#[case(Case { name: "no request", steps: &[], left: &[], stages: "", latest_deadline: None })]
#[case(Case { name: "requests in different stages", steps: &[Step::Insert(5, 90), Step::Insert(1, 70), Step::Advance(1, Stage::Streaming)], left: &["r1", "r0"], stages: "reading-body 1, streaming 1", latest_deadline: Some(90) })]
#[case(Case { name: "a request that ended", steps: &[Step::Insert(1, 90), Step::Insert(2, 70), Step::Remove(0)], left: &["r1"], stages: "reading-body 1", latest_deadline: Some(70) })]
#[case(Case { name: "a key whose place was given to another request", steps: &[Step::Insert(1, 90), Step::Remove(0), Step::Insert(2, 70), Step::Advance(0, Stage::Answer), Step::Remove(0)], left: &["r1"], stages: "reading-body 1", latest_deadline: Some(70) })]
#[case(Case { name: "a request that ends twice", steps: &[Step::Insert(1, 90), Step::Remove(0), Step::Remove(0), Step::Insert(2, 70), Step::Insert(3, 60)], left: &["r1", "r2"], stages: "reading-body 2", latest_deadline: Some(70) })]
// Guards against requests that are taken for one another or counted after their end.
fn the_registry_tells_what_is_in_flight_in_which_stage_and_until_when(#[case] case: Case) {
    let registry = Registry::default();
    let mut keys: Vec<Key> = Vec::new();
    for step in case.steps {
        match *step {
            Step::Insert(arrived, deadline) => {
                let id = format!("r{}", keys.len());
                keys.push(registry.insert(request(&id, arrived, deadline)));
            }
            Step::Advance(number, stage) => {
                registry.update(keys[number], |request| request.stage = stage);
            }
            Step::Remove(number) => drop(registry.remove(keys[number])),
        }
    }
    let counts = registry.counts();
    assert_eq!(counts.total(), case.left.len(), "{}", case.name);
    assert_eq!(counts.to_string(), case.stages, "{}", case.name);
    let latest_deadline = registry.latest_deadline().map(|deadline| deadline.0);
    assert_eq!(latest_deadline, case.latest_deadline, "{}", case.name);
    let requests = registry.requests();
    let left: Vec<&str> = requests.iter().map(|request| request.id.as_str()).collect();
    assert_eq!(left, case.left, "{}", case.name);
    assert_eq!(registry.remove_all(), requests, "{}", case.name);
    assert_eq!(registry.counts().total(), 0, "{}", case.name);
    for key in keys {
        assert_eq!(registry.remove(key), None, "{}", case.name);
    }
}
