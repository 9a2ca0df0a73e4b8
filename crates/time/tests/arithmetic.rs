//! Tests of the operators and conversions, including the limits of their range.

use kitepass_time::{Duration, Timestamp};

const MAX: Duration = Duration::from_micros(i64::MAX);
const MIN: Duration = Duration::from_micros(i64::MIN);

fn micros(micros: i64) -> Duration {
    Duration::from_micros(micros)
}

#[test]
fn differences_are_signed() {
    let (early, late) = (Timestamp::from_micros(10), Timestamp::from_micros(30));
    assert_eq!((late - early, early - late), (micros(20), micros(-20)));
    assert_eq!((early + micros(20), late - micros(20)), (late, early));
    assert_eq!(micros(5) - micros(7), micros(-2));
}

#[test]
fn operators_saturate() {
    let (first, last) = (Timestamp::from_micros(i64::MIN), Timestamp::from_micros(i64::MAX));
    assert_eq!((last - first, first - last), (MAX, MIN));
    assert_eq!((last + micros(1), first - micros(1)), (last, first));
    assert_eq!((MAX + micros(1), MIN - micros(1)), (MAX, MIN));
    assert_eq!((MAX * 2, MIN * 2), (MAX, MIN));
    assert_eq!((MAX.mul_f64(1e9), MIN.mul_f64(1e9)), (MAX, MIN));
}

#[test]
fn multiplication_division_and_ratios() {
    assert_eq!((micros(7) * 3, micros(7) / 2, micros(-7) / 2), (micros(21), micros(3), micros(-3)));
    assert_eq!((micros(7) / 0, micros(7) / -2), (micros(7), micros(7)));
    assert_eq!((micros(10).mul_f64(0.19), micros(-10).mul_f64(0.19)), (micros(1), micros(-1)));
    assert_eq!(micros(10).mul_f64(f64::NAN), Duration::ZERO);
    assert_eq!(micros(30).ratio_to(micros(20)), 1.5);
    assert_eq!(
        (micros(30).ratio_to(Duration::ZERO), Duration::ZERO.ratio_to(Duration::ZERO)),
        (f64::MAX, f64::MAX)
    );
}

#[test]
fn conversions_from_and_to_seconds_and_micros() {
    assert_eq!(Duration::from_secs(-3), micros(-3_000_000));
    assert_eq!(micros(2_500_000).as_secs(), 2.5);
    assert_eq!((Timestamp::from_micros(7).as_micros(), micros(-7).as_micros()), (7, -7));
}

#[test]
fn periods_are_numbered_from_the_origin() {
    let period = micros(10);
    assert_eq!(Timestamp::from_micros(25).period_and_offset(period), (2, micros(5)));
    assert_eq!(Timestamp::from_micros(20).period_and_offset(period), (2, Duration::ZERO));
    assert_eq!(Timestamp::from_micros(-1).period_and_offset(period), (-1, micros(9)));
    assert_eq!(Timestamp::from_micros(3).period_and_offset(Duration::ZERO), (3, Duration::ZERO));
}
