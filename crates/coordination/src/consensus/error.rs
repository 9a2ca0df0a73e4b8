//! The errors of an acceptor.

use crate::protocol::Ballot;
use kitepass_config::Kind;
use snafu::Snafu;
use std::sync::Arc;

/// Why an acceptor refused to accept or reject a proposal. The request has changed nothing.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum AcceptError {
    /// A higher ballot was promised on one of the keys. The proposer may retry with a ballot above it.
    #[snafu(display("a higher ballot was already promised (epoch {}, round {})", to.epoch, to.round))]
    Promised {
        /// The highest ballot that was promised on the proposal's keys.
        to: Ballot,
    },
    /// An item's version is already committed with different content, so the proposal can never be chosen.
    #[snafu(display("version {version} of {kind:?} {name:?} is already committed with different content"))]
    Conflicting {
        /// The item's kind.
        kind: Kind,
        /// The item's name.
        name: Arc<str>,
        /// The version that is already committed.
        version: u64,
    },
    /// The limit on accepted proposals that are neither committed nor rejected is reached.
    #[snafu(display("too many accepted proposals are not committed yet"))]
    CapacityExceeded,
}
