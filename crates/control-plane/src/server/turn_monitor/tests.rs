use super::*;
use rstest::rstest;

fn at(ms: i64) -> Timestamp {
    Timestamp::default() + Duration::from_micros(ms * 1_000)
}

fn monitor_in_turn_from(ms: i64) -> TurnMonitor {
    let mut monitor = TurnMonitor::default();
    monitor.turn_started(at(ms), true);
    monitor
}

#[test]
fn liveness_is_checked_after_short_turn_despite_unread_input() {
    let mut monitor = monitor_in_turn_from(0);
    assert!(monitor.may_check_liveness(at(5), true));
    assert!(monitor.may_check_liveness(at(90), false));
}

#[test]
fn sockets_are_read_first_after_long_turn() {
    let mut monitor = monitor_in_turn_from(0);
    assert!(!monitor.may_check_liveness(at(1_200), false));
    monitor.turn_started(at(1_201), true);
    assert!(!monitor.may_check_liveness(at(1_210), true), "a socket has more input than one turn reads");
    monitor.turn_started(at(1_211), true);
    assert!(monitor.may_check_liveness(at(1_215), false));
}

#[test]
fn liveness_check_is_postponed_for_bounded_time() {
    let mut monitor = monitor_in_turn_from(0);
    assert!(!monitor.may_check_liveness(at(1_200), true));
    monitor.turn_started(at(1_201), true);
    assert!(!monitor.may_check_liveness(at(1_699), true));
    monitor.turn_started(at(1_699), true);
    assert!(monitor.may_check_liveness(at(1_700), true));
    monitor.turn_started(at(1_701), true);
    assert!(monitor.may_check_liveness(at(1_702), true), "no further delay before the next long turn");
}

#[test]
fn long_turns_are_counted_and_longest_is_recorded() {
    let mut monitor = monitor_in_turn_from(0);
    monitor.turn_ended(at(500));
    monitor.turn_started(at(600), true);
    monitor.turn_ended(at(1_101));
    assert_eq!((monitor.long_turn_count(), monitor.longest_turn()), (1, Duration::from_micros(501_000)));
}

/// Guards against a request that waited in its socket while the process stood still, and is taken for a new one.
#[rstest]
#[case::stopped_in_the_wait(&[(1_300, true)])]
#[case::interrupted_by_the_signal_that_continues_it(&[(1_300, false), (1_301, true)])]
#[case::stopped_after_the_wait_reported_nothing(&[(1_300, true), (1_301, true)])]
#[case::reported_only_in_a_later_turn(&[(1_300, false), (1_301, false), (1_302, true)])]
fn input_is_as_old_as_a_standstill(#[case] turns: &[(i64, bool)]) {
    let mut monitor = monitor_in_turn_from(0);
    monitor.turn_ended(at(1));
    monitor.turn_started(at(100), true);
    monitor.turn_ended(at(101));
    for (started, is_all_reported) in turns {
        monitor.turn_started(at(*started), *is_all_reported);
        assert!(monitor.input_arrived_after() <= at(101), "the process stood still from 101 ms on");
        monitor.turn_ended(at(*started));
    }
    monitor.turn_started(at(1_310), true);
    monitor.turn_ended(at(1_310));
    monitor.turn_started(at(1_311), true);
    assert!(monitor.input_arrived_after() >= at(1_300), "input of later turns is new");
}
