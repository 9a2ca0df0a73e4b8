//! Why an acceptor rejects an accept request.

use crate::protocol::Ballot;
use kitepass_config::Kind;
use snafu::Snafu;
use std::sync::Arc;

/// Why an acceptor took neither a proposal nor its rejection. Nothing was changed by the request.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum AcceptError {
    /// A higher ballot was promised on one of the keys. The proposer may retry above it.
    #[snafu(display("a higher ballot was promised, of epoch {} and round {}", to.epoch, to.round))]
    Promised {
        /// The highest ballot that was promised on the proposal's keys.
        to: Ballot,
    },
    /// An item's version is committed with other content, so that the proposal can never be chosen.
    #[snafu(display("version {version} of {kind:?} {name:?} is committed with other content"))]
    Conflicting {
        /// The item's kind.
        kind: Kind,
        /// The item's name.
        name: Arc<str>,
        /// The version that is taken.
        version: u64,
    },
    /// The bounds on accepted proposals that are neither committed nor rejected are reached.
    #[snafu(display("too many proposals are accepted and not committed"))]
    CapacityExceeded,
}
