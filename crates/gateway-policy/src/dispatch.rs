//! The flow of a command through a gateway, and the orders given for it: taken in, held, sent, given up. A host
//! opens one [`Gateway`] an instance and tells it in order what happens, each time with its clock and an
//! [`Orders`] that carries out its orders; both sides of that are in `interface.rs`. docs/design.md tells
//! which parts are the article's mechanism and which depart from it. The other decisions stand beside this file:
//! `quota.rs`, `count.rs`, `peers.rs`, `pressure.rs` and `pick.rs`.

use crate::counters::{hash, Tally};
use crate::interface::*;
use crate::latency::Pace;
use crate::peer_exchange::FEW;
use crate::state::{Backend, Command, Customer, Peers, State};
use kitepass_time::{Duration, Timestamp};
use oorandom::Rand64;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

pub(crate) const PERIOD: Duration = Duration::from_secs(1); // the article's, and the stay-away that a bounce advises
const ADVICE: i64 = 3; // parts of the time left for a retry, one of which a bounce advises to wait
pub(crate) const OVERDUE: f64 = 6.0; // mean deviations past the mean after which a leg is overdue
pub(crate) const NEWEST: f64 = 0.0625; // weight of the newest in running means

pub struct Gateway {
    pub(crate) charter: Rc<Charter>,
    pub(crate) chance: Rand64,
    pub(crate) opened: Timestamp,
    pub(crate) backends: BTreeMap<String, Backend>,
    pub(crate) commands: HashMap<String, Command>,
    pub(crate) customers: HashMap<String, Customer>,
    pub(crate) paces: Vec<Pace>,
    pub(crate) wanted: Tally,  // legs asked for in about a period,
    pub(crate) settled: Tally, // and settled; settled in about
    pub(crate) warm: Tally,    // a window of the cold rule
    pub(crate) abroad: f64,    // legs out, on average,
    pub(crate) weight: f64,    // and weight of commands in an overload
    pub(crate) peers: Peers,
    pub(crate) many: bool, // peers may be asked, but are too many to be told of all
}

impl Gateway {
    pub fn open(charter: Rc<Charter>, seed: u64, now: Timestamp) -> Self {
        Gateway {
            chance: Rand64::new(u128::from(seed)),
            opened: now,
            backends: BTreeMap::new(),
            commands: HashMap::new(),
            customers: HashMap::new(),
            paces: charter.workloads.iter().map(|w| Pace::expecting(w.contract / 4, w.contract)).collect(),
            wanted: Tally::default(),
            settled: Tally::default(),
            warm: Tally::default(),
            weight: 1.0,
            abroad: 0.0,
            peers: Peers { telling: PERIOD / 8, ..Peers::default() },
            many: charter.peer_messages > 0.0 && f64::from(charter.gateways) > charter.peer_messages * FEW,
            charter,
        }
    }

    /// How much is kept: commands, customers, backends, and calls and questions that are waited for.
    pub fn kept(&self) -> [usize; 4] {
        [self.commands.len(), self.customers.len(), self.backends.len(), self.peers.waiting.len()]
    }

    pub fn command(&mut self, now: Timestamp, asked: &Asked, orders: &mut impl Orders) {
        let charter = self.charter.clone();
        let workload = charter.workloads.iter().position(|w| w.name == asked.workload);
        let plan = charter.plans.iter().position(|p| p.name == asked.plan);
        let (Some(workload), Some(plan)) = (workload, plan) else {
            return orders.bounce(asked.id, charter.longest_advice); // nobody has set terms for it
        };
        let width = if asked.width == 0 { charter.gateways } else { asked.width };
        let offer = Offer { customer: asked.customer.to_owned(), plan, width, units: asked.units };
        let Workload { contract, late_share, .. } = charter.workloads[workload];
        let until = if late_share > 0.0 { asked.outer_limit } else { asked.outer_limit.min(now + contract) };
        let command = Command { workload, offer, until, ..Command::default() };
        self.commands.insert(asked.id.to_owned(), command);
        // Where peers may be asked but are too many to be told of all, one of a customer's draws for all.
        let controller = (asked.first + hash(asked.customer) as u32 % width) % charter.gateways;
        let (asks, controls) = (self.many && width > 1, controller == charter.me);
        if asks && !controls && self.may_refer(until - now, contract) {
            return self.refer(now, asked.id, controller, orders);
        }
        self.decide(now, asked.id, asks && controls, orders);
    }

    pub fn leg_ended(&mut self, now: Timestamp, end: &LegEnd, orders: &mut impl Orders) {
        self.judge(now, end);
        let Some(command) = self.commands.get_mut(end.command) else { return };
        if let Some(customer) = self.customers.get_mut(&command.offer.customer) {
            customer.out = customer.out.saturating_sub(1);
            customer.spend(end.true_units.map_or(0.0, |units| units - command.offer.units));
        }
        command.ran |= !end.ending.never_ran();
        if command.state != State::Out || end.over {
            return self.shift(end.command, State::Over);
        }
        command.bound_to = command.bound_to.take().filter(|_| command.ran);
        self.shift(end.command, State::Held);
        self.advance(now, end.command, orders);
    }

    pub fn client_left(&mut self, id: &str) {
        let out = self.commands.get(id).is_some_and(|command| command.state == State::Out);
        self.shift(id, if out { State::Left } else { State::Over });
    }

    pub(crate) fn shift(&mut self, id: &str, to: State) {
        if to == State::Over {
            self.commands.remove(id);
        } else if let Some(command) = self.commands.get_mut(id) {
            command.state = to;
        }
    }

    pub fn woken(&mut self, now: Timestamp, token: &str, orders: &mut impl Orders) {
        match token.split_once('.') {
            Some(("period", id)) if self.customers.get(id).is_some_and(|c| c.is_due(now)) => {
                self.add_up(now, id, None, orders);
            }
            Some(("sweep", _)) => self.forget(now, orders),
            Some(("tell", _)) => self.tell(orders),
            Some(("asked", _)) => self.resume(now, token, None, orders),
            _ => {}
        }
    }

    /// The final answer of a command given up: a bounce only where a retry is harmless, in time for one.
    pub(crate) fn give_up(&mut self, id: &str, orders: &mut impl Orders) {
        let command = &self.commands[id];
        // Units that are in the sum and do not go must not keep others from going.
        let unsent = if command.booked && command.legs == 0 { command.offer.units } else { 0.0 };
        if let Some(c) = self.customers.get_mut(&command.offer.customer).filter(|c| c.counted) {
            c.period.sent -= unsent;
        }
        let Workload { repeats, contract, .. } = self.charter.workloads[command.workload];
        let anywhere = matches!(repeats, Repeats::Repeatable | Repeats::Tagged { group: Group::All, .. });
        if command.bound_to.is_none() || anywhere {
            let advice =
                ((contract - self.paces[command.workload].mean) / ADVICE).max(Duration::from_micros(1));
            orders.bounce(id, self.charter.longest_advice.map(|longest| longest.min(advice).min(PERIOD)));
        } else {
            orders.scrap(id);
        }
        self.shift(id, State::Over);
    }

    /// Sends a held command's next leg, or gives it up.
    pub(crate) fn advance(&mut self, now: Timestamp, id: &str, orders: &mut impl Orders) {
        let (charter, workload) = (self.charter.clone(), self.commands[id].workload);
        let (pressure, command) = (self.pressure(now, workload), &self.commands[id]);
        let workload = &charter.workloads[command.workload];
        let (expected, overdue) =
            (self.paces[command.workload].mean, self.paces[command.workload].past(OVERDUE));
        let left = command.until - now;
        let barred = match (workload.repeats, &command.bound_to) {
            (Repeats::OnceOnly, Some(_)) => true,
            (Repeats::Tagged { memory, .. }, Some(_)) => now - command.bound_at >= memory,
            _ => false,
        };
        let spent = left <= expected || command.legs >= charter.most_legs;
        // A further leg must not feed an overload.
        if barred || spent || command.legs > 0 && self.chance.rand_float() < pressure {
            return self.give_up(id, orders);
        }
        let Some(backend) = self.pick(now, id).filter(|_| self.book(id, orders)) else {
            return self.give_up(id, orders);
        };
        // An overdue leg is left for a further one if there is time, and no overload to feed by work left.
        let again = workload.repeats != Repeats::OnceOnly && left - overdue > expected;
        let allow = if again && pressure == 0.0 { overdue } else { left };
        let command = self.commands.get_mut(id).expect("found above");
        command.legs += 1;
        let record = self.backends.get_mut(&backend).expect("picked from these");
        if command.bound_to.is_none() {
            (command.bound_at, command.bound_to) = (now, Some(record.listed.clone()));
        }
        record.out.insert(id.to_owned(), now);
        record.credit -= 1.0;
        orders.leg(id, &backend, allow);
        self.shift(id, State::Out);
    }
}
