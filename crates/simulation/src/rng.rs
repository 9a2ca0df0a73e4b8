//! Seeded random numbers. Each user draws from a stream of its own, so that leaving out one fault changes no draw
//! that the others depend on.

use std::ops::Range;

/// Which part of a run draws its random numbers from a generator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RandomStream {
    /// What a seed brings: the layout and the faults. Drawn before the run.
    Scenario,
    /// Network delays, disks, restarts and the platform.
    Environment,
    /// What the operators do, and when.
    Operators,
}

impl RandomStream {
    /// Part of the generator's seed: never renumber.
    fn id(self) -> u128 {
        match self {
            RandomStream::Scenario => 1,
            RandomStream::Environment => 2,
            RandomStream::Operators => 3,
        }
    }
}

/// A seeded pseudo-random generator (PCG, as `oorandom` has it).
pub struct Rng(oorandom::Rand64);

impl Rng {
    /// The generator of one stream of a run.
    pub fn new(seed: u64, stream: RandomStream) -> Rng {
        Rng(oorandom::Rand64::new(stream.id() << 64 | u128::from(seed)))
    }

    /// Any 64-bit number.
    pub fn next_u64(&mut self) -> u64 {
        self.0.rand_u64()
    }

    /// A number below `end`; 0 if `end` is 0.
    pub fn below(&mut self, end: usize) -> usize {
        self.0.rand_range(0..end.max(1) as u64) as usize
    }

    /// A number in a range; its start if the range is empty.
    pub fn in_range(&mut self, range: Range<i64>) -> i64 {
        range.start + self.0.rand_range(0..(range.end - range.start).max(1) as u64) as i64
    }

    /// True with the given probability in percent.
    pub fn chance(&mut self, percent: u64) -> bool {
        self.0.rand_range(0..100) < percent
    }

    /// One of the options; none if there are none. Draws in either case.
    pub fn choose<'a, T>(&mut self, options: &'a [T]) -> Option<&'a T> {
        options.get(self.below(options.len()))
    }
}
