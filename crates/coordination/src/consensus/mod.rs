//! Leaderless consensus on the versions of configuration items, without a replicated log.
//!
//! Each version of each item is a consensus instance, identified by its [`key`]. The value to agree on is a
//! [`Proposal`]: all items of one operator's change. A proposal therefore takes part in several instances, and is
//! chosen in all of them or in none. The algorithm is single-decree Paxos (Lamport, "Paxos Made Simple"), run
//! separately for each register as in CASPaxos (Rystsov, "CASPaxos: Replicated State Machines without logs").
//!
//! | Paxos | this module |
//! | --- | --- |
//! | proposal number | [`Ballot`] |
//! | phase 1: an acceptor promises a ballot | [`Acceptor::prepare`] |
//! | phase 1: the proposer selects the value | [`possibly_chosen`], then [`proposal_status`] |
//! | phase 2: an acceptor accepts a proposal | [`Acceptor::accept`] |
//! | a proposal is chosen | once a write quorum has accepted it under one ballot; see [`crate::membership`] |
//! | a chosen proposal is learned | [`Acceptor::commit`], after its items have been merged into the item store |
//! | stable storage | the records described in `records.rs`; see [`Record`] |
//!
//! **Assumptions.** Every read quorum intersects every write quorum of the same membership epoch. A ballot is used by
//! one proposer for one proposal only. All state that a response depends on is on disk before the response is sent
//! ([`Promise::reservation`], [`Acceptance::records`]).
//!
//! **Invariant.** Of two proposals with different content for the same key, at most one is ever chosen, regardless of
//! who proposes them and how often.
//!
//! **Why it holds.** Suppose that a proposal was chosen under ballot *b*. A proposer that later prepares a higher
//! ballot on one of its keys learns of it from a replica in the intersection of the two quorums. It then either
//! resolves that proposal first ([`ProposalStatus::BlockedBy`]) or finds its content committed. A proposer with a lower
//! ballot reaches a replica that has promised *b*, and is rejected ([`AcceptError::Promised`]).
//!
//! This module does no I/O.

mod accepted;
mod acceptor;
mod ballot;
mod error;
mod promises;
mod proposal;
mod proposer;
mod records;
mod rejected;
mod safeguard;
#[cfg(test)]
mod tests;

pub use crate::protocol::{Ballot, ProposalMessage};
pub use acceptor::{AcceptReason, Acceptance, Acceptor, Promise};
pub use error::AcceptError;
pub use proposal::{key, name_key, Proposal, ProposalId};
pub use proposer::{
    conflicting_item, is_committed, observe, possibly_chosen, proposal_status, ObservedProposals,
    ProposalStatus,
};
pub use records::{BallotReservation, Record, RestoreOutcome};
