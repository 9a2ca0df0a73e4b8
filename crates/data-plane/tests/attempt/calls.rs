//! All orders of calls to a way, also such as no server makes: each of its answers holds by itself, whoever asks.

use kitepass_data_plane::attempt::{may_rest, Next, State, Tail, Verdict, Way};
use kitepass_data_plane::load_balancer::End;
use rstest::rstest;
use std::collections::BTreeSet;

const VERDICTS: [Verdict; 5] =
    [Verdict::Good, Verdict::Failed, Verdict::PassOn, Verdict::NotRun(End::TurnedAway), Verdict::Spoilt];

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

fn step(way: &mut Way, truth: &mut Truth, call: usize, repeats: bool) {
    let (was, settled) = (truth.clone(), way.state() == State::Settled);
    let next = match call {
        0 | 1 => {
            if way.begin(call == 1) {
                assert!(!settled && !was.out && !was.passed && was.made < 2, "{truth:?}");
                assert!(repeats || !was.runs(), "sent twice: {truth:?}");
                truth.out = true;
                truth.made += u32::from(call == 1);
            }
            Next::Wait
        }
        2 => {
            truth.made += u32::from(way.state() == State::Connecting);
            way.made();
            Next::Wait
        }
        3 => {
            truth.written |= way.state() == State::Handed;
            way.wrote();
            Next::Wait
        }
        4 => {
            way.passed();
            truth.passed = true;
            Next::Wait
        }
        5 => {
            let next = way.lost();
            truth.leg_over(true);
            next
        }
        6..=10 => {
            let verdict = VERDICTS[call - 6];
            let next = way.answered(verdict);
            let delivers = matches!(next, Next::Deliver | Next::AgainOrDeliver | Next::PassEnd);
            assert!(!delivers || was.written, "an answer to what was not sent: {truth:?}");
            assert!(next != Next::Deliver || matches!(verdict, Verdict::Good | Verdict::PassOn));
            assert!((next == Next::PassEnd) == was.begun_answer || settled);
            truth.leg_over(!matches!(verdict, Verdict::NotRun(_)));
            next
        }
        11..=15 => {
            let verdict = VERDICTS[call - 11];
            let next = way.is_long(verdict);
            match next {
                Next::PassFirst => {
                    assert!(was.written && !was.begun_answer);
                    assert!(matches!(verdict, Verdict::Good | Verdict::PassOn), "{verdict:?} passes");
                    truth.begun_answer = true;
                }
                Next::PassOn => assert!(was.begun_answer),
                _ => truth.leg_over(true),
            }
            next
        }
        16 => {
            if way.deliver() {
                assert!(!was.out && !settled);
                truth.finals += 1;
            }
            Next::Wait
        }
        17 => {
            if way.overdue() {
                assert!(was.out && repeats && !was.passed && was.made < 2, "left for nothing: {truth:?}");
                truth.leg_over(true);
            }
            Next::Wait
        }
        18 => {
            let next = way.deadline();
            assert!(settled || next != Next::Wait, "it waits beyond its deadline");
            next
        }
        19..=21 => way.refuse([413, 429, 503][call - 19]),
        22 => {
            let next = way.end();
            let ends = if was.runs() { Next::BreakOff } else { Next::Refuse(503) };
            assert!(settled || next == ends, "{next:?}: {truth:?}");
            next
        }
        _ => {
            way.gone();
            truth.finals += u32::from(!settled);
            Next::Wait
        }
    };
    match next {
        Next::Refuse(status) => {
            assert!(!was.begun_answer, "an answer behind the beginning of another");
            let promise = matches!(status, 408 | 421 | 429 | 503);
            assert!(!promise || !was.runs(), "{status} for what may have run: {truth:?}");
            truth.finals += 1;
        }
        Next::Deliver | Next::PassEnd => truth.finals += 1,
        Next::BreakOff => {
            assert!(was.begun_answer || was.runs(), "broken off for nothing: {truth:?}");
            truth.finals += 1;
        }
        _ => {}
    }
    assert!(truth.finals <= 1, "a second end: {truth:?}");
    assert_eq!(truth.finals == 1, way.state() == State::Settled, "{way:?} {truth:?}");
    assert!(!way.may_follow() || repeats || !truth.runs(), "{way:?} {truth:?}");
    let over = way.state() == State::Settled;
    assert!(over || (way.refusal() == 503) != truth.runs(), "{way:?} {truth:?}");
}

#[rstest]
#[case::once(false)]
#[case::safe(true)]
fn every_call_is_answered_by_what_is_true(#[case] repeats: bool) {
    let mut seen = BTreeSet::new();
    let mut edge = vec![(Way::new(repeats, 2), Truth::default())];
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
#[case::clean(Verdict::Good, Tail::Open, 0, 0, true, true)]
#[case::spoilt(Verdict::Spoilt, Tail::Open, 0, 0, true, false)]
#[case::ended(Verdict::Good, Tail::Ended, 0, 0, true, false)]
#[case::broken(Verdict::Good, Tail::Broken, 0, 0, true, false)]
#[case::bytes_behind(Verdict::Good, Tail::Open, 1, 0, true, false)]
#[case::unsent(Verdict::Good, Tail::Open, 0, 1, true, false)]
#[case::body_not_whole(Verdict::Good, Tail::Open, 0, 0, false, false)]
fn only_a_clean_connection_rests(
    #[case] verdict: Verdict,
    #[case] tail: Tail,
    #[case] unread: usize,
    #[case] unsent: usize,
    #[case] finished: bool,
    #[case] rests: bool,
) {
    assert_eq!(may_rest(verdict, tail, unread, unsent, finished), rests);
}
