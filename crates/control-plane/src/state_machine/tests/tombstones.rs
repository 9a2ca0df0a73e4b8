use super::at;
use crate::state_machine::tombstones::Tombstones;
use kitepass_time::Duration;

#[test]
fn what_is_held_from_before_the_start_is_in_doubt_until_there_is_contact() {
    assert!(!Tombstones::new(at(0), false).may_be_stale());
    let mut tombstones = Tombstones::new(at(0), true);
    assert!(tombstones.may_be_stale());
    tombstones.contact_confirmed(at(10));
    assert!(!tombstones.may_be_stale());
}

#[test]
fn what_is_held_is_in_doubt_after_half_the_age_without_contact() {
    let mut tombstones = Tombstones::new(at(0), false);
    tombstones.set_retention(Duration::from_micros(10_000_000));
    tombstones.contact_confirmed(at(1_000));
    tombstones.contact_missing(at(6_000), true);
    assert!(!tombstones.may_be_stale());
    tombstones.contact_missing(at(6_001), false);
    assert!(!tombstones.may_be_stale(), "there is nothing to doubt");
    tombstones.contact_missing(at(6_001), true);
    assert!(tombstones.may_be_stale());
    tombstones.discarded();
    assert!(!tombstones.may_be_stale());
}

#[test]
fn tombstones_are_looked_through_now_and_then() {
    let mut tombstones = Tombstones::new(at(0), false);
    let times: Vec<i64> =
        (0..=5_000).step_by(500).filter(|millis| tombstones.start_collection_if_due(at(*millis))).collect();
    assert_eq!(times, [2_000, 4_000]);
}
