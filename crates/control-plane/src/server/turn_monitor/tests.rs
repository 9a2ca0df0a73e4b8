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
fn a_short_turn_is_followed_by_a_judgement_whatever_is_unread() {
    let mut monitor = monitor_in_turn_from(0);
    assert!(monitor.may_judge(at(5), true));
    assert!(monitor.may_judge(at(90), false));
}

#[test]
fn after_a_long_turn_the_sockets_are_read_first() {
    let mut monitor = monitor_in_turn_from(0);
    assert!(!monitor.may_judge(at(1_200), false));
    monitor.turn_started(at(1_201));
    assert!(!monitor.may_judge(at(1_210), true), "a socket has more than one turn reads");
    monitor.turn_started(at(1_211));
    assert!(monitor.may_judge(at(1_215), false));
}

#[test]
fn a_judgement_waits_for_a_bounded_time() {
    let mut monitor = monitor_in_turn_from(0);
    assert!(!monitor.may_judge(at(1_200), true));
    monitor.turn_started(at(1_201));
    assert!(!monitor.may_judge(at(1_699), true));
    monitor.turn_started(at(1_699));
    assert!(monitor.may_judge(at(1_700), true));
    monitor.turn_started(at(1_701));
    assert!(monitor.may_judge(at(1_702), true), "the wait is over until the next long turn");
}

#[test]
fn long_turns_are_counted_and_the_longest_is_known() {
    let mut monitor = monitor_in_turn_from(0);
    monitor.turn_ended(at(500));
    monitor.turn_started(at(600));
    monitor.turn_ended(at(1_101));
    assert_eq!((monitor.long_turns(), monitor.longest()), (1, Duration::from_micros(501_000)));
}
