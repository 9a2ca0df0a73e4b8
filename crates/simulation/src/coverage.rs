//! Counts how often faults and events occurred, which shows those that a set of runs never exercised.

use std::collections::BTreeMap;
use std::fmt::{self, Display};

/// Prefix of the names of maxima, which share the map with the counters.
const MAXIMUM_PREFIX: &str = "max:";

/// Counters and maxima by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Coverage(BTreeMap<String, u64>);

impl Coverage {
    /// Increments a counter.
    pub fn count(&mut self, name: &str) {
        self.add(name, 1);
    }

    /// Adds to a counter.
    pub fn add(&mut self, name: &str, times: u64) {
        match self.0.get_mut(name) {
            Some(total) => *total += times,
            None => _ = self.0.insert(name.to_owned(), times),
        }
    }

    /// Records a value, of which the maximum is kept.
    pub fn record_maximum(&mut self, name: &str, value: u64) {
        let maximum = self.0.entry(format!("{MAXIMUM_PREFIX}{name}")).or_default();
        *maximum = (*maximum).max(value);
    }

    /// Value of a counter; 0 if it was never incremented.
    pub fn get(&self, name: &str) -> u64 {
        self.0.get(name).copied().unwrap_or_default()
    }

    /// Merges the coverage of another run: counters are summed, and the greater of two maxima is kept.
    pub fn merge(&mut self, other: &Coverage) {
        for (name, value) in &other.0 {
            match name.strip_prefix(MAXIMUM_PREFIX) {
                Some(name) => self.record_maximum(name, *value),
                None => self.add(name, *value),
            }
        }
    }
}

impl Display for Coverage {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.0.iter().try_for_each(|(name, value)| writeln!(f, "counter={name} value={value}"))
    }
}
