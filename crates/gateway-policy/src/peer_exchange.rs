//! Peer messages: usage updates among few gateways, questions to controllers among many; requests awaiting an answer.

use crate::counters::fnv1a;
use crate::dispatch::{Gateway, NEWEST_WEIGHT, PERIOD};
use crate::interface::{Host, QuotaDecision, QuotaRequest, Usage, UsageUpdate};
use crate::quota::HISTORY;
use crate::state::{PendingRequest, RequestState};
use kitepass_time::{Duration, Timestamp};
use std::collections::VecDeque;
use std::mem::take;

pub(crate) const MESH_LOAD: f64 = 0.9; // fraction of the peers' message capacity that usage updates may use
const LOSS_FACTOR: f64 = 4.0; // questions are reduced once the loss rate exceeds the reciprocal of this
const TIMEOUT_DIVISOR: i64 = 8; // a controller's answer times out after the latency target divided by this

impl Gateway {
    /// Whether to ask the controller: there must be enough time left to decide locally if it doesn't answer.
    pub(crate) fn may_ask_controller(&mut self, time_left: Duration, latency_target: Duration) -> bool {
        self.may_ask() && time_left > latency_target / TIMEOUT_DIVISOR * 2
    }

    pub(crate) fn ask_controller(&mut self, now: Timestamp, id: &str, controller: u32, host: &mut impl Host) {
        let PendingRequest { workload, ref quota, .. } = self.requests[id];
        let (latency_target, quota) = (self.config.workloads[workload].latency_target, quota.clone());
        let sample = self.rng.rand_float();
        // The article's directive: for one period after a rejection, its ratio is applied before asking again.
        let (ratio, valid_until) = self.tenant(now, &quota, host).directive;
        if now < valid_until && sample < ratio {
            return self.admit(now, id, true, host);
        }
        self.peers.last_question = self.peers.last_question.wrapping_add(1);
        let question = format!("asked.{}", self.peers.last_question);
        host.ask_peer(controller, self.peers.last_question, &quota);
        host.set_timer(&question, latency_target / TIMEOUT_DIVISOR);
        self.await_answer(id, question, Usage::default());
    }

    /// Decides at random whether to ask; less often when many answers are missing, as the receiver may be overloaded.
    pub(crate) fn may_ask(&mut self) -> bool {
        self.rng.rand_float() < (2.0 - LOSS_FACTOR * self.peers.loss_rate).max(NEWEST_WEIGHT)
    }

    /// Makes a request wait for the answer with this name; `added` is the usage that its call adds to a sum.
    pub(crate) fn await_answer(&mut self, id: &str, answer: String, added: Usage) {
        self.peers.waiting.entry(answer).or_default().push_back((id.to_owned(), added));
        self.set_state(id, RequestState::AwaitingQuota);
    }

    /// Removes the request that has waited longest for this answer, and updates the loss rate.
    pub(crate) fn pop_waiting(&mut self, answer: &str, is_lost: bool) -> Option<(String, Usage)> {
        let next = self.peers.waiting.get_mut(answer).and_then(VecDeque::pop_front)?;
        self.peers.waiting.retain(|_, waiting| !waiting.is_empty());
        self.peers.loss_rate += (f64::from(is_lost) - self.peers.loss_rate) * NEWEST_WEIGHT;
        Some(next)
    }

    /// Resumes a waiting request with the answer; without one, it is decided by this gateway's own share.
    pub(crate) fn resume(
        &mut self,
        now: Timestamp,
        answer: &str,
        decision: Option<QuotaDecision>,
        host: &mut impl Host,
    ) {
        let Some((id, _)) = self.pop_waiting(answer, decision.is_none()) else { return };
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.is_charged = decision.is_some();
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

    /// Handles a peer's question about a request whose tenant this gateway controls.
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

    /// Handles a controller's answer; late and unknown answers are ignored.
    pub fn peer_answered(&mut self, now: Timestamp, id: u16, decision: QuotaDecision, host: &mut impl Host) {
        self.resume(now, &format!("asked.{id}"), Some(decision), host);
    }

    /// Records usage for the next update to the peers, unless there are too many for updates.
    pub(crate) fn record_usage(&mut self, id: &str, usage: Usage, host: &mut impl Host) {
        let mesh = self.config.max_peer_messages > 0.0 && !self.uses_controllers;
        let Some(tenant) = self.tenants.get_mut(id).filter(|c| mesh && c.gateways > 1.0) else { return };
        tenant.unsent_usage.offered += usage.offered;
        tenant.unsent_usage.forwarded += usage.forwarded;
        // Offered units alone trigger an update only if there is message capacity to spare.
        let is_due = usage.forwarded > 0.0 || self.peers.interval < PERIOD / 2;
        if is_due && !self.peers.unsent_tenants.iter().any(|unsent| unsent == id) {
            if self.peers.unsent_tenants.is_empty() {
                host.set_timer("tell.", self.peers.interval);
            }
            self.peers.unsent_tenants.push(id.to_owned());
        }
    }

    /// Sends peers the usage since the last update, and sets the interval by their message capacity.
    pub(crate) fn send_usage(&mut self, host: &mut impl Host) {
        let updates = |id: String| {
            let tenant = self.tenants.get_mut(&id)?;
            Some(UsageUpdate { tenant_hash: fnv1a(&id) as u32, usage: take(&mut tenant.unsent_usage) })
        };
        let updates: Vec<_> = self.peers.unsent_tenants.drain(..).filter_map(updates).collect();
        let messages = host.broadcast_usage(&updates) as f64 * f64::from(self.config.gateways);
        let interval = Duration::from_secs(1).mul_f64(messages / (MESH_LOAD * self.config.max_peer_messages));
        self.peers.interval = interval.max(PERIOD / 8);
    }

    /// Applies a peer's usage updates; those of unknown tenants are ignored.
    pub fn usage_received(&mut self, now: Timestamp, updates: &[UsageUpdate]) {
        self.peers.updated_at = Some(now);
        for update in updates {
            let known = self.peers.by_hash.get(&update.tenant_hash).and_then(|id| self.tenants.get_mut(id));
            let Some(tenant) = known else { continue };
            tenant.update(now, true);
            tenant.tokens = (tenant.tokens - update.usage.forwarded).max(tenant.tokens.min(0.0));
            tenant.peer_offered.add(now, PERIOD * HISTORY, update.usage.offered);
        }
    }

    pub(crate) fn has_updates(&self, now: Timestamp) -> bool {
        self.peers.updated_at.is_some_and(|updated| now - updated < PERIOD)
    }
}
