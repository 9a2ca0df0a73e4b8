use super::at;
use crate::state_machine::bootstrap::Bootstrap;
use rstest::rstest;

#[rstest]
#[case::alone_it_waits_for_others(true, true, None, 3_999, false)]
#[case::alone_it_bootstraps_in_the_end(true, true, None, 4_000, true)]
#[case::others_may_still_come(true, true, Some(200), 1_099, false)]
#[case::nobody_has_come_for_some_time(true, true, Some(200), 1_100, true)]
#[case::another_bootstraps(true, false, Some(200), 9_000, false)]
#[case::not_at_a_later_start(false, true, Some(200), 9_000, false)]
fn the_bootstrap_node_waits_for_others(
    #[case] is_first_start: bool,
    #[case] is_bootstrap_node: bool,
    #[case] peer_joined_at: Option<i64>,
    #[case] now: i64,
    #[case] expected: bool,
) {
    let mut bootstrap = Bootstrap::new(at(0), is_first_start, is_bootstrap_node);
    peer_joined_at.into_iter().for_each(|millis| bootstrap.peer_joined(at(millis)));
    assert_eq!(bootstrap.should_bootstrap(at(now), peer_joined_at.is_some()), expected);
}

#[test]
fn a_known_replica_set_ends_the_first_start() {
    let mut bootstrap = Bootstrap::new(at(0), true, false);
    assert!(bootstrap.is_first_start());
    bootstrap.finish();
    assert!(!bootstrap.is_first_start());
}
