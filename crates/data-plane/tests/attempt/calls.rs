//! All orders of calls to a way, also such as no server makes: each of its answers holds by itself, whoever asks.

use kitepass_data_plane::attempt::{
    may_keep_connection, ConnectionRemains, InputState, NextStep, RequestLifecycle, RequestState,
    ResponseClass,
};
use kitepass_data_plane::load_balancer::AttemptOutcome;
use rstest::rstest;
use std::collections::BTreeSet;

const VERDICTS: [ResponseClass; 5] = [
    ResponseClass::Success,
    ResponseClass::ServerError,
    ResponseClass::Other,
    ResponseClass::NotExecuted(AttemptOutcome::Rejected),
    ResponseClass::Invalid,
];

/// What is true of a request, kept beside its way.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Default)]
struct Truth {
    /// A leg is out; its bytes were written.
    out: bool,
    written: bool,
    /// Legs whose connection was there, and that may run or have run.
    made: u32,
    may_run: u32,
    passed: bool,
    begun_answer: bool,
    finals: u32,
}

impl Truth {
    fn leg_over(&mut self, ran: bool) {
        self.may_run += u32::from(self.written && ran);
        (self.out, self.written) = (false, false);
    }

    fn runs(&self) -> bool {
        self.may_run > 0 || self.written
    }
}

fn step(way: &mut RequestLifecycle, truth: &mut Truth, call: usize, repeats: bool) {
    let (was, settled) = (truth.clone(), way.state() == RequestState::Completed);
    let next = match call {
        0 | 1 => {
            if way.begin_attempt(call == 1) {
                assert!(!settled && !was.out && !was.passed && was.made < 2, "{truth:?}");
                assert!(repeats || !was.runs(), "sent twice: {truth:?}");
                truth.out = true;
                truth.made += u32::from(call == 1);
            }
            NextStep::Wait
        }
        2 => {
            truth.made += u32::from(way.state() == RequestState::Connecting);
            way.connected();
            NextStep::Wait
        }
        3 => {
            truth.written |= way.state() == RequestState::Connected;
            way.bytes_written();
            NextStep::Wait
        }
        4 => {
            way.body_dropped();
            truth.passed = true;
            NextStep::Wait
        }
        5 => {
            let next = way.attempt_failed();
            truth.leg_over(true);
            next
        }
        6..=10 => {
            let class = VERDICTS[call - 6];
            let next = way.response_complete(class);
            let delivers =
                matches!(next, NextStep::Deliver | NextStep::RetryOrDeliver | NextStep::StreamLast);
            assert!(!delivers || was.written, "an answer to what was not sent: {truth:?}");
            assert!(
                next != NextStep::Deliver || matches!(class, ResponseClass::Success | ResponseClass::Other)
            );
            assert!((next == NextStep::StreamLast) == was.begun_answer || settled);
            truth.leg_over(!matches!(class, ResponseClass::NotExecuted(_)));
            next
        }
        11..=15 => {
            let class = VERDICTS[call - 11];
            let next = way.response_exceeds_buffer(class);
            match next {
                NextStep::StreamFirst => {
                    assert!(was.written && !was.begun_answer);
                    assert!(
                        matches!(class, ResponseClass::Success | ResponseClass::Other),
                        "{class:?} passes"
                    );
                    truth.begun_answer = true;
                }
                NextStep::StreamMore => assert!(was.begun_answer),
                _ => truth.leg_over(true),
            }
            next
        }
        16 => {
            if way.deliver_error_response() {
                assert!(!was.out && !settled);
                truth.finals += 1;
            }
            NextStep::Wait
        }
        17 => {
            if way.abandon_overdue_attempt() {
                assert!(was.out && repeats && !was.passed && was.made < 2, "left for nothing: {truth:?}");
                truth.leg_over(true);
            }
            NextStep::Wait
        }
        18 => {
            let next = way.deadline_expired();
            assert!(settled || next != NextStep::Wait, "it waits beyond its deadline");
            next
        }
        19..=21 => way.reject([413, 429, 503][call - 19]),
        22 => {
            let next = way.shut_down();
            let ends = if was.runs() { NextStep::Abort } else { NextStep::Reject(503) };
            assert!(settled || next == ends, "{next:?}: {truth:?}");
            next
        }
        _ => {
            way.client_gone();
            truth.finals += u32::from(!settled);
            NextStep::Wait
        }
    };
    match next {
        NextStep::Reject(status) => {
            assert!(!was.begun_answer, "an answer behind the beginning of another");
            let promise = matches!(status, 408 | 421 | 429 | 503);
            assert!(!promise || !was.runs(), "{status} for what may have run: {truth:?}");
            truth.finals += 1;
        }
        NextStep::Deliver | NextStep::StreamLast => truth.finals += 1,
        NextStep::Abort => {
            assert!(was.begun_answer || was.runs(), "broken off for nothing: {truth:?}");
            truth.finals += 1;
        }
        _ => {}
    }
    assert!(truth.finals <= 1, "a second end: {truth:?}");
    assert_eq!(truth.finals == 1, way.state() == RequestState::Completed, "{way:?} {truth:?}");
    assert!(!way.may_attempt() || repeats || !truth.runs(), "{way:?} {truth:?}");
    let over = way.state() == RequestState::Completed;
    assert!(over || (way.rejection_status() == 503) != truth.runs(), "{way:?} {truth:?}");
}

#[rstest]
#[case::once(false)]
#[case::safe(true)]
fn every_call_is_answered_by_what_is_true(#[case] repeats: bool) {
    let mut seen = BTreeSet::new();
    let mut edge = vec![(RequestLifecycle::new(repeats, 2), Truth::default())];
    let mut calls = 0u64;
    while !edge.is_empty() {
        let mut next = Vec::new();
        for (way, truth) in edge {
            for call in 0..24 {
                let (mut way, mut truth) = (way.clone(), truth.clone());
                calls += 1;
                step(&mut way, &mut truth, call, repeats);
                if seen.insert((format!("{way:?}"), truth.clone())) {
                    next.push((way, truth));
                }
            }
        }
        edge = next;
    }
    println!("repeats={repeats}: calls={calls} states={}", seen.len());
}

#[rstest]
#[case::clean(ResponseClass::Success, InputState::Open, 0, 0, true, true)]
#[case::spoilt(ResponseClass::Invalid, InputState::Open, 0, 0, true, false)]
#[case::ended(ResponseClass::Success, InputState::Ended, 0, 0, true, false)]
#[case::broken(ResponseClass::Success, InputState::Broken, 0, 0, true, false)]
#[case::bytes_behind(ResponseClass::Success, InputState::Open, 1, 0, true, false)]
#[case::unsent(ResponseClass::Success, InputState::Open, 0, 1, true, false)]
#[case::body_not_whole(ResponseClass::Success, InputState::Open, 0, 0, false, false)]
fn only_a_clean_connection_rests(
    #[case] class: ResponseClass,
    #[case] tail: InputState,
    #[case] unread: usize,
    #[case] unsent: usize,
    #[case] finished: bool,
    #[case] rests: bool,
) {
    assert_eq!(
        may_keep_connection(
            class,
            ConnectionRemains {
                input_state: tail,
                unread_bytes: unread,
                unsent_bytes: unsent,
                is_request_finished: finished
            }
        ),
        rests
    );
}
