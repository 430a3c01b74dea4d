//! Tests of when an answer whose bytes have ended counts as whole.

use jackdaw_core::backend::{Membership, Report, State};
use jackdaw_policy::ending::{Doubt, Ending, Framing, Link, Verdict, check_report};
use rstest::rstest;

const BORN: u64 = 1_700_000_000_000;
const GROUP: &str = "m.1";

/// The end of an answer and what follows from it.
struct Case {
    framing: Framing,
    link: Link,
    is_late: bool,
    verdict: Verdict,
}

// Guards against answers that look complete although only the end of a connection marks their end, and
// against sound answers that are given up.
#[rstest]
#[case::chunks(Case { framing: Framing::Chunks, link: Link::Direct, is_late: false, verdict: Verdict::Whole })]
#[case::late_chunks(Case { framing: Framing::Chunks, link: Link::Relayed, is_late: true, verdict: Verdict::Whole })]
#[case::length(Case { framing: Framing::Length, link: Link::Relayed, is_late: true, verdict: Verdict::Whole })]
#[case::connection(Case { framing: Framing::Connection, link: Link::Direct, is_late: false, verdict: Verdict::Ask })]
#[case::late_connection(Case { framing: Framing::Connection, link: Link::Direct, is_late: true, verdict: Verdict::Broken(Doubt::Deadline) })]
#[case::relay(Case { framing: Framing::Connection, link: Link::Relayed, is_late: false, verdict: Verdict::Broken(Doubt::Relay) })]
#[case::relay_with_marks(Case { framing: Framing::Connection, link: Link::Marked, is_late: false, verdict: Verdict::Ask })]
#[case::late_relay_with_marks(Case { framing: Framing::Connection, link: Link::Marked, is_late: true, verdict: Verdict::Broken(Doubt::Deadline) })]
fn end_is_taken_for_whole_only_if_it_is_proved(#[case] case: Case) {
    let ending = Ending {
        framing: case.framing,
        link: case.link,
        is_late: case.is_late,
    };
    assert_eq!(ending.assess(), case.verdict);
}

/// A server's report after it has closed a connection.
struct Answer {
    start_unix_ms: Option<u64>,
    membership: Option<(&'static str, State)>,
    doubt: Option<Doubt>,
}

// Guards against answers that look complete although their server has started again or has broken off
// the work of its replica group.
#[rstest]
#[case::open(Answer { start_unix_ms: Some(BORN), membership: Some((GROUP, State::Open)), doubt: None })]
#[case::closing(Answer { start_unix_ms: Some(BORN), membership: Some((GROUP, State::Closing)), doubt: None })]
#[case::closed(Answer { start_unix_ms: Some(BORN), membership: Some((GROUP, State::Ready)), doubt: None })]
#[case::unstated_start(Answer { start_unix_ms: None, membership: Some((GROUP, State::Open)), doubt: None })]
#[case::broken(Answer { start_unix_ms: Some(BORN), membership: Some((GROUP, State::Broken)), doubt: Some(Doubt::Group) })]
#[case::joining(Answer { start_unix_ms: Some(BORN), membership: Some((GROUP, State::Joining)), doubt: Some(Doubt::Group) })]
#[case::other_group(Answer { start_unix_ms: Some(BORN), membership: Some(("m.2", State::Open)), doubt: Some(Doubt::Group) })]
#[case::left(Answer { start_unix_ms: Some(BORN), membership: None, doubt: Some(Doubt::Group) })]
#[case::restarted(Answer { start_unix_ms: Some(BORN + 1), membership: None, doubt: Some(Doubt::Restart) })]
#[case::restarted_and_in_the_group(Answer { start_unix_ms: Some(BORN + 1), membership: Some((GROUP, State::Open)), doubt: Some(Doubt::Restart) })]
fn server_is_believed_only_if_it_still_serves_the_group(#[case] case: Answer) {
    let membership = case.membership.map(|(group, state)| Membership {
        group: group.into(),
        epoch: 1,
        rank: 0,
        state,
    });
    let report = Report {
        start_unix_ms: case.start_unix_ms,
        accepted_orders: 3,
        membership,
    };
    assert_eq!(check_report(&report, BORN, GROUP).err(), case.doubt);
}
