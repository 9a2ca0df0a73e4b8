//! How long the turns of the event loop last, and what follows from a long one.
//!
//! A control process does everything on one thread, so what one turn takes all connections wait. Work that grows with a
//! request is done elsewhere ([`super::worker`]); what is left of it on the loop, for the longest request, takes well under
//! a second in any build. Heartbeats come while it lasts, and lie unread: contact and unresponsive peers must not be judged
//! before they are read.

use kitepass_time::{Duration, Timestamp};
use log::warn;

/// A turn that lasts longer is logged and counted.
pub(super) const LONG_TURN: Duration = Duration::from_micros(500_000);
/// What was read from the sockets longer ago than this is no basis for a judgement.
const MAX_READ_AGE: Duration = Duration::from_micros(100_000);
/// A judgement waits no longer than this for what is still unread: a peer that sends without end must not prevent it.
const MAX_POSTPONEMENT: Duration = Duration::from_micros(500_000);

/// Measures each turn, from the return of the poller to the next wait.
#[derive(Debug, Default)]
pub(super) struct TurnMonitor {
    started: Timestamp,
    longest: Duration,
    long_turns: u64,
    /// Since when the sockets may hold what came during a turn that took long.
    unread_since: Option<Timestamp>,
}

impl TurnMonitor {
    /// The poller has returned.
    pub(super) fn turn_started(&mut self, now: Timestamp) {
        self.started = now;
    }

    /// Whether peers and contact may be judged now. After a long turn they may not before all sockets have been read
    /// again; `has_unread` says that one of them had more than was read in this turn.
    pub(super) fn may_judge(&mut self, now: Timestamp, has_unread: bool) -> bool {
        if now - self.started > MAX_READ_AGE {
            self.unread_since.get_or_insert(now);
        } else if !has_unread {
            self.unread_since = None;
        }
        let may_judge = self.unread_since.is_none_or(|since| now - since >= MAX_POSTPONEMENT);
        if may_judge {
            self.unread_since = None;
        }
        may_judge
    }

    /// All of the turn's work is done.
    pub(super) fn turn_ended(&mut self, now: Timestamp) {
        let lasted = now - self.started;
        self.longest = self.longest.max(lasted);
        if lasted > LONG_TURN {
            self.long_turns += 1;
            warn!("event=long-turn ms={} count={}", lasted.as_micros() / 1000, self.long_turns);
        }
    }

    /// The longest turn of this incarnation.
    pub(super) fn longest(&self) -> Duration {
        self.longest
    }

    /// How many turns of this incarnation lasted longer than [`LONG_TURN`].
    pub(super) fn long_turns(&self) -> u64 {
        self.long_turns
    }
}

#[cfg(test)]
mod tests {
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
}
