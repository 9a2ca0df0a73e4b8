//! The safeguards of the algorithm, by name, so that tests can take one out and see that it is missed.

/// A step on which safety or progress rests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[cfg_attr(not(test), allow(dead_code))] // Only tests name the safeguard that they take out.
pub(crate) enum Safeguard {
    /// A proposal that may have been chosen on one of the keys is resolved first.
    ResolveFirst,
    /// So is one with the same content for that key.
    ResolveSameContent,
    /// A proposal that can never be chosen blocks no other one.
    IgnoreConflicting,
    /// After a restart nothing is accepted that an earlier incarnation may have promised away.
    PersistedFloor,
    /// Ballots are compared by their membership epoch first.
    EpochFirst,
    /// Nothing is accepted below a promise.
    Promise,
    /// Nothing is accepted that is committed with other content.
    CommittedContent,
    /// A rejection withdraws the proposal from the acceptors that had accepted it, and is remembered.
    Rejection,
}
