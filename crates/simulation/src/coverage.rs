//! How often each thing came up, so that one that never did shows.

use std::collections::BTreeMap;
use std::fmt::{self, Display};

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Coverage(BTreeMap<String, u64>);

impl Coverage {
    pub fn count(&mut self, what: &str) {
        self.add(what, 1);
    }

    pub fn add(&mut self, what: &str, times: u64) {
        match self.0.get_mut(what) {
            Some(known) => *known += times,
            None => _ = self.0.insert(what.to_owned(), times),
        }
    }

    /// The greatest that was seen.
    pub fn most(&mut self, what: &str, value: u64) {
        let known = self.0.entry(format!("most:{what}")).or_default();
        *known = (*known).max(value);
    }

    pub fn of(&self, what: &str) -> u64 {
        self.0.get(what).copied().unwrap_or_default()
    }

    pub fn join(&mut self, other: &Coverage) {
        for (what, times) in &other.0 {
            match what.strip_prefix("most:") {
                Some(what) => self.most(what, *times),
                None => self.add(what, *times),
            }
        }
    }
}

impl Display for Coverage {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.0.iter().try_for_each(|(what, times)| writeln!(f, "came={what} times={times}"))
    }
}
