//! Identifiers of connections and requests. All are allocated from one counter, so that a connection's id also serves
//! as its poll token.

/// Identifies a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClientId(pub u64);

/// Identifies a connection to a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct UpstreamId(pub u64);

/// Identifies a request while this process handles it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub u64);
