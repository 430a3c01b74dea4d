//! Tests that the register only adopts catalogues of higher revisions.

mod notes;

use std::sync::Arc;

use jackdaw_core::time::Instant;
use jackdaw_core::units::{Millis, Revision};
use jackdaw_policy::release::register::{Offer, Register, Source};
use notes::{catalog, fixed_seed, note, stored};
use proptest::prelude::*;
use rstest::rstest;

proptest! {
    #![proptest_config(fixed_seed(2_000))]

    #[test]
    fn revision_never_decreases(offers in prop::collection::vec((0..6_u64, 0..4_u8), 1..40)) {
        let mut register = Register::default();
        let mut highest = Revision(0);
        for (step, (revision, source)) in offers.into_iter().enumerate() {
            let now = Instant(step as u64);
            let offered = Arc::new(catalog(revision));
            match source {
                0 => { register.offer(offered, Source::Read, now); }
                1 => { register.offer(offered, Source::Watch, now); }
                2 => { register.offer(offered, Source::Peer("peer".into()), now); }
                _ => {
                    let restore = register.platform_answered(stored(revision).as_ref(), now);
                    prop_assert_eq!(restore.is_some(), Revision(revision) < highest);
                    continue;
                }
            }
            highest = highest.max(Revision(revision));
            prop_assert_eq!(register.revision(), highest);
        }
    }
}

/// An offer to a register that holds revision 3, and its expected outcome.
struct OfferCase {
    revision: u64,
    source: Source,
    is_expected: fn(&Offer) -> bool,
    in_force: u64,
}

#[rstest]
#[case::older_catalog_read(OfferCase {
    revision: 2, source: Source::Read, is_expected: |offer| *offer == Offer::Older, in_force: 3 })]
#[case::empty_catalog_read(OfferCase {
    revision: 0, source: Source::Read, is_expected: |offer| *offer == Offer::Older, in_force: 3 })]
#[case::older_catalog_watched(OfferCase {
    revision: 1, source: Source::Watch, is_expected: |offer| *offer == Offer::Older, in_force: 3 })]
#[case::older_catalog_from_a_peer(OfferCase {
    revision: 2, source: Source::Peer("p".into()), is_expected: |offer| *offer == Offer::Older, in_force: 3 })]
#[case::same_catalog(OfferCase {
    revision: 3, source: Source::Watch, is_expected: |offer| *offer == Offer::Known, in_force: 3 })]
#[case::newer_catalog_from_a_peer(OfferCase {
    revision: 5, source: Source::Peer("p".into()),
    is_expected: |offer| matches!(offer, Offer::Taken(_)), in_force: 5 })]
fn offer_is_taken_only_if_its_revision_is_higher(#[case] case: OfferCase) {
    let mut register = Register::default();
    register.offer(Arc::new(catalog(3)), Source::Read, Instant(1));
    let offer = register.offer(Arc::new(catalog(case.revision)), case.source, Instant(2));
    assert!((case.is_expected)(&offer), "{offer:?}");
    assert_eq!(register.revision(), Revision(case.in_force));
}

#[test]
fn different_catalogue_of_the_same_revision_is_not_taken() {
    let mut register = Register::default();
    register.offer(Arc::new(catalog(3)), Source::Read, Instant(1));
    let other = catalog(2)
        .apply(&note("rival", 2))
        .expect("the note applies");
    let offer = register.offer(Arc::new(other), Source::Peer("p".into()), Instant(2));
    assert!(matches!(offer, Offer::Diverged(_)), "{offer:?}");
    assert_eq!(register.catalog().expect("a catalogue in force").note, "n2");
}

#[test]
fn status_shows_the_source_and_the_age_of_the_platform_contact() {
    let mut register = Register::default();
    assert!(!register.is_ready());
    assert_eq!(register.status(Instant(5)).platform_contact_age_ms, None);
    assert_eq!(
        register.platform_answered(stored(3).as_ref(), Instant(10)),
        None
    );
    register.offer(Arc::new(catalog(3)), Source::Peer("p".into()), Instant(20));
    let restore = register
        .platform_answered(None, Instant(50))
        .expect("restore of the empty service");
    assert_eq!(
        (restore.expected, restore.catalog.revision),
        (None, Revision(3))
    );
    let status = register.status(Instant(90));
    assert_eq!(status.source, Some(Source::Peer("p".into())));
    assert_eq!(status.held_for_ms, Some(Millis(70)));
    assert_eq!(status.platform_contact_age_ms, Some(Millis(40)));
    assert_eq!(status.platform_outdated_at, Some(Revision(0)));
}
