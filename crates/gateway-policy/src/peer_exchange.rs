//! What gateways tell and ask one another: news of units to all peers where they are few, else questions to a
//! customer's controller. Also what waits for an answer, from a peer or the counter, and whether one more may.

use crate::counters::hash;
use crate::dispatch::{Gateway, NEWEST, PERIOD};
use crate::interface::*;
use crate::quota::LATELY;
use crate::state::{Command, State};
use kitepass_time::{Duration, Timestamp};
use std::collections::VecDeque;
use std::mem::take;

pub(crate) const FEW: f64 = 0.9; // part of a period's messages up to which all peers are told of all
const CROWDED: f64 = 4.0; // one over the part of questions lost from which on fewer are asked
const PATIENCE: i64 = 8; // parts of the contract time, one of which a controller has to answer

impl Gateway {
    /// Whether a command's controller is asked: there must be time to decide here if no answer comes.
    pub(crate) fn may_refer(&mut self, left: Duration, contract: Duration) -> bool {
        self.affords() && left > contract / PATIENCE * 2
    }

    /// Puts a command to its customer's controller.
    pub(crate) fn refer(&mut self, now: Timestamp, id: &str, controller: u32, orders: &mut impl Orders) {
        let Command { workload, ref offer, .. } = self.commands[id];
        let (contract, offer) = (self.charter.workloads[workload].contract, offer.clone());
        let chance = self.chance.rand_float();
        // The article's directive: for a period, a controller that said no is asked only past its ratio.
        let (ratio, to) = self.know(now, &offer, orders).directive;
        if now < to && chance < ratio {
            return self.admit(now, id, true, orders);
        }
        self.peers.newest = self.peers.newest.wrapping_add(1);
        let question = format!("asked.{}", self.peers.newest);
        orders.ask(controller, self.peers.newest, &offer);
        orders.wake(&question, contract / PATIENCE);
        self.wait(id, question, Units::default());
    }

    /// Whether one more question is asked: fewer where many stay without an answer, lest they crowd all out.
    pub(crate) fn affords(&mut self) -> bool {
        self.chance.rand_float() < (2.0 - CROWDED * self.peers.lost).max(NEWEST)
    }

    pub(crate) fn wait(&mut self, id: &str, answer: String, added: Units) {
        self.peers.waiting.entry(answer).or_default().push_back((id.to_owned(), added));
        self.shift(id, State::Asking);
    }

    /// What waited first for an answer, which has come, or has not.
    pub(crate) fn next(&mut self, answer: &str, lost: bool) -> Option<(String, Units)> {
        let next = self.peers.waiting.get_mut(answer).and_then(VecDeque::pop_front)?;
        self.peers.waiting.retain(|_, waiting| !waiting.is_empty());
        self.peers.lost += (f64::from(lost) - self.peers.lost) * NEWEST;
        Some(next)
    }

    /// What a command waited for has been answered; or not, and the part here decides.
    pub(crate) fn resume(
        &mut self,
        now: Timestamp,
        answer: &str,
        verdict: Option<Verdict>,
        orders: &mut impl Orders,
    ) {
        let Some((id, _)) = self.next(answer, verdict.is_none()) else { return };
        let Some(command) = self.commands.get_mut(&id) else { return };
        command.booked = verdict.is_some();
        let customer = self.customers.get_mut(&command.offer.customer);
        if let (Some(customer), Some(Verdict { beyond: true, ratio })) = (customer, verdict) {
            customer.directive = (ratio, now + PERIOD);
        }
        self.shift(&id, State::Held);
        match verdict {
            Some(verdict) => self.admit(now, &id, verdict.beyond, orders),
            None => self.decide(now, &id, false, orders),
        }
    }

    /// A peer asks whether a command of a customer that is controlled here may go.
    pub fn asked(
        &mut self,
        now: Timestamp,
        peer: u32,
        question: u16,
        offer: &Offer,
        orders: &mut impl Orders,
    ) {
        let known = offer.plan < self.charter.plans.len() && offer.width > 0;
        let Some(verdict) = known.then(|| self.draw(now, offer, true, orders)) else { return };
        if let Some(customer) = self.customers.get_mut(&offer.customer).filter(|_| !verdict.beyond) {
            customer.spend(offer.units);
        }
        orders.answer(peer, question, verdict);
    }

    pub fn answered(&mut self, now: Timestamp, number: u16, verdict: Verdict, orders: &mut impl Orders) {
        self.resume(now, &format!("asked.{number}"), Some(verdict), orders);
    }

    /// Notes units of which peers are to be told, where they are few.
    pub(crate) fn note(&mut self, id: &str, units: Units, orders: &mut impl Orders) {
        let told = self.charter.peer_messages > 0.0 && !self.many;
        let Some(customer) = self.customers.get_mut(id).filter(|c| told && c.width > 1.0) else { return };
        customer.untold.offered += units.offered;
        customer.untold.sent += units.sent;
        // What is not sent on waits for the next that is, unless there is room in the messages.
        let due = units.sent > 0.0 || self.peers.telling < PERIOD / 2;
        if due && !self.peers.untold.iter().any(|untold| untold == id) {
            if self.peers.untold.is_empty() {
                orders.wake("tell.", self.peers.telling);
            }
            self.peers.untold.push(id.to_owned());
        }
    }

    /// Peers are told what came since the last telling, as often as they can take it in.
    pub(crate) fn tell(&mut self, orders: &mut impl Orders) {
        let news = |id: String| {
            let customer = self.customers.get_mut(&id)?;
            Some(News { mark: hash(&id) as u32, units: take(&mut customer.untold) })
        };
        let news: Vec<_> = self.peers.untold.drain(..).filter_map(news).collect();
        let messages = orders.tell(&news) as f64 * f64::from(self.charter.gateways);
        let telling = Duration::from_secs(1).times(messages / (FEW * self.charter.peer_messages));
        self.peers.telling = telling.max(PERIOD / 8);
    }

    pub fn told(&mut self, now: Timestamp, news: &[News]) {
        self.peers.heard = Some(now);
        for item in news {
            let known = self.peers.marks.get(&item.mark).and_then(|id| self.customers.get_mut(id));
            let Some(customer) = known else { continue };
            customer.reckon(now, true);
            customer.store = (customer.store - item.units.sent).max(customer.store.min(0.0));
            customer.told.add(now, PERIOD * LATELY, item.units.offered);
        }
    }

    pub(crate) fn hears(&self, now: Timestamp) -> bool {
        self.peers.heard.is_some_and(|heard| now - heard < PERIOD)
    }
}
