//! The state of a modelled system: replicas, proposers and messages in flight.

use super::setup::BitSet;
use kitepass_coordination::consensus::{Acceptor, Ballot};
use std::collections::{BTreeMap, BTreeSet};

/// The state of a replica.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Node {
    pub(super) acceptor: Acceptor,
    /// The proposals that the replica knows to be committed.
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
    /// A conflicting proposal is committed.
    Conflicting,
    /// The proposal was rejected because its content had become invalid.
    Rejected,
    /// No attempts are left.
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

    /// The replicas that have responded in this phase.
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

    /// Whether the proposer has a final result.
    pub(super) fn has_result(&self) -> bool {
        matches!(self, Phase::Confirmed | Phase::Conflicting | Phase::Rejected)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Proposer {
    pub(super) incarnation: u64,
    /// The proposal that the proposer has to commit.
    pub(super) goal: usize,
    /// The proposal of the current attempt: the goal, or one that has to be resolved first.
    pub(super) target: usize,
    pub(super) attempts_left: u8,
    /// The highest ballot that the proposer has seen.
    pub(super) highest_ballot: Ballot,
    /// The proposals that the proposer knows to be committed.
    pub(super) committed: BitSet,
    /// The highest ballot under which each observed proposal was accepted.
    pub(super) observed: BTreeMap<usize, Ballot>,
    /// The highest ballot under which each proposal was rejected.
    pub(super) rejected: BTreeMap<usize, Ballot>,
    pub(super) phase: Phase,
}

impl Proposer {
    /// Whether the proposer is waiting for responses to accept requests under this ballot.
    pub(super) fn awaits_response(&self, accept_ballot: Ballot) -> bool {
        matches!(
            self.phase,
            Phase::Accepting { ballot, .. } | Phase::Rejecting { ballot, .. } if ballot == accept_ballot
        )
    }
}

/// An accept request in flight to a replica.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct AcceptRequest {
    pub(super) replica: usize,
    pub(super) ballot: Ballot,
    pub(super) proposal: usize,
    /// Whether a replica is known to have accepted the proposal before.
    pub(super) was_accepted_before: bool,
    /// Whether the request is to reject the proposal instead of accepting it.
    pub(super) is_rejection: bool,
    /// The request is delivered only after the replica knows that these proposals are committed.
    pub(super) required_commits: BitSet,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct State {
    pub(super) nodes: Vec<Node>,
    pub(super) proposers: Vec<Proposer>,
    pub(super) in_flight: BTreeSet<AcceptRequest>,
    /// The replicas that ever accepted each proposal under each ballot. Known only to the model, not to any process.
    pub(super) accepted: BTreeMap<(Ballot, usize), BitSet>,
    /// The proposals that a write quorum has accepted under one ballot. Known only to the model, too.
    pub(super) chosen: BitSet,
    /// The proposals that any proposer considers committed.
    pub(super) committed: BitSet,
    pub(super) restarts: u8,
    pub(super) lost_responses: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Action {
    /// A replica handles a proposer's prepare request. Its response is delivered or lost.
    Prepare { proposer: usize, replica: usize, is_response_delivered: bool },
    /// A replica handles an accept request. Its response is delivered or lost.
    Accept { request: AcceptRequest, is_response_delivered: bool },
    /// A replica learns that a proposal is committed.
    Commit { replica: usize, proposal: usize },
    /// A replica restarts from the records on its disk.
    Restart { replica: usize },
}
