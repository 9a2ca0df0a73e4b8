//! Explores all sequences of calls to a lifecycle, including those that the server never makes, and checks each result.

use kitepass_data_plane::attempt::{
    may_reuse_connection, ConnectionState, InputState, NextStep, OverdueAttempt, RequestLifecycle,
    RequestState, ResponseClass,
};
use kitepass_data_plane::load_balancer::AttemptOutcome;
use rstest::rstest;
use std::collections::BTreeSet;

const MAX_ATTEMPTS: u32 = 2;
const CLASSES: [ResponseClass; 5] = [
    ResponseClass::Success,
    ResponseClass::ServerError,
    ResponseClass::Other,
    ResponseClass::NotExecuted(AttemptOutcome::Rejected),
    ResponseClass::Invalid,
];

/// A call to a lifecycle.
#[derive(Clone, Copy, Debug)]
enum Call {
    BeginAttempt { is_connected: bool },
    Connected,
    BytesWritten,
    BodyDropped,
    AttemptFailed,
    ResponseComplete(ResponseClass),
    ResponseExceedsBuffer(ResponseClass),
    DeliverErrorResponse,
    AttemptOverdue,
    ResumeOverdueAttempt(ResponseClass),
    OverdueAttemptFailed { may_have_executed: bool },
    DeadlineExpired,
    Reject(u16),
    ShutDown,
    ClientDisconnected,
}

fn all_calls() -> Vec<Call> {
    let mut calls = vec![
        Call::BeginAttempt { is_connected: false },
        Call::BeginAttempt { is_connected: true },
        Call::Connected,
        Call::BytesWritten,
        Call::BodyDropped,
        Call::AttemptFailed,
        Call::DeliverErrorResponse,
        Call::AttemptOverdue,
        Call::OverdueAttemptFailed { may_have_executed: true },
        Call::OverdueAttemptFailed { may_have_executed: false },
        Call::DeadlineExpired,
        Call::ShutDown,
        Call::ClientDisconnected,
    ];
    calls.extend(CLASSES.map(Call::ResponseComplete));
    calls.extend(CLASSES.map(Call::ResponseExceedsBuffer));
    calls.extend(CLASSES.map(Call::ResumeOverdueAttempt));
    calls.extend([413, 429, 503].map(Call::Reject));
    calls
}

/// The reference state of a request, which is tracked independently of its lifecycle.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Default)]
struct ReferenceState {
    is_in_flight: bool,
    /// Whether bytes of the attempt in flight were written.
    is_written: bool,
    /// Attempts whose connection was established.
    attempts_sent: u32,
    /// Attempts that are overdue and still in flight.
    overdue: u32,
    /// Attempts that have ended and may have been executed.
    maybe_executed: u32,
    is_body_dropped: bool,
    has_response_begun: bool,
    final_responses: u32,
}

impl ReferenceState {
    fn end_attempt(&mut self, may_have_executed: bool) {
        self.maybe_executed += u32::from(self.is_written && may_have_executed);
        self.is_in_flight = false;
        self.is_written = false;
    }

    fn may_have_executed(&self) -> bool {
        self.maybe_executed > 0 || self.overdue > 0 || self.is_written
    }
}

/// A lifecycle, together with the reference state of its request.
#[derive(Clone)]
struct CheckedLifecycle {
    lifecycle: RequestLifecycle,
    reference: ReferenceState,
    is_idempotent: bool,
}

impl CheckedLifecycle {
    fn is_completed(&self) -> bool {
        self.lifecycle.state() == RequestState::Completed
    }

    /// Makes a call and checks its result.
    fn apply(&mut self, call: Call) {
        let before = self.reference.clone();
        let was_completed = self.is_completed();
        let next = match call {
            Call::BeginAttempt { is_connected } => self.begin_attempt(is_connected),
            Call::Connected => {
                let was_connecting = self.lifecycle.state() == RequestState::Connecting;
                self.reference.attempts_sent += u32::from(was_connecting);
                self.lifecycle.connected();
                NextStep::Wait
            }
            Call::BytesWritten => {
                self.reference.is_written |= self.lifecycle.state() == RequestState::Connected;
                self.lifecycle.bytes_written();
                NextStep::Wait
            }
            Call::BodyDropped => {
                self.lifecycle.body_dropped();
                self.reference.is_body_dropped = true;
                NextStep::Wait
            }
            Call::AttemptFailed => {
                let next = self.lifecycle.attempt_failed();
                self.reference.end_attempt(true);
                next
            }
            Call::ResponseComplete(class) => self.response_complete(class),
            Call::ResponseExceedsBuffer(class) => self.response_exceeds_buffer(class),
            Call::DeliverErrorResponse => {
                if self.lifecycle.deliver_error_response() {
                    assert!(!before.is_in_flight && !was_completed);
                    self.reference.final_responses += 1;
                }
                NextStep::Wait
            }
            Call::AttemptOverdue => self.attempt_overdue(),
            Call::ResumeOverdueAttempt(class) => self.resume_overdue_attempt(class),
            Call::OverdueAttemptFailed { may_have_executed } => {
                self.overdue_attempt_failed(may_have_executed)
            }
            Call::DeadlineExpired => {
                let next = self.lifecycle.deadline_expired();
                assert!(was_completed || next != NextStep::Wait, "the request waits beyond its deadline");
                next
            }
            Call::Reject(status) => self.lifecycle.reject(status),
            Call::ShutDown => {
                let next = self.lifecycle.shut_down();
                let expected =
                    if before.may_have_executed() { NextStep::Abort } else { NextStep::Reject(503) };
                assert!(was_completed || next == expected, "{next:?}: {before:?}");
                next
            }
            Call::ClientDisconnected => {
                self.lifecycle.client_disconnected();
                self.reference.final_responses += u32::from(!was_completed);
                NextStep::Wait
            }
        };
        self.check_next_step(&before, next);
        self.check_state();
    }

    fn begin_attempt(&mut self, is_connected: bool) -> NextStep {
        let before = self.reference.clone();
        let was_completed = self.is_completed();
        if self.lifecycle.begin_attempt(is_connected) {
            let is_pending = !was_completed && !before.is_in_flight;
            assert!(
                is_pending && !before.is_body_dropped && before.attempts_sent < MAX_ATTEMPTS,
                "{before:?}"
            );
            assert!(self.is_idempotent || !before.may_have_executed(), "may be executed twice: {before:?}");
            self.reference.is_in_flight = true;
            self.reference.attempts_sent += u32::from(is_connected);
        }
        NextStep::Wait
    }

    fn response_complete(&mut self, class: ResponseClass) -> NextStep {
        let before = self.reference.clone();
        let was_completed = self.is_completed();
        let next = self.lifecycle.response_complete(class);
        let delivers = matches!(next, NextStep::Deliver | NextStep::RetryOrDeliver | NextStep::StreamLast);
        assert!(!delivers || before.is_written, "response to a request that was not sent: {before:?}");
        let is_for_client = matches!(class, ResponseClass::Success | ResponseClass::Other);
        assert!(next != NextStep::Deliver || is_for_client);
        assert!((next == NextStep::StreamLast) == before.has_response_begun || was_completed);
        self.reference.end_attempt(!matches!(class, ResponseClass::NotExecuted(_)));
        next
    }

    fn response_exceeds_buffer(&mut self, class: ResponseClass) -> NextStep {
        let before = self.reference.clone();
        let next = self.lifecycle.response_exceeds_buffer(class);
        match next {
            NextStep::StreamFirst => {
                assert!(before.is_written && !before.has_response_begun);
                let is_for_client = matches!(class, ResponseClass::Success | ResponseClass::Other);
                assert!(is_for_client, "a response of class {class:?} is streamed");
                self.reference.has_response_begun = true;
            }
            NextStep::StreamMore => assert!(before.has_response_begun),
            _ => self.reference.end_attempt(true),
        }
        next
    }

    fn attempt_overdue(&mut self) -> NextStep {
        let before = self.reference.clone();
        let overdue = self.lifecycle.attempt_overdue();
        if overdue != OverdueAttempt::Awaited {
            let may_retry = !before.is_body_dropped && before.attempts_sent < MAX_ATTEMPTS;
            assert!(
                before.is_in_flight && self.is_idempotent && may_retry,
                "abandoned although no retry is allowed: {before:?}"
            );
            assert_eq!(overdue == OverdueAttempt::Kept, before.is_written, "{before:?}");
            self.reference.overdue += u32::from(before.is_written);
            self.reference.end_attempt(false);
        }
        NextStep::Wait
    }

    fn resume_overdue_attempt(&mut self, class: ResponseClass) -> NextStep {
        let before = self.reference.clone();
        if self.lifecycle.resume_overdue_attempt(class) {
            assert!(before.overdue > 0 && !before.has_response_begun, "{before:?}");
            let is_last = !before.is_in_flight && before.overdue == 1;
            let is_for_client = matches!(class, ResponseClass::Success | ResponseClass::Other);
            assert!(
                is_for_client || is_last && class == ResponseClass::ServerError,
                "a response of class {class:?} replaces an attempt in flight: {before:?}"
            );
            self.reference.end_attempt(true);
            self.reference.overdue -= 1;
            self.reference.is_in_flight = true;
            self.reference.is_written = true;
        }
        NextStep::Wait
    }

    fn overdue_attempt_failed(&mut self, may_have_executed: bool) -> NextStep {
        let before = self.reference.clone();
        let next = self.lifecycle.overdue_attempt_failed(may_have_executed);
        if before.overdue > 0 {
            self.reference.overdue -= 1;
            self.reference.maybe_executed += u32::from(may_have_executed);
        }
        let was_last = before.overdue == 1 && !before.is_in_flight && !self.is_completed();
        assert_eq!(next == NextStep::Retry, was_last, "{before:?}");
        next
    }

    /// Checks that what the client gets matches the reference state.
    fn check_next_step(&mut self, before: &ReferenceState, next: NextStep) {
        match next {
            NextStep::Reject(status) => {
                assert!(
                    !before.has_response_begun,
                    "the gateway's response follows the start of another one"
                );
                let means_not_executed = matches!(status, 408 | 421 | 429 | 503);
                let may_have_executed = before.may_have_executed();
                assert!(
                    !means_not_executed || !may_have_executed,
                    "{status} may be wrong, the request may have been executed: {before:?}"
                );
                self.reference.final_responses += 1;
            }
            NextStep::Deliver | NextStep::StreamLast => self.reference.final_responses += 1,
            NextStep::Abort => {
                let has_reason = before.has_response_begun || before.may_have_executed();
                assert!(has_reason, "aborted without a reason: {before:?}");
                self.reference.final_responses += 1;
            }
            _ => {}
        }
    }

    /// Checks that what the lifecycle reports matches the reference state.
    fn check_state(&self) {
        let CheckedLifecycle { lifecycle, reference, is_idempotent } = self;
        let is_completed = self.is_completed();
        let may_have_executed = reference.may_have_executed();
        assert!(reference.final_responses <= 1, "more than one final response: {reference:?}");
        assert_eq!(reference.final_responses == 1, is_completed, "{lifecycle:?} {reference:?}");
        assert!(
            !lifecycle.may_attempt() || *is_idempotent || !may_have_executed,
            "{lifecycle:?} {reference:?}"
        );
        let awaits_overdue_attempt = reference.overdue > 0 && !reference.is_in_flight && !is_completed;
        assert_eq!(lifecycle.awaits_overdue_attempt(), awaits_overdue_attempt, "{lifecycle:?} {reference:?}");
        let promises_no_execution = lifecycle.rejection_status() == 503;
        assert!(is_completed || promises_no_execution != may_have_executed, "{lifecycle:?} {reference:?}");
    }
}

#[rstest]
#[case::non_idempotent(false)]
#[case::idempotent(true)]
fn every_call_is_answered_by_what_is_true(#[case] is_idempotent: bool) {
    let lifecycle = RequestLifecycle::new(is_idempotent, MAX_ATTEMPTS);
    let mut seen = BTreeSet::new();
    let mut frontier =
        vec![CheckedLifecycle { lifecycle, reference: ReferenceState::default(), is_idempotent }];
    let mut calls = 0u64;
    while !frontier.is_empty() {
        let mut next = Vec::new();
        for checked in frontier {
            for call in all_calls() {
                let mut checked = checked.clone();
                calls += 1;
                checked.apply(call);
                if seen.insert((format!("{:?}", checked.lifecycle), checked.reference.clone())) {
                    next.push(checked);
                }
            }
        }
        frontier = next;
    }
    println!("is_idempotent={is_idempotent}: calls={calls} states={}", seen.len());
}

#[rstest]
#[case::clean(ResponseClass::Success, InputState::Open, 0, 0, true, true)]
#[case::invalid(ResponseClass::Invalid, InputState::Open, 0, 0, true, false)]
#[case::ended(ResponseClass::Success, InputState::Ended, 0, 0, true, false)]
#[case::broken(ResponseClass::Success, InputState::Broken, 0, 0, true, false)]
#[case::unread_bytes(ResponseClass::Success, InputState::Open, 1, 0, true, false)]
#[case::unsent_bytes(ResponseClass::Success, InputState::Open, 0, 1, true, false)]
#[case::body_not_finished(ResponseClass::Success, InputState::Open, 0, 0, false, false)]
fn only_a_clean_connection_is_kept(
    #[case] class: ResponseClass,
    #[case] input_state: InputState,
    #[case] unread_bytes: usize,
    #[case] unsent_bytes: usize,
    #[case] is_request_finished: bool,
    #[case] is_kept: bool,
) {
    let connection_state = ConnectionState { input_state, unread_bytes, unsent_bytes, is_request_finished };
    assert_eq!(may_reuse_connection(class, connection_state), is_kept);
}
