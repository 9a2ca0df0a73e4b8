//! How often each thing came up in a run, so that one that never did shows.

use std::collections::BTreeMap;
use std::fmt::{self, Display};

/// Marks the names of maxima among the counters.
const MAXIMUM_PREFIX: &str = "max:";

/// Counters and maxima by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Coverage(BTreeMap<String, u64>);

impl Coverage {
    /// Adds one to a counter.
    pub fn count(&mut self, name: &str) {
        self.add(name, 1);
    }

    /// Adds to a counter.
    pub fn add(&mut self, name: &str, times: u64) {
        match self.0.get_mut(name) {
            Some(known) => *known += times,
            None => _ = self.0.insert(name.to_owned(), times),
        }
    }

    /// Keeps the greatest value that was seen under a name.
    pub fn record_maximum(&mut self, name: &str, value: u64) {
        let known = self.0.entry(format!("{MAXIMUM_PREFIX}{name}")).or_default();
        *known = (*known).max(value);
    }

    /// A counter's value; 0 if it was never counted.
    pub fn get(&self, name: &str) -> u64 {
        self.0.get(name).copied().unwrap_or_default()
    }

    /// Takes another run in: counters are added up, of maxima the greater one stays.
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
