//! Timers on a wheel of milliseconds: setting one, taking it back and taking a due one cost the same however
//! many there are.

use kitepass_time::Timestamp;
use slotmap::SlotMap;

const TICK: i64 = 1_000;
const SLOTS: usize = 4096;

slotmap::new_key_type! {
    /// A timer that has been set; one that was due or taken back is no longer known by it.
    pub struct TimerKey;
}

struct Entry<T> {
    tick: i64,
    what: T,
    /// Its neighbours in its slot.
    before: Option<TimerKey>,
    behind: Option<TimerKey>,
}

/// Timers that are set, and what each is for.
pub struct TimerWheel<T> {
    entries: SlotMap<TimerKey, Entry<T>>,
    /// The newest of each slot.
    slots: Vec<Option<TimerKey>>,
    /// A bit for each slot that holds something.
    filled: [u64; SLOTS / 64],
    /// The first tick that has not been looked at.
    next: i64,
}

impl<T> TimerWheel<T> {
    /// None are set, and what was due before `now` is due at once.
    pub fn new(now: Timestamp) -> Self {
        let slots = vec![None; SLOTS];
        TimerWheel { entries: SlotMap::with_key(), slots, filled: [0; SLOTS / 64], next: now.micros() / TICK }
    }

    /// It is due in the first tick at or after `due`.
    pub fn set(&mut self, due: Timestamp, what: T) -> TimerKey {
        let tick = (due.micros() + TICK - 1).div_euclid(TICK).max(self.next);
        let slot = place(tick);
        let behind = self.slots[slot];
        let key = self.entries.insert(Entry { tick, what, before: None, behind });
        if let Some(entry) = behind.and_then(|behind| self.entries.get_mut(behind)) {
            entry.before = Some(key);
        }
        self.slots[slot] = Some(key);
        self.filled[slot / 64] |= 1 << (slot % 64);
        key
    }

    /// Takes one back, if it is still to come.
    pub fn take_back(&mut self, key: TimerKey) -> Option<T> {
        let Entry { tick, what, before, behind } = self.entries.remove(key)?;
        if let Some(entry) = behind.and_then(|behind| self.entries.get_mut(behind)) {
            entry.before = before;
        }
        match before.and_then(|before| self.entries.get_mut(before)) {
            Some(entry) => entry.behind = behind,
            None => {
                let slot = place(tick);
                self.slots[slot] = behind;
                if behind.is_none() {
                    self.filled[slot / 64] &= !(1 << (slot % 64));
                }
            }
        }
        Some(what)
    }

    /// When to look again at the latest; timers of later rounds of the wheel can make it early.
    pub fn next(&self) -> Option<Timestamp> {
        self.next_filled(self.next, self.next + SLOTS as i64).map(|tick| Timestamp::from_micros(tick * TICK))
    }

    /// Takes what is due, in order of its ticks, and appends it to `into`.
    pub fn due(&mut self, now: Timestamp, into: &mut Vec<T>) {
        let last = now.micros().div_euclid(TICK);
        let mut at = self.next.max(last + 1 - SLOTS as i64);
        while let Some(tick) = self.next_filled(at, last + 1) {
            let mut newest = self.slots[place(tick)];
            let from = into.len();
            while let Some(key) = newest {
                newest = self.entries[key].behind;
                if self.entries[key].tick <= last {
                    into.extend(self.take_back(key));
                }
            }
            into[from..].reverse(); // in the order they were set
            at = tick + 1;
        }
        self.next = self.next.max(last + 1);
    }

    /// The first tick from `at` up to `end`, exclusive, whose slot is filled.
    fn next_filled(&self, mut at: i64, end: i64) -> Option<i64> {
        while at < end {
            let slot = place(at);
            let word = self.filled[slot / 64] >> (slot % 64);
            if word != 0 {
                let tick = at + i64::from(word.trailing_zeros());
                return (tick < end).then_some(tick);
            }
            at += 64 - (slot % 64) as i64;
        }
        None
    }
}

fn place(tick: i64) -> usize {
    tick.rem_euclid(SLOTS as i64) as usize
}

#[cfg(test)]
mod tests {
    use super::*;
    use kitepass_time::Duration;

    #[test]
    fn timers_are_due_in_their_tick_and_not_before() {
        let at = |millis: i64| Timestamp::from_micros(1_700_000_000_000_000 + millis * TICK);
        let mut timers = TimerWheel::new(at(0));
        let mut due = Vec::new();
        // Two in one slot, a round of the wheel apart; one between ticks; one already past.
        for millis in [5, 5 + SLOTS as i64, 9_000, -3] {
            timers.set(at(millis), millis);
        }
        timers.set(at(7) + Duration::from_micros(1), 8);
        // One taken back from the middle of a slot, one that was alone in its own.
        for millis in [5, 6] {
            let key = timers.set(at(millis), -1);
            timers.set(at(5), 50 + millis);
            assert_eq!((timers.take_back(key), timers.take_back(key)), (Some(-1), None));
        }
        let mut seen = Vec::new();
        for millis in 0..10_000 {
            timers.due(at(millis), &mut due);
            seen.extend(due.drain(..).map(|what| (millis, what)));
            assert!(timers.next().is_none_or(|next| next > at(millis)));
        }
        let late = 5 + SLOTS as i64;
        assert_eq!(seen, [(0, -3), (5, 5), (5, 55), (5, 56), (8, 8), (late, late), (9_000, 9_000)]);
        assert_eq!(timers.next(), None);
    }

    #[test]
    fn a_long_stall_leaves_none_behind() {
        let mut timers = TimerWheel::new(Timestamp::from_micros(0));
        for millis in 1..20_000 {
            timers.set(Timestamp::from_micros(millis * TICK), millis);
        }
        let mut due = Vec::new();
        timers.due(Timestamp::from_micros(15_000 * TICK), &mut due);
        assert_eq!(due.len(), 15_000);
        timers.due(Timestamp::from_micros(30_000 * TICK), &mut due);
        assert_eq!(due.len(), 19_999);
    }
}
