//! The invariants, and what a violation of one says.

use std::fmt::{self, Display};

/// What must hold in each history.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// A read shows every write that was confirmed, shown or applied before the read started, or a later one.
    NoLostWrite,
    /// A version of an item has one content.
    OneContentPerVersion,
    /// A change that was rejected for good is never confirmed, shown or applied, and one that was confirmed is never
    /// rejected later.
    ///
    /// A 409 is final whether or not an operator gets it. A 400 is final once an operator has got it and no other
    /// attempt of the change is open: one whose answer is lost is sent again, and the state may be another by then.
    RejectedStaysOut,
    /// What is shown or applied was sent by an operator.
    KnownOrigin,
    /// A read shows all writes of a change or none.
    Atomicity,
    /// A gateway never goes back to an older version of an item.
    MonotonicGateways,
    /// At most one process holds the coordinator's lease.
    SingleLeaseHolder,
    /// A version of a replica set has one content.
    OneReplicaSetPerVersion,
    /// No process panics.
    NoPanic,
    /// A confirmed evacuation, or its end, is not undone.
    EvacuationsPersist,
    /// Bounds in time are met.
    Deadlines,
}

/// An invariant that does not hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Which one.
    pub invariant: Invariant,
    /// When that showed, in microseconds of the simulation.
    pub at: i64,
    /// What was seen, for people.
    pub description: String,
}

impl Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let seconds = self.at as f64 / 1e6;
        write!(f, "violated={:?} t={seconds:.6} what={:?}", self.invariant, self.description)
    }
}
