//! A hashed timing wheel with a tick of one millisecond. Scheduling, cancelling and expiring a timer take constant
//! time, regardless of the number of timers.
//!
//! Source: G. Varghese, T. Lauck, "Hashed and Hierarchical Timing Wheels", SOSP 1987, scheme 6.

use kitepass_time::Timestamp;
use slotmap::SlotMap;

/// The length of a tick in microseconds.
const TICK_MICROS: i64 = 1_000;
/// The number of slots, one tick each. Timers due later than that can share a slot with earlier ones.
const SLOT_COUNT: usize = 4096;

slotmap::new_key_type! {
    /// The key of a scheduled timer. It becomes invalid once the timer has expired or was cancelled.
    pub struct TimerKey;
}

/// A timer in the doubly linked list of its slot, ordered from newest to oldest.
struct Timer<T> {
    /// The tick in which the timer is due.
    tick: i64,
    payload: T,
    newer: Option<TimerKey>,
    older: Option<TimerKey>,
}

/// Timers, each with a payload that identifies its purpose.
pub struct TimerWheel<T> {
    timers: SlotMap<TimerKey, Timer<T>>,
    /// The newest timer of each slot.
    slots: Vec<Option<TimerKey>>,
    /// A bitmap of the slots that hold a timer.
    occupied_slots: [u64; SLOT_COUNT / 64],
    /// The first tick whose timers have not been taken.
    next_tick: i64,
}

impl<T> TimerWheel<T> {
    /// Creates an empty wheel. A timer scheduled for a time before `now` is due immediately.
    pub fn new(now: Timestamp) -> Self {
        TimerWheel {
            timers: SlotMap::with_key(),
            slots: vec![None; SLOT_COUNT],
            occupied_slots: [0; SLOT_COUNT / 64],
            next_tick: now.as_micros() / TICK_MICROS,
        }
    }

    /// Schedules a timer that is due in the first tick at or after `due`.
    pub fn schedule(&mut self, due: Timestamp, payload: T) -> TimerKey {
        let tick = (due.as_micros() + TICK_MICROS - 1).div_euclid(TICK_MICROS).max(self.next_tick);
        let slot = slot_of(tick);
        let older = self.slots[slot];
        let key = self.timers.insert(Timer { tick, payload, newer: None, older });
        if let Some(older) = older.and_then(|older| self.timers.get_mut(older)) {
            older.newer = Some(key);
        }
        self.slots[slot] = Some(key);
        self.occupied_slots[slot / 64] |= 1 << (slot % 64);
        key
    }

    /// Cancels a timer and returns its payload; `None` if the timer has already expired or been cancelled.
    pub fn cancel(&mut self, key: TimerKey) -> Option<T> {
        let Timer { tick, payload, newer, older } = self.timers.remove(key)?;
        if let Some(older) = older.and_then(|older| self.timers.get_mut(older)) {
            older.newer = newer;
        }
        match newer.and_then(|newer| self.timers.get_mut(newer)) {
            Some(newer) => newer.older = older,
            None => self.set_newest(slot_of(tick), older),
        }
        Some(payload)
    }

    fn set_newest(&mut self, slot: usize, newest: Option<TimerKey>) {
        self.slots[slot] = newest;
        if newest.is_none() {
            self.occupied_slots[slot / 64] &= !(1 << (slot % 64));
        }
    }

    /// The time by which [`TimerWheel::take_due`] must be called next; `None` without timers. It is earlier than necessary
    /// if a slot holds only timers that are due in a later rotation of the wheel.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        let end = self.next_tick + SLOT_COUNT as i64;
        let tick = self.next_occupied(self.next_tick, end)?;
        Some(Timestamp::from_micros(tick * TICK_MICROS))
    }

    /// Removes the timers that are due and appends their payloads to `into`, ordered by tick and, within a tick, by the
    /// order in which they were scheduled.
    pub fn take_due(&mut self, now: Timestamp, into: &mut Vec<T>) {
        let last_tick = now.as_micros().div_euclid(TICK_MICROS);
        // After a long stall a single rotation of the wheel visits every slot.
        let mut from = self.next_tick.max(last_tick + 1 - SLOT_COUNT as i64);
        while let Some(tick) = self.next_occupied(from, last_tick + 1) {
            self.take_slot(slot_of(tick), last_tick, into);
            from = tick + 1;
        }
        self.next_tick = self.next_tick.max(last_tick + 1);
    }

    /// Removes the timers of a slot that are due by `last_tick`, oldest first.
    fn take_slot(&mut self, slot: usize, last_tick: i64, into: &mut Vec<T>) {
        let first_taken = into.len();
        let mut next = self.slots[slot];
        while let Some(key) = next {
            let timer = &self.timers[key];
            next = timer.older;
            if timer.tick <= last_tick {
                into.extend(self.cancel(key));
            }
        }
        into[first_taken..].reverse();
    }

    /// The first tick in `from..end` whose slot holds a timer.
    fn next_occupied(&self, mut from: i64, end: i64) -> Option<i64> {
        while from < end {
            let slot = slot_of(from);
            let occupied_from_slot = self.occupied_slots[slot / 64] >> (slot % 64);
            if occupied_from_slot != 0 {
                let tick = from + i64::from(occupied_from_slot.trailing_zeros());
                return (tick < end).then_some(tick);
            }
            from += 64 - (slot % 64) as i64;
        }
        None
    }
}

fn slot_of(tick: i64) -> usize {
    tick.rem_euclid(SLOT_COUNT as i64) as usize
}

#[cfg(test)]
mod tests {
    use super::*;
    use kitepass_time::Duration;

    #[test]
    fn timers_expire_exactly_in_their_tick() {
        let at = |millis: i64| Timestamp::from_micros(1_700_000_000_000_000 + millis * TICK_MICROS);
        let mut timers = TimerWheel::new(at(0));
        let mut due = Vec::new();
        // Two timers in the same slot, one rotation apart; one at an unrelated tick; one in the past.
        for millis in [5, 5 + SLOT_COUNT as i64, 9_000, -3] {
            timers.schedule(at(millis), millis);
        }
        timers.schedule(at(7) + Duration::from_micros(1), 8);
        // Cancel one timer in the middle of a slot's list, and one that is alone in its slot.
        for millis in [5, 6] {
            let key = timers.schedule(at(millis), -1);
            timers.schedule(at(5), 50 + millis);
            assert_eq!((timers.cancel(key), timers.cancel(key)), (Some(-1), None));
        }
        let mut expired = Vec::new();
        for millis in 0..10_000 {
            timers.take_due(at(millis), &mut due);
            expired.extend(due.drain(..).map(|payload| (millis, payload)));
            assert!(timers.next_deadline().is_none_or(|next| next > at(millis)));
        }
        let next_rotation = 5 + SLOT_COUNT as i64;
        assert_eq!(
            expired,
            [(0, -3), (5, 5), (5, 55), (5, 56), (8, 8), (next_rotation, next_rotation), (9_000, 9_000)]
        );
        assert_eq!(timers.next_deadline(), None);
    }

    #[test]
    fn take_due_after_a_long_stall_returns_every_due_timer() {
        let mut timers = TimerWheel::new(Timestamp::from_micros(0));
        for millis in 1..20_000 {
            timers.schedule(Timestamp::from_micros(millis * TICK_MICROS), millis);
        }
        let mut due = Vec::new();
        timers.take_due(Timestamp::from_micros(15_000 * TICK_MICROS), &mut due);
        assert_eq!(due.len(), 15_000);
        timers.take_due(Timestamp::from_micros(30_000 * TICK_MICROS), &mut due);
        assert_eq!(due.len(), 19_999);
    }
}
