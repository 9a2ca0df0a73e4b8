//! Usage updates to peers where they are few, else questions to controllers; and requests that await an answer.

use crate::counters::hash;
use crate::dispatch::{Gateway, NEWEST_WEIGHT, PERIOD};
use crate::interface::{Host, QuotaDecision, QuotaRequest, Units, UsageUpdate};
use crate::quota::RECENT;
use crate::state::{PendingRequest, RequestState};
use kitepass_time::{Duration, Timestamp};
use std::collections::VecDeque;
use std::mem::take;

pub(crate) const MESH_LOAD: f64 = 0.9; // share of a period's messages that usage updates may take
const CROWDED_FACTOR: f64 = 4.0; // one over the loss rate from which on fewer questions are asked
const TIMEOUT_DIVISOR: i64 = 8; // a controller has one of so many parts of the latency target to answer

impl Gateway {
    /// Whether a request's controller is asked: there must be time to decide here if it does not answer.
    pub(crate) fn may_ask_controller(&mut self, left: Duration, latency_target: Duration) -> bool {
        self.may_ask() && left > latency_target / TIMEOUT_DIVISOR * 2
    }

    /// Asks a request's controller for a decision.
    pub(crate) fn ask_controller(&mut self, now: Timestamp, id: &str, controller: u32, host: &mut impl Host) {
        let PendingRequest { workload, ref quota, .. } = self.requests[id];
        let (latency_target, quota) = (self.config.workloads[workload].latency_target, quota.clone());
        let chance = self.rng.rand_float();
        // The article's directive: for a period after a rejection, its ratio decides who is asked for at all.
        let (ratio, valid_until) = self.tenant(now, &quota, host).directive;
        if now < valid_until && chance < ratio {
            return self.admit(now, id, true, host);
        }
        self.peers.last_question = self.peers.last_question.wrapping_add(1);
        let question = format!("asked.{}", self.peers.last_question);
        host.ask_peer(controller, self.peers.last_question, &quota);
        host.set_timer(&question, latency_target / TIMEOUT_DIVISOR);
        self.wait(id, question, Units::default());
    }

    /// Whether one more question is asked: fewer where many stay unanswered, as they may overload the receiver.
    pub(crate) fn may_ask(&mut self) -> bool {
        self.rng.rand_float() < (2.0 - CROWDED_FACTOR * self.peers.loss_rate).max(NEWEST_WEIGHT)
    }

    /// Has a request wait for an answer by its name; `added` is what its call adds to a sum.
    pub(crate) fn wait(&mut self, id: &str, answer: String, added: Units) {
        self.peers.waiting.entry(answer).or_default().push_back((id.to_owned(), added));
        self.set_state(id, RequestState::AwaitingQuota);
    }

    /// Takes the request that has waited longest for an answer, which has arrived or is lost.
    pub(crate) fn next_waiting(&mut self, answer: &str, lost: bool) -> Option<(String, Units)> {
        let next = self.peers.waiting.get_mut(answer).and_then(VecDeque::pop_front)?;
        self.peers.waiting.retain(|_, waiting| !waiting.is_empty());
        self.peers.loss_rate += (f64::from(lost) - self.peers.loss_rate) * NEWEST_WEIGHT;
        Some(next)
    }

    /// Goes on with a waiting request by the answer; without one this gateway's own share decides.
    pub(crate) fn resume(
        &mut self,
        now: Timestamp,
        answer: &str,
        decision: Option<QuotaDecision>,
        host: &mut impl Host,
    ) {
        let Some((id, _)) = self.next_waiting(answer, decision.is_none()) else { return };
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.is_counted = decision.is_some();
        let tenant = self.tenants.get_mut(&request.quota.tenant);
        if let (Some(tenant), Some(QuotaDecision { exceeds: true, ratio })) = (tenant, decision) {
            tenant.directive = (ratio, now + PERIOD);
        }
        self.set_state(&id, RequestState::Queued);
        match decision {
            Some(decision) => self.admit(now, &id, decision.exceeds, host),
            None => self.decide(now, &id, false, host),
        }
    }

    /// A peer asks for a decision on a request of a tenant that this gateway controls.
    pub fn peer_asked(
        &mut self,
        now: Timestamp,
        peer: u32,
        question: u16,
        quota: &QuotaRequest,
        host: &mut impl Host,
    ) {
        let known = quota.plan < self.config.plans.len() && quota.gateways > 0;
        let Some(decision) = known.then(|| self.draw(now, quota, true, host)) else { return };
        if let Some(tenant) = self.tenants.get_mut(&quota.tenant).filter(|_| !decision.exceeds) {
            tenant.spend(quota.units);
        }
        host.answer_peer(peer, question, decision);
    }

    /// A controller has answered a question; late and unknown answers are ignored.
    pub fn peer_answered(&mut self, now: Timestamp, id: u16, decision: QuotaDecision, host: &mut impl Host) {
        self.resume(now, &format!("asked.{id}"), Some(decision), host);
    }

    /// Notes usage to tell the peers, where they are few.
    pub(crate) fn record_usage(&mut self, id: &str, units: Units, host: &mut impl Host) {
        let mesh = self.config.max_peer_messages > 0.0 && !self.uses_controllers;
        let Some(tenant) = self.tenants.get_mut(id).filter(|c| mesh && c.gateways > 1.0) else { return };
        tenant.unsent_usage.offered += units.offered;
        tenant.unsent_usage.forwarded += units.forwarded;
        // Offered units wait for the next forwarded ones, unless there is room in the messages.
        let due = units.forwarded > 0.0 || self.peers.interval < PERIOD / 2;
        if due && !self.peers.unsent_tenants.iter().any(|unsent| unsent == id) {
            if self.peers.unsent_tenants.is_empty() {
                host.set_timer("tell.", self.peers.interval);
            }
            self.peers.unsent_tenants.push(id.to_owned());
        }
    }

    /// Tells peers the usage since the last update, as often as they can take it in.
    pub(crate) fn send_usage(&mut self, host: &mut impl Host) {
        let updates = |id: String| {
            let tenant = self.tenants.get_mut(&id)?;
            Some(UsageUpdate { tenant_hash: hash(&id) as u32, units: take(&mut tenant.unsent_usage) })
        };
        let updates: Vec<_> = self.peers.unsent_tenants.drain(..).filter_map(updates).collect();
        let messages = host.broadcast_usage(&updates) as f64 * f64::from(self.config.gateways);
        let interval = Duration::from_secs(1).mul_f64(messages / (MESH_LOAD * self.config.max_peer_messages));
        self.peers.interval = interval.max(PERIOD / 8);
    }

    /// Takes in a peer's usage updates; those of unknown tenants are ignored.
    pub fn usage_received(&mut self, now: Timestamp, updates: &[UsageUpdate]) {
        self.peers.updated_at = Some(now);
        for item in updates {
            let known = self.peers.by_hash.get(&item.tenant_hash).and_then(|id| self.tenants.get_mut(id));
            let Some(tenant) = known else { continue };
            tenant.update(now, true);
            tenant.tokens = (tenant.tokens - item.units.forwarded).max(tenant.tokens.min(0.0));
            tenant.peer_offered.add(now, PERIOD * RECENT, item.units.offered);
        }
    }

    /// Whether a usage update has arrived within the last period.
    pub(crate) fn hears_peers(&self, now: Timestamp) -> bool {
        self.peers.updated_at.is_some_and(|updated| now - updated < PERIOD)
    }
}
