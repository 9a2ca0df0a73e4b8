//! One item of the configuration, at one version.

use bytes::Bytes;
use std::sync::Arc;

/// What an item is. The numbers go over the wire and into files: never renumber.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[repr(u8)]
pub enum Kind {
    Route = 1,
    Tenant = 2,
    Service = 3,
    Limits = 4,
    Evacuation = 5,
    Backend = 6,
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

    /// Whether items of this kind must be on disk before they are acknowledged. Backends are kept too, but only
    /// so that a core that was killed whole serves at once: the platform's list tells them anew.
    pub fn is_durable(self) -> bool {
        self != Kind::Backend
    }
}

/// An item as one version sets or drops it.
#[derive(Clone, Debug, PartialEq)]
pub struct Item {
    pub kind: Kind,
    /// Unique within the kind. The single `Limits` item has the name "".
    pub name: Arc<str>,
    /// Of two versions of a name the higher one prevails.
    pub version: u64,
    /// A JSON object's text, without name and edition, its keys sorted, null fields left out; `None` for a
    /// dropped item. Opaque for `Evacuation`, `Backend` and `ReplicaSet`.
    pub value: Option<Bytes>,
}

impl Item {
    /// Bytes that it takes on the wire at most, without older versions.
    pub fn wire_bytes(&self) -> usize {
        self.name.len() + self.value.as_ref().map_or(0, |value| value.len()) + 32
    }

    /// Whether the item is set, not dropped.
    pub fn is_set(&self) -> bool {
        self.value.is_some()
    }
}
