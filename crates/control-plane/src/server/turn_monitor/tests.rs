use super::*;

fn at(ms: i64) -> Timestamp {
    Timestamp::default() + Duration::from_micros(ms * 1_000)
}

fn monitor_in_turn_from(ms: i64) -> TurnMonitor {
    let mut monitor = TurnMonitor::default();
    monitor.turn_started(at(ms));
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
    monitor.turn_started(at(1_201));
    assert!(!monitor.may_check_liveness(at(1_210), true), "a socket has more input than one turn reads");
    monitor.turn_started(at(1_211));
    assert!(monitor.may_check_liveness(at(1_215), false));
}

#[test]
fn liveness_check_is_postponed_for_bounded_time() {
    let mut monitor = monitor_in_turn_from(0);
    assert!(!monitor.may_check_liveness(at(1_200), true));
    monitor.turn_started(at(1_201));
    assert!(!monitor.may_check_liveness(at(1_699), true));
    monitor.turn_started(at(1_699));
    assert!(monitor.may_check_liveness(at(1_700), true));
    monitor.turn_started(at(1_701));
    assert!(monitor.may_check_liveness(at(1_702), true), "no further delay before the next long turn");
}

#[test]
fn long_turns_are_counted_and_longest_is_recorded() {
    let mut monitor = monitor_in_turn_from(0);
    monitor.turn_ended(at(500));
    monitor.turn_started(at(600));
    monitor.turn_ended(at(1_101));
    assert_eq!((monitor.long_turn_count(), monitor.longest_turn()), (1, Duration::from_micros(501_000)));
}
