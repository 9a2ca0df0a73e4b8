//! Configuration items.

use bytes::Bytes;
use std::sync::Arc;

/// An upper bound in bytes for the parts of an encoded item other than its name and value: kind, version and lengths.
const MAX_WIRE_OVERHEAD: usize = 32;

/// The kind of a configuration item. The numbers are part of the wire protocol and of the records on disk, so they must
/// never change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[repr(u8)]
pub enum Kind {
    /// A rule that assigns requests to services ([`Route`](crate::Route)).
    Route = 1,
    /// A customer with its API keys and rate limit ([`Tenant`](crate::Tenant)).
    Tenant = 2,
    /// A group of backends that serve the same requests ([`Service`](crate::Service)).
    Service = 3,
    /// The limits that apply to every request ([`Limits`](crate::Limits)). A single item with an empty name.
    Limits = 4,
    /// Whether the zone with the item's name is evacuated.
    Evacuation = 5,
    /// A backend as reported by the platform.
    Backend = 6,
    /// The current and the joining replicas of the control plane.
    ReplicaSet = 7,
    /// A register that orders changes whose validity depends on each other
    /// ([`Reservations`](crate::Reservations)). Known to control planes only.
    Reservation = 8,
}

impl Kind {
    /// All kinds, in the order of their numbers.
    pub const ALL: [Kind; 8] = [
        Kind::Route,
        Kind::Tenant,
        Kind::Service,
        Kind::Limits,
        Kind::Evacuation,
        Kind::Backend,
        Kind::ReplicaSet,
        Kind::Reservation,
    ];

    /// Returns the kind with this number, if there is one.
    pub fn from_u8(number: u8) -> Option<Kind> {
        Kind::ALL.into_iter().find(|kind| *kind as u8 == number)
    }

    /// Whether items of this kind must be written to disk before they are acknowledged. Backends do not need to be,
    /// because the platform reports them again. They are stored only so that the control plane can serve immediately
    /// after all of its replicas have restarted.
    pub fn is_durable(self) -> bool {
        self != Kind::Backend
    }

    /// Whether items of this kind are sent to gateways, and compared with theirs.
    pub fn is_sent_to_gateways(self) -> bool {
        self != Kind::Reservation
    }
}

/// One version of a configuration item, which either sets or removes it.
#[derive(Clone, Debug, PartialEq)]
pub struct Item {
    /// The kind of the item.
    pub kind: Kind,
    /// The name, unique within the kind. The single `Limits` item has an empty name.
    pub name: Arc<str>,
    /// The version number; the highest version of an item is the active one.
    pub version: u64,
    /// The value, or `None` for a removed item (a tombstone). For `Route`, `Tenant`, `Service` and `Limits` it is a
    /// JSON object with sorted keys, without name, version and null fields. For the other kinds it is opaque.
    pub value: Option<Bytes>,
}

impl Item {
    /// An upper bound for the encoded size in bytes, without older versions.
    pub fn max_wire_bytes(&self) -> usize {
        self.name.len() + self.value.as_ref().map_or(0, |value| value.len()) + MAX_WIRE_OVERHEAD
    }

    /// Whether the item is set rather than removed.
    pub fn is_set(&self) -> bool {
        self.value.is_some()
    }

    /// Whether this is the tombstone of a backend. Replicas purge these independently of one another, so they must not
    /// affect hashes or records on disk.
    pub(crate) fn is_removed_backend(&self) -> bool {
        self.kind == Kind::Backend && !self.is_set()
    }
}
