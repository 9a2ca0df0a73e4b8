//! Consensus on the versions of configuration items, without a leader and without a log.
//!
//! Each version of each item is one consensus instance, named by its key ([`key`]). The value that is agreed on is a
//! [`Proposal`]: an operator's change with all its items, so that one proposal takes part in several instances and is
//! chosen in all of them or in none. The algorithm is single-decree Paxos (Lamport, "Paxos Made Simple") run per
//! register, as in CASPaxos (Rystsov, "CASPaxos: Replicated State Machines without logs").
//!
//! | Paxos | here |
//! | --- | --- |
//! | proposal number | [`Ballot`] |
//! | phase 1: a ballot is promised | [`Acceptor::prepare`] |
//! | phase 1: the proposer picks the value | [`possibly_chosen`], then [`proposal_status`] |
//! | phase 2: a proposal is accepted | [`Acceptor::accept`] |
//! | a proposal is chosen | once a write quorum has accepted it under one ballot; see [`crate::membership`] |
//! | a chosen proposal is learned | [`Acceptor::commit`], after its items were merged into the item store |
//! | stable storage | the records whose keys and values `records.rs` describes, see [`Record`] |
//!
//! **Assumptions.** Each read quorum shares a replica with each write quorum of the same membership epoch; a ballot is
//! used by one proposer for one proposal; what a response rests on is on disk before the response leaves
//! ([`Promise::reservation`], [`Acceptance::records`]).
//!
//! **Invariant.** Of two proposals with different content for one key at most one is ever chosen, whoever proposes and
//! however often.
//!
//! **Why.** Suppose that a proposal was chosen under ballot *b*. Each proposer that later prepares a higher ballot on
//! one of its keys is told of it by a replica that is in both quorums, and either resolves it first
//! ([`ProposalStatus::BlockedBy`]) or finds its content committed. A proposer with a lower ballot meets a replica that
//! has promised *b* and is rejected ([`AcceptError::Promised`]).
//!
//! Nothing here does input or output.

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
pub use proposal::{key, Proposal, ProposalId};
pub use proposer::{
    conflicting_item, is_committed, observe, possibly_chosen, proposal_status, ObservedProposals,
    ProposalStatus,
};
pub use records::{BallotReservation, Record, RestoreOutcome};
