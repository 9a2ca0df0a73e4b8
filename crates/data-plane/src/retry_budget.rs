//! The budget of further legs, by service: a part of this gateway's own requests, and its part of the margin. The
//! sum over gateways holds without talk, as only the margin is divided. No input or output.

use kitepass_time::{Duration, Timestamp};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Pieces of a window that are counted apart.
const PIECES: i64 = 20;
/// The part of what the rule allows that is used: windows slide, and requests may not arrive.
const USED: f64 = 0.8;

#[derive(Clone, Copy, Debug)]
pub struct Budget {
    pub ratio: f64,
    pub window: Duration,
    pub margin: f64,
}

#[derive(Default)]
struct Service {
    /// Number of a piece, first legs and further ones in it.
    pieces: VecDeque<(i64, u32, u32)>,
}

pub struct Further {
    budget: Budget,
    lines: BTreeMap<Arc<str>, Service>,
}

impl Further {
    pub fn new(budget: Budget) -> Further {
        Further { budget, lines: BTreeMap::new() }
    }

    pub fn set(&mut self, budget: Budget) {
        self.budget = budget;
    }

    fn piece(&mut self, now: Timestamp, line: &Arc<str>) -> &mut Service {
        let number = now.among(self.budget.window / PIECES).0;
        let line = self.lines.entry(line.clone()).or_default();
        while line.pieces.front().is_some_and(|piece| piece.0 <= number - PIECES) {
            line.pieces.pop_front();
        }
        if line.pieces.back().is_none_or(|piece| piece.0 < number) {
            line.pieces.push_back((number, 0, 0));
        }
        line
    }

    /// A request for a service has come.
    pub fn first(&mut self, now: Timestamp, line: &Arc<str>) {
        let line = self.piece(now, line);
        line.pieces.back_mut().expect("piece puts one in").1 += 1;
    }

    /// Whether one more further leg fits the budget; it is booked then.
    pub fn allows(&mut self, now: Timestamp, line: &Arc<str>, gateways: usize) -> bool {
        let Budget { ratio, margin, .. } = self.budget;
        let line = self.piece(now, line);
        let (first, further) = line
            .pieces
            .iter()
            .fold((0.0, 0.0), |(a, b), piece| (a + f64::from(piece.1), b + f64::from(piece.2)));
        let fits = further + 1.0 <= USED * (ratio * first + margin / gateways.max(1) as f64);
        line.pieces.back_mut().expect("piece puts one in").2 += u32::from(fits);
        fits
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn further_legs_of_all_gateways_stay_within_the_rule_in_every_window() {
        let budget = Budget { ratio: 0.2, window: Duration::from_secs(10), margin: 60.0 };
        let line: Arc<str> = "l".into();
        let mut gateways: Vec<Further> = (0..10).map(|_| Further::new(budget)).collect();
        let mut chance = oorandom::Rand64::new(7);
        let (mut first, mut further) = (Vec::new(), Vec::new());
        // Nearly every request fails, and the load comes and goes.
        for millis in 0..60_000i64 {
            let now = Timestamp::from_micros(millis * 1000);
            let busy = if millis / 7_000 % 2 == 0 { 2 } else { 20 };
            if chance.rand_range(0..busy) == 0 {
                let gateway = &mut gateways[chance.rand_range(0..10) as usize];
                gateway.first(now, &line);
                first.push(millis);
                if gateway.allows(now, &line, 10) {
                    further.push(millis);
                }
            }
        }
        assert!(further.len() > 1000, "{}", further.len());
        for end in (10_000..60_000).step_by(100) {
            let within =
                |all: &[i64]| all.iter().filter(|at| (end - 10_000..end).contains(*at)).count() as f64;
            assert!(within(&further) <= 0.2 * within(&first) + 60.0, "window ending at {end}");
        }
    }
}
