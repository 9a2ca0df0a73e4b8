//! Seeded random numbers. Each part of a run draws from its own stream, so that removing a fault does not
//! change the numbers that the other parts draw.

use std::ops::Range;

/// The part of a run that draws from a generator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RandomStream {
    /// The layout and the faults, drawn before the run.
    Scenario,
    /// Network delays, disks, restarts and the endpoint list.
    Environment,
    /// The operators' operations and their timing.
    Operators,
}

impl RandomStream {
    /// Part of the generator's seed, so it must never change.
    fn id(self) -> u128 {
        match self {
            RandomStream::Scenario => 1,
            RandomStream::Environment => 2,
            RandomStream::Operators => 3,
        }
    }
}

/// A seeded pseudo-random number generator (the PCG of `oorandom`).
pub struct Rng(oorandom::Rand64);

impl Rng {
    /// The generator of one stream of a run.
    pub fn new(seed: u64, stream: RandomStream) -> Rng {
        Rng(oorandom::Rand64::new(stream.id() << 64 | u128::from(seed)))
    }

    /// A random 64-bit number.
    pub fn next_u64(&mut self) -> u64 {
        self.0.rand_u64()
    }

    /// A random number below `end`; 0 if `end` is 0.
    pub fn below(&mut self, end: usize) -> usize {
        self.0.rand_range(0..end.max(1) as u64) as usize
    }

    /// A random number in the range; its start if the range is empty.
    pub fn in_range(&mut self, range: Range<i64>) -> i64 {
        range.start + self.0.rand_range(0..(range.end - range.start).max(1) as u64) as i64
    }

    /// True with the given probability in percent.
    pub fn chance(&mut self, percent: u64) -> bool {
        self.0.rand_range(0..100) < percent
    }

    /// A random element, or none if the slice is empty. Draws a number in either case.
    pub fn choose<'a, T>(&mut self, options: &'a [T]) -> Option<&'a T> {
        options.get(self.below(options.len()))
    }
}
