//! Operators' requests and the responses to them.

use super::events::Event;
use super::Simulation;
use crate::history::{AttemptId, HistoryEvent, ResponseStatus};
use crate::operator::{Operation, Operator, PlannedWrite, RESPONSE_TIMEOUT};
use crate::process::OperatorResponse;
use crate::scenario::MILLISECOND;
use kitepass_time::Duration;
use std::ops::Range;

/// Range of the latency of a request or a response.
const REQUEST_DELAYS: Range<i64> = 200..3 * MILLISECOND;
/// Maximum delay of an operator that is woken to race with another.
const MAX_RACE_START_DELAY: i64 = 2 * MILLISECOND;
/// Number of operators woken for each racing change.
const OPERATORS_PER_RACING_CHANGE: usize = 4;
/// Backoff after the first failed attempt. It grows by the same time with each further attempt.
const BACKOFF: i64 = 50 * MILLISECOND;
/// Number of attempts after which the backoff stops growing.
const MAX_BACKOFF_ATTEMPTS: u32 = 8;

/// A request that was sent to a process.
pub(super) struct Attempt {
    /// The operator that waits for the response; none for requests made by a test.
    operator: Option<usize>,
    operation: Operation,
    pub(super) node: usize,
    sent_at: i64,
    /// When the request arrives at the process, which may be paused then.
    arrives_at: i64,
}

impl Simulation {
    /// An operator starts an operation or retries it.
    pub(super) fn run_operator(&mut self, operator_index: usize) {
        let operator = &self.operators[operator_index];
        if operator.operation.is_none() {
            if self.now >= self.active_until {
                return;
            }
            self.begin_operation(operator_index);
        } else if operator.awaited_attempt.is_some() {
            return;
        }
        let node = self.replica_nodes[self.operator_rng.below(self.replica_nodes.len())];
        self.send_request(operator_index, node);
    }

    fn begin_operation(&mut self, operator_index: usize) {
        let zones = self.layout.zone_names();
        let known_changes = self.registry.change_count();
        let (operation, kind) = self.registry.next_operation(&self.workload, &zones, &mut self.operator_rng);
        self.record_new_changes(known_changes);
        self.coverage.count(&format!("operation-{}", kind.name()));
        self.operators[operator_index] =
            Operator { operation: Some(operation), failed_attempts: 0, awaited_attempt: None };
        // Racing changes must be sent at about the same time.
        let racing_operators =
            self.operators.len().min(self.registry.racing_change_count() * OPERATORS_PER_RACING_CHANGE);
        for operator in 0..racing_operators {
            if self.operators[operator].operation.is_none() {
                let at = self.now + self.operator_rng.in_range(0..MAX_RACE_START_DELAY);
                self.schedule(at, Event::RunOperator { operator });
            }
        }
    }

    /// Records the changes generated after the first `known_changes` ones.
    fn record_new_changes(&mut self, known_changes: usize) {
        for (change, writes) in self.registry.changes_since(known_changes) {
            self.history.push(HistoryEvent::ChangeCreated { change, writes: writes.to_vec() });
        }
    }

    /// Sends an operator's current operation to a node.
    fn send_request(&mut self, operator_index: usize, node: usize) {
        let operator = &self.operators[operator_index];
        let Some(operation) = operator.operation.clone() else { return };
        if operator.failed_attempts > 0 {
            self.coverage.count("request-retried");
        }
        let attempt = self.add_attempt(Some(operator_index), operation, node);
        self.operators[operator_index].awaited_attempt = Some(attempt);
        let at = self.now + self.operator_rng.in_range(REQUEST_DELAYS);
        if let Some(attempt) = self.attempts.get_mut(&attempt) {
            attempt.arrives_at = at;
        }
        self.schedule(at, Event::RequestDue { attempt });
        self.schedule(self.now + RESPONSE_TIMEOUT, Event::ResponseTimeout { attempt });
    }

    fn add_attempt(&mut self, operator: Option<usize>, operation: Operation, node: usize) -> AttemptId {
        let attempt = AttemptId(self.network.next_id());
        if let Some(operator) = operator {
            self.log(format_args!(
                "event=request-sent operator={operator} attempt={attempt} node=s{node} operation={operation:?}"
            ));
        }
        if let Operation::Change(change) = operation {
            self.history.push(HistoryEvent::ChangeSent { attempt, change });
        }
        let sent_at = self.now;
        self.attempts.insert(attempt, Attempt { operator, operation, node, sent_at, arrives_at: sent_at });
        attempt
    }

    /// Sends a request for which no operator waits, and has it handled at once. [`Simulation::status_of`]
    /// returns its status.
    pub fn request(&mut self, node: usize, operation: Operation) -> AttemptId {
        let attempt = self.add_attempt(None, operation, node);
        self.request_due(attempt);
        self.after_event(node);
        attempt
    }

    /// Generates a change and sends it to a node. [`Simulation::status_of`] returns its status.
    pub fn request_change(&mut self, node: usize, writes: &[PlannedWrite]) -> AttemptId {
        let known_changes = self.registry.change_count();
        let change = self.registry.add_change(writes);
        self.record_new_changes(known_changes);
        self.request(node, Operation::Change(change))
    }

    /// The status of the response to a request, if there is one yet.
    pub fn status_of(&self, attempt: AttemptId) -> Option<ResponseStatus> {
        self.responses.get(&attempt).copied()
    }

    /// Reads all items at each running process.
    pub fn read_all_nodes(&mut self) -> Vec<AttemptId> {
        let mut reads = Vec::new();
        for node in self.replica_nodes.clone() {
            if self.nodes[node].process.is_some() {
                reads.push(self.request(node, Operation::Read));
            }
        }
        reads
    }

    /// A request arrives at a node.
    pub(super) fn request_due(&mut self, id: AttemptId) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        let (operator, node, operation) = (attempt.operator, attempt.node, attempt.operation.clone());
        let now = self.monotonic_time(node);
        let arrived_at = now - Duration::from_micros(self.now - attempt.arrives_at);
        if self.nodes[node].process.is_none() {
            // The connection is refused, so the operator does not wait for a timeout before it tries another
            // node.
            self.attempts.remove(&id);
            self.history.push(HistoryEvent::AttemptUndelivered { attempt: id });
            if let Some(operator) = self.waiting_operator(operator, id) {
                self.retry(operator, None);
            }
            return;
        }
        let at = self.now;
        self.history.push(match &operation {
            Operation::Read => HistoryEvent::ReadStarted { at, read: id, node },
            Operation::Change(_) => HistoryEvent::ChangeStarted { at, attempt: id },
            Operation::Evacuation { zone, is_evacuated } => {
                let (zone, is_evacuated) = (zone.clone(), *is_evacuated);
                HistoryEvent::EvacuationStarted { at, request: id, zone, is_evacuated }
            }
        });
        self.count_contradiction(&operation);
        let request = self.registry.to_request(&operation);
        if let Some(process) = &mut self.nodes[node].process {
            process.handle_request(now, id, request, arrived_at);
        }
    }

    /// Counts a change that arrives while the change that contradicts it is in progress at another process.
    fn count_contradiction(&mut self, operation: &Operation) {
        let Operation::Change(change) = operation else { return };
        let Some(other) = self.registry.contradicting_change(*change) else { return };
        let mut attempts = self.attempts.iter();
        let is_in_progress = attempts.any(|(id, attempt)| {
            attempt.operation == Operation::Change(other) && !self.responses.contains_key(id)
        });
        if is_in_progress {
            self.coverage.count("contradicting-changes-at-once");
        }
    }

    /// The operator of an attempt, if it still waits for that attempt's response.
    fn waiting_operator(&self, operator: Option<usize>, attempt: AttemptId) -> Option<usize> {
        operator.filter(|operator| self.operators[*operator].awaited_attempt == Some(attempt))
    }

    /// A process has responded, whether or not the response reaches the operator.
    pub(super) fn process_responded(&mut self, node: usize, id: AttemptId, response: OperatorResponse) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        let at = self.now;
        let status = response.status();
        let has_operator = attempt.operator.is_some();
        let operation = attempt.operation.clone();
        let latency_ms = (at - attempt.sent_at) as u64 / 1_000;
        if self.responses.insert(id, status).is_some() {
            let description = format!("attempt {id} received two responses");
            self.history.push(HistoryEvent::DeadlineMissed { at, description });
        }
        self.log(format_args!(
            "event=answered node=s{node} attempt={id} operation={operation:?} status={status:?} ms={latency_ms}"
        ));
        self.coverage.count(&format!("answer-{status:?}").to_lowercase());
        self.coverage.record_maximum(&format!("ms-to-{status:?}").to_lowercase(), latency_ms);
        self.record_response(id, node, &operation, &response);
        let is_confirmed_change =
            matches!(operation, Operation::Change(_)) && status == ResponseStatus::Confirmed;
        let crash = if is_confirmed_change { self.crash_at_confirmation.take() } else { None };
        if self.draw_response_loss() && has_operator {
            self.coverage.count("answer-lost");
        } else {
            let due = at + self.operator_rng.in_range(REQUEST_DELAYS);
            self.schedule(due, Event::ResponseDue { attempt: id, response });
        }
        if let Some(crash) = crash {
            self.coverage.count("crashed-at-confirmation");
            self.crash(node, crash);
        }
    }

    fn record_response(
        &mut self,
        attempt: AttemptId,
        node: usize,
        operation: &Operation,
        response: &OperatorResponse,
    ) {
        let (at, status) = (self.now, response.status());
        match (operation, response) {
            (Operation::Read, OperatorResponse::Items(items)) => {
                let items = items.clone();
                self.history.push(HistoryEvent::ReadCompleted { at, read: attempt, items });
            }
            (Operation::Read, _) => {}
            (Operation::Evacuation { .. }, _) => {
                let is_confirmed = status == ResponseStatus::Confirmed;
                self.history.push(HistoryEvent::EvacuationAnswered { at, request: attempt, is_confirmed });
            }
            (Operation::Change(change), _) => {
                let change = *change;
                self.history.push(HistoryEvent::ChangeAnswered { at, attempt, change, node, status });
            }
        }
    }

    /// Draws whether a response is lost, because of a fault or the workload.
    fn draw_response_loss(&mut self) -> bool {
        let is_faulty = self.response_loss.until > self.now;
        if is_faulty && self.operator_rng.chance(self.response_loss.percent) {
            return true;
        }
        self.operator_rng.chance(self.workload.response_loss_percent)
    }

    /// A response arrives at its operator. It is ignored unless the operator still waits for it.
    pub(super) fn response_due(&mut self, id: AttemptId, response: OperatorResponse) {
        let Some(attempt) = self.attempts.remove(&id) else { return };
        let Some(operator) = self.waiting_operator(attempt.operator, id) else { return };
        if let Operation::Change(_) = attempt.operation {
            self.history.push(HistoryEvent::ResponseReceived { attempt: id });
        }
        match (response, attempt.operation) {
            (OperatorResponse::Redirect(address), _) => return self.retry(operator, Some(address)),
            (OperatorResponse::Unavailable, _) => return self.retry(operator, None),
            (OperatorResponse::Done, Operation::Change(change)) => self.registry.add_confirmed(change),
            _ => {}
        }
        self.end_operation(operator);
    }

    /// An operator ends its operation and starts another one after a pause.
    fn end_operation(&mut self, operator: usize) {
        self.operators[operator] = Operator::default();
        let at = self.now + self.operator_rng.in_range(0..self.workload.max_pause);
        self.schedule(at, Event::RunOperator { operator });
    }

    pub(super) fn response_timeout(&mut self, id: AttemptId) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        if let Some(operator) = self.waiting_operator(attempt.operator, id) {
            if matches!(attempt.operation, Operation::Evacuation { .. }) {
                self.history.push(HistoryEvent::EvacuationAbandoned { at: self.now, request: id });
            }
            self.coverage.count("answer-timeout");
            self.retry(operator, None);
        }
    }

    /// Handles a failed attempt. The operator tries the node that it was redirected to, or a random one after
    /// a backoff.
    fn retry(&mut self, operator: usize, redirect: Option<String>) {
        self.operators[operator].awaited_attempt = None;
        if !self.operators[operator].attempt_failed() {
            self.coverage.count("operation-given-up");
            return self.end_operation(operator);
        }
        if let Some(node) = redirect.and_then(|address| self.node_by_address(&address)) {
            self.coverage.count("request-redirected");
            return self.send_request(operator, node);
        }
        let attempts = self.operators[operator].failed_attempts.min(MAX_BACKOFF_ATTEMPTS);
        let backoff = BACKOFF * i64::from(attempts);
        let at = self.now + self.operator_rng.in_range(backoff / 2..backoff + 1);
        self.schedule(at, Event::RunOperator { operator });
    }
}
