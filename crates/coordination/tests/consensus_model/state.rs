//! The state of a system: replicas, proposers, and messages in flight.

use super::setup::BitSet;
use kitepass_coordination::consensus::{Acceptor, Ballot};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Node {
    pub(super) acceptor: Acceptor,
    /// The proposals that it knows to be committed.
    pub(super) committed: BitSet,
    pub(super) disk: BTreeMap<Vec<u8>, Vec<u8>>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Phase {
    Preparing {
        ballot: Ballot,
        responded: BitSet,
    },
    Accepting {
        ballot: Ballot,
        accepted: BitSet,
    },
    Rejecting {
        ballot: Ballot,
        accepted: BitSet,
    },
    Confirmed,
    /// Another proposal with other content is committed.
    Conflicting,
    /// Its content was rejected.
    Rejected,
    /// Its attempts are spent.
    GivenUp,
}

impl Phase {
    pub(super) fn ballot(&self) -> Option<Ballot> {
        match self {
            Phase::Preparing { ballot, .. }
            | Phase::Accepting { ballot, .. }
            | Phase::Rejecting { ballot, .. } => Some(*ballot),
            Phase::Confirmed | Phase::Conflicting | Phase::Rejected | Phase::GivenUp => None,
        }
    }

    /// The replicas that have answered so far.
    pub(super) fn replicas_mut(&mut self) -> Option<&mut BitSet> {
        match self {
            Phase::Preparing { responded: replicas, .. }
            | Phase::Accepting { accepted: replicas, .. }
            | Phase::Rejecting { accepted: replicas, .. } => Some(replicas),
            Phase::Confirmed | Phase::Conflicting | Phase::Rejected | Phase::GivenUp => None,
        }
    }

    pub(super) fn replicas(&self) -> Option<BitSet> {
        self.clone().replicas_mut().copied()
    }

    /// Whether the proposer has its answer.
    pub(super) fn is_answered(&self) -> bool {
        matches!(self, Phase::Confirmed | Phase::Conflicting | Phase::Rejected)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Proposer {
    pub(super) incarnation: u64,
    /// The proposal that it wants committed, and the one that it works on now.
    pub(super) goal: usize,
    pub(super) target: usize,
    pub(super) attempts_left: u8,
    /// The highest ballot that it has met.
    pub(super) highest_ballot: Ballot,
    /// The proposals that it knows to be committed.
    pub(super) committed: BitSet,
    pub(super) observed: BTreeMap<usize, Ballot>,
    pub(super) rejected: BTreeMap<usize, Ballot>,
    pub(super) phase: Phase,
}

impl Proposer {
    /// Whether it waits for responses in phase 2 under this ballot.
    pub(super) fn awaits(&self, under: Ballot) -> bool {
        matches!(
            self.phase,
            Phase::Accepting { ballot, .. } | Phase::Rejecting { ballot, .. } if ballot == under
        )
    }
}

/// An accept request in flight to a replica.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct AcceptRequest {
    pub(super) replica: usize,
    pub(super) ballot: Ballot,
    pub(super) proposal: usize,
    /// A replica has accepted the proposal before.
    pub(super) was_accepted_before: bool,
    /// The proposal is to be rejected, not accepted.
    pub(super) rejects: bool,
    /// It is delivered only once the replica knows these to be committed.
    pub(super) required: BitSet,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct State {
    pub(super) nodes: Vec<Node>,
    pub(super) proposers: Vec<Proposer>,
    pub(super) in_flight: BTreeSet<AcceptRequest>,
    /// Which replicas ever accepted what; nobody in the system knows this.
    pub(super) accepted: BTreeMap<(Ballot, usize), BitSet>,
    /// What a write quorum has accepted; nobody in the system knows this either.
    pub(super) chosen: BitSet,
    /// What some proposer takes to be committed.
    pub(super) committed: BitSet,
    pub(super) restarts: u8,
    pub(super) lost: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Action {
    /// A replica handles a proposer's prepare request; the response arrives or is lost.
    Prepare { proposer: usize, replica: usize, is_response_delivered: bool },
    /// A replica handles an accept request; the response arrives or is lost.
    Accept { request: AcceptRequest, is_response_delivered: bool },
    /// A replica is told that a proposal is committed.
    Commit { replica: usize, proposal: usize },
    /// A replica restarts with what is on its disk.
    Restart { replica: usize },
}
