//! Usage reports to the control plane's shared quota counter, and the quota decisions that follow from its replies.

use super::downstream::Client;
use super::Server;
use crate::quota::{Decision, PERIOD};
use kitepass_coordination::protocol::{Message, TenantUsage, UsageReport, UsageTotals};
use kitepass_time::{Duration, Timestamp};

/// How long a report waits for a reply before it is discarded.
const REPORT_TIMEOUT: Duration = Duration::from_micros(PERIOD.as_micros() * 3);

impl Server {
    /// Reports the usage of the ended period and requests the totals.
    pub(super) fn report_usage(&mut self, now: Timestamp) {
        let usage = self.quota.close_period(now);
        self.send_usage_report(now, usage, false);
    }

    /// Sends a usage report. An empty report is sent too: without it, the owner of the counter would not reserve a share
    /// of the quota for this gateway.
    fn send_usage_report(&mut self, now: Timestamp, tenants: Vec<TenantUsage>, is_mid_period: bool) {
        if self.control_connection.is_none() {
            return;
        }
        self.last_report_id += 1;
        self.pending_reports.insert(self.last_report_id, now);
        self.pending_reports.retain(|_, sent_at| now - *sent_at < REPORT_TIMEOUT);
        self.control_session.outgoing.push(Message::UsageReport(UsageReport {
            request_id: self.last_report_id,
            node_id: self.settings.node_id.clone(),
            tenants,
            incarnation: self.incarnation,
            is_mid_period,
        }));
    }

    /// Processes the reply to a report. Replies for another incarnation of the gateway are ignored.
    pub(super) fn receive_totals(&mut self, now: Timestamp, totals: &UsageTotals) {
        if totals.incarnation != self.incarnation {
            return;
        }
        if let Some(sent_at) = self.pending_reports.remove(&totals.request_id) {
            self.quota.apply_totals(now, sent_at, totals);
        }
    }

    /// Starts or rejects requests whose quota decision has been made, and requests grants for those that wait.
    pub(super) fn apply_quota_decisions(&mut self, now: Timestamp) {
        loop {
            let decisions = self.quota.take_decisions();
            if decisions.is_empty() {
                break;
            }
            for decision in decisions {
                self.apply_quota_decision(now, decision);
            }
        }
        let grant_requests = self.quota.take_grant_requests();
        if !grant_requests.is_empty() {
            self.send_usage_report(now, grant_requests, true);
        }
    }

    fn apply_quota_decision(&mut self, now: Timestamp, decision: Decision) {
        let id = decision.request;
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.awaits_quota = false;
        if !decision.is_admitted {
            self.reject(now, id, 429);
        } else if request.is_ready_to_send() {
            let client = request.info.client;
            self.start_next_attempt(now, id);
            // The poller reports no further event for data that is already in the client's socket.
            if self.clients.get(&client).is_some_and(Client::has_input) {
                self.resumable_clients.insert(client);
            }
        }
    }
}
