//! Which backend a leg goes to: the list, the room and the trust that each is thought to have, the credit of a cold
//! one, and what is learnt from the ends of legs.

use crate::dispatch::{Gateway, NEWEST, OVERDUE, PERIOD};
use crate::interface::*;
use crate::state::Backend;
use kitepass_time::{Duration, Timestamp};

const COLD_SHARE: f64 = 0.5; // share of what tips a cold backend over that is used at most
const MEMORY: Duration = Duration::from_secs(5); // how long a backend's good and bad ends count

impl Gateway {
    /// Changes of the list of backends; a whole list also tells what is gone.
    pub fn roster(&mut self, whole: bool, lines: &[Listed]) {
        self.backends.values_mut().filter(|_| whole).for_each(|b| b.listed.standing = Standing::Gone);
        for line in lines {
            let known = self.backends.entry(line.id.clone()).or_default();
            if known.listed.started != line.started {
                // It has started, cold: old praise and blame are void, and not all gateways begin at once.
                let (credit, as_of) = (self.chance.rand_float(), line.started.unwrap_or_default());
                *known = Backend { credit, as_of, ..Backend::default() };
            }
            known.listed = line.clone();
        }
        self.backends.retain(|_, b| b.listed.standing != Standing::Gone || !b.out.is_empty());
    }

    /// Draws one backend, odds in step with the room that each is thought to have.
    pub(crate) fn pick(&mut self, now: Timestamp, id: &str) -> Option<String> {
        let cold_start = self.charter.cold_start;
        let command = &self.commands[id];
        let (usual, overdue) =
            (self.paces[command.workload].mean, self.paces[command.workload].past(OVERDUE));
        let repeats = self.charter.workloads[command.workload].repeats;
        let fits = |b: &Listed| command.bound_to.as_ref().is_none_or(|ran| repeats.dropped(ran, b));
        let (mut worth, mut able, mut out) = (0.0, 0.0, 0.0);
        for b in self.backends.values().filter(|b| b.is_live()) {
            let warmth = cold_start.warmth(b.listed.started, now);
            worth += b.listed.size / b.slow.exp2() * warmth;
            able += b.listed.size * warmth;
            out += 1.0 + b.out.len() as f64; // room for one more each, by its share
        }
        let taken = self.warm.at(now, cold_start.window) / able;
        let (mut odds, mut sum) = (Vec::new(), 0.0);
        for (id, b) in self.backends.iter_mut().filter(|(_, b)| b.is_live() && fits(&b.listed)) {
            let warmth = cold_start.warmth(b.listed.started, now);
            if warmth < 1.0 {
                // A cold backend falls over if all gateways together send too much: this one sends in step
                // with what warm ones of like size settle for it, or its part of what one core can do.
                let core = cold_start.window.over(usual) / f64::from(self.charter.gateways);
                let budget = COLD_SHARE * cold_start.multiple * warmth * core.max(b.listed.size * taken);
                let past = (now - b.as_of).over(cold_start.window).min(1.0);
                b.credit = (b.credit + budget * past).min(budget.max(1.0));
                b.as_of = now;
                if b.credit < 1.0 {
                    continue;
                }
            }
            let share = b.listed.size / b.slow.exp2() * warmth / worth;
            let room = (out * share - b.out.len() as f64).max(share);
            let bell: f64 = (0..3).map(|_| 2.0 * self.chance.rand_float() - 1.0).sum();
            sum += room * b.trust(now, overdue, bell);
            odds.push((id, sum));
        }
        let drawn = self.chance.rand_float() * sum;
        odds.into_iter().find(|(_, up_to)| drawn <= *up_to).map(|(id, _)| id.clone())
    }

    pub(crate) fn judge(&mut self, now: Timestamp, end: &LegEnd) {
        let Some(command) = self.commands.get(end.command) else { return };
        let (cold_start, went_well) = (self.charter.cold_start, end.ending == Ending::Settled);
        let pace = &mut self.paces[command.workload];
        let usual = pace.mean.max(Duration::from_micros(1));
        if end.ending == Ending::Silent {
            // Lost answers are no sign of long ones: they move the usual time slowly.
            pace.learn(end.took.min(pace.past(OVERDUE) / 2), NEWEST);
        }
        if went_well {
            pace.learn(end.took, NEWEST);
            self.settled.add(now, PERIOD, 1.0);
            self.warm.add(now, cold_start.window, 1.0);
        }
        let Some(b) = self.backends.get_mut(end.backend) else { return };
        b.out.remove(end.command);
        let (by, against) = if went_well { (&mut b.good, &mut b.bad) } else { (&mut b.bad, &mut b.good) };
        if !matches!(end.ending, Ending::CalledOff | Ending::Unsent) {
            by.add(now, MEMORY, 1.0);
            against.scale(0.5);
        }
        if went_well && cold_start.warmth(b.listed.started, now) >= 1.0 {
            let ratio = end.took.over(usual).log2().clamp(-1.0, 6.0);
            b.slow += (ratio - b.slow) / b.good.last().clamp(1.0, 8.0);
        }
        if b.listed.standing == Standing::Gone && b.out.is_empty() {
            self.backends.remove(end.backend); // the list may bring no news for long
        }
    }
}

impl Backend {
    pub fn is_live(&self) -> bool {
        self.listed.standing == Standing::Live
    }

    /// Its chance of success, so many deviations from the posterior's mean; overdue legs weigh like failures.
    pub fn trust(&mut self, now: Timestamp, overdue: Duration, deviations: f64) -> f64 {
        let late = self.out.values().filter(|sent| now - **sent > overdue).count() as f64;
        let good = 1.0 + self.good.at(now, MEMORY) * (-late).exp2();
        let all = good + self.bad.at(now, MEMORY) + late;
        let mean = good / all;
        (mean + deviations * (mean * (1.0 - mean) / (all + 1.0)).sqrt()).clamp(0.001, 1.0)
    }
}
