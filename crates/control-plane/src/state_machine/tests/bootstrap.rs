use super::at;
use crate::state_machine::bootstrap::Bootstrap;
use rstest::rstest;

#[rstest]
#[case::waits_without_peers(true, true, None, 3_999, false)]
#[case::bootstraps_alone_after_delay(true, true, None, 4_000, true)]
#[case::waits_for_more_peers(true, true, Some(200), 1_099, false)]
#[case::bootstraps_after_quiet_period(true, true, Some(200), 1_100, true)]
#[case::is_not_bootstrap_node(true, false, Some(200), 9_000, false)]
#[case::is_not_first_start(false, true, Some(200), 9_000, false)]
fn bootstrap_node_waits_for_peers(
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
fn known_replica_set_ends_bootstrap() {
    let mut bootstrap = Bootstrap::new(at(0), true, false);
    assert!(bootstrap.is_first_start());
    bootstrap.finish();
    assert!(!bootstrap.is_first_start());
}
