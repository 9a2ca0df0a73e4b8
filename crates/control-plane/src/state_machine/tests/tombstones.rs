use super::at;
use crate::state_machine::tombstones::Tombstones;
use kitepass_time::Duration;

#[test]
fn restored_items_may_be_stale_until_contact_is_confirmed() {
    assert!(!Tombstones::new(at(0), false).may_be_stale());
    let mut tombstones = Tombstones::new(at(0), true);
    assert!(tombstones.may_be_stale());
    tombstones.contact_confirmed(at(10));
    assert!(!tombstones.may_be_stale());
}

#[test]
fn items_may_be_stale_after_half_the_retention_time_without_contact() {
    let mut tombstones = Tombstones::new(at(0), false);
    tombstones.set_retention(Duration::from_micros(10_000_000));
    tombstones.contact_confirmed(at(1_000));
    tombstones.contact_missing(at(6_000), true);
    assert!(!tombstones.may_be_stale());
    tombstones.contact_missing(at(6_001), false);
    assert!(!tombstones.may_be_stale(), "no items are held");
    tombstones.contact_missing(at(6_001), true);
    assert!(tombstones.may_be_stale());
    tombstones.discarded();
    assert!(!tombstones.may_be_stale());
}

#[test]
fn collection_is_due_every_two_seconds() {
    let mut tombstones = Tombstones::new(at(0), false);
    let times: Vec<i64> =
        (0..=5_000).step_by(500).filter(|millis| tombstones.start_collection_if_due(at(*millis))).collect();
    assert_eq!(times, [2_000, 4_000]);
}
