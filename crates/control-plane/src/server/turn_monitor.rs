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
mod tests;
