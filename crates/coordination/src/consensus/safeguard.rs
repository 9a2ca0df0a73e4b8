//! The safeguards of the algorithm, by name, so that tests can disable one and check that the resulting fault is
//! detected.

/// A step that the safety or progress of the algorithm depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[cfg_attr(not(test), allow(dead_code))] // Only tests construct the variants.
pub(crate) enum Safeguard {
    /// A proposal that may have been chosen on one of the keys is resolved first.
    ResolveFirst,
    /// So is a proposal that has the same content for that key.
    ResolveSameContent,
    /// A proposal that can never be chosen does not block others.
    IgnoreConflicting,
    /// After a restart, no ballot is accepted below one that an earlier incarnation may have promised.
    PersistedFloor,
    /// Ballots are compared by their membership epoch first.
    EpochFirst,
    /// No proposal is accepted under a ballot below a promise.
    Promise,
    /// No proposal is accepted if an item's version is committed with different content.
    CommittedContent,
    /// A rejection removes the proposal from the acceptors that had accepted it, and is remembered.
    Rejection,
}
