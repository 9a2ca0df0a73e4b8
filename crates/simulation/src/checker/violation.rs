//! The invariants and their violations.

use std::fmt::{self, Display};

/// A property that must hold in every history.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// A read shows every write that was confirmed, shown or applied before the read started, or a later one.
    NoLostWrite,
    /// A version of an item has one content.
    OneContentPerVersion,
    /// A permanently rejected change is never confirmed, shown or applied, and a confirmed change is never
    /// rejected later.
    ///
    /// A 409 is final whether or not the operator receives it. A 400 is final once an operator has received
    /// it and no other attempt of the change is pending: a change whose response was lost is sent again, and
    /// the state may have changed by then.
    RejectedStaysOut,
    /// Every write that is shown or applied was sent by an operator.
    KnownOrigin,
    /// A read shows all writes of a change or none.
    Atomicity,
    /// A read never shows items that are invalid together.
    ValidTogether,
    /// A gateway never replaces an item by an older version.
    MonotonicGateways,
    /// At most one process holds the coordinator lease.
    SingleLeaseHolder,
    /// A version of a replica set has one content.
    OneReplicaSetPerVersion,
    /// No process panics.
    NoPanic,
    /// A confirmed start or end of an evacuation is not undone.
    EvacuationsPersist,
    /// All deadlines are met.
    Deadlines,
}

/// A violation of an invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The violated invariant.
    pub invariant: Invariant,
    /// Time at which the violation was detected, in microseconds of simulated time.
    pub at: i64,
    /// Human-readable description of the violation.
    pub description: String,
}

impl Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let seconds = self.at as f64 / 1e6;
        write!(f, "violated={:?} t={seconds:.6} what={:?}", self.invariant, self.description)
    }
}
