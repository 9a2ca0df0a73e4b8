//! One item of the configuration, at one version.

use bytes::Bytes;
use std::sync::Arc;

/// An upper bound of what an item takes on the wire beside its name and its value: kind, version and lengths. Bytes.
const MAX_WIRE_OVERHEAD: usize = 32;

/// What an item describes. The numbers are part of the wire protocol and of the records on disk: they never change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[repr(u8)]
pub enum Kind {
    /// Which requests go to which services, and how ([`Route`](crate::Route)).
    Route = 1,
    /// A customer, with its keys and rate limit ([`Tenant`](crate::Tenant)).
    Tenant = 2,
    /// A group of backends that serve the same requests ([`Service`](crate::Service)).
    Service = 3,
    /// The limits that hold for every request ([`Limits`](crate::Limits)); a single item, named "".
    Limits = 4,
    /// Whether the zone of this name is evacuated.
    Evacuation = 5,
    /// A backend, as the platform reports it.
    Backend = 6,
    /// The replicas of the control plane, present and incoming.
    ReplicaSet = 7,
}

impl Kind {
    /// All kinds, in the order of their numbers.
    pub const ALL: [Kind; 7] = [
        Kind::Route,
        Kind::Tenant,
        Kind::Service,
        Kind::Limits,
        Kind::Evacuation,
        Kind::Backend,
        Kind::ReplicaSet,
    ];

    /// The kind of this number, if there is one.
    pub fn from_u8(number: u8) -> Option<Kind> {
        Kind::ALL.into_iter().find(|kind| *kind as u8 == number)
    }

    /// Whether items of this kind must be on disk before they are acknowledged. Backends are stored too, but only so
    /// that a control plane all of whose replicas restarted serves at once: the platform reports them again.
    pub fn is_durable(self) -> bool {
        self != Kind::Backend
    }
}

/// An item as one version sets or removes it.
#[derive(Clone, Debug, PartialEq)]
pub struct Item {
    /// What the item describes.
    pub kind: Kind,
    /// Unique within the kind. The single `Limits` item has the name "".
    pub name: Arc<str>,
    /// Of two versions of a name the higher one wins.
    pub version: u64,
    /// The text of a JSON object without name and version, its keys sorted, null fields left out; `None` for a
    /// removed item (a tombstone). Opaque for `Evacuation`, `Backend` and `ReplicaSet`.
    pub value: Option<Bytes>,
}

impl Item {
    /// An upper bound of what the item takes on the wire without its older versions. Bytes.
    pub fn max_wire_bytes(&self) -> usize {
        self.name.len() + self.value.as_ref().map_or(0, |value| value.len()) + MAX_WIRE_OVERHEAD
    }

    /// Whether the item is set, not removed.
    pub fn is_set(&self) -> bool {
        self.value.is_some()
    }

    /// Whether this is the tombstone of a backend. Each replica forgets these in its own time, so they must show neither
    /// in hashes nor in records on disk.
    pub(crate) fn is_removed_backend(&self) -> bool {
        self.kind == Kind::Backend && !self.is_set()
    }
}
