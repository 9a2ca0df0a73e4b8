//! What is drawn. Each use has its own stream, so that a trouble that is left out moves no other trouble.

pub struct Rng(oorandom::Rand64);

impl Rng {
    pub fn new(seed: u64, stream: u64) -> Rng {
        Rng(oorandom::Rand64::new(u128::from(stream) << 64 | u128::from(seed)))
    }

    pub fn draw(&mut self) -> u64 {
        self.0.rand_u64()
    }

    /// Below `end`; 0 where that is 0.
    pub fn below(&mut self, end: usize) -> usize {
        self.0.rand_range(0..end.max(1) as u64) as usize
    }

    /// From `least` to below `end`.
    pub fn among(&mut self, least: i64, end: i64) -> i64 {
        least + self.0.rand_range(0..(end - least).max(1) as u64) as i64
    }

    /// True so often in a hundred.
    pub fn percent(&mut self, part: u64) -> bool {
        self.0.rand_range(0..100) < part
    }

    pub fn one_of<'a, T>(&mut self, all: &'a [T]) -> Option<&'a T> {
        all.get(self.below(all.len()))
    }
}
