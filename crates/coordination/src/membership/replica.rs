//! One replica.

use crate::protocol::Hello;

/// How far apart two replicas are, the closest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// Both are in one zone.
    SameZone,
    /// They are in different zones of one region.
    SameRegion,
    /// They are in different regions.
    OtherRegion,
}

/// One disk of one node, with the node's location. It is sent and stored as part of a
/// [`ReplicaSet`](super::ReplicaSet).
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, prost::Message)]
pub struct Replica {
    /// The node's name in its settings.
    #[prost(string, tag = "1")]
    pub node_id: String,
    /// The address at which other processes of the system reach the node.
    #[prost(string, tag = "2")]
    pub address: String,
    /// The node's zone.
    #[prost(string, tag = "3")]
    pub zone: String,
    /// The region of the zone.
    #[prost(string, tag = "4")]
    pub region: String,
    /// A random ID, generated when an empty disk is first written and stored on it. 0 for disks written by versions
    /// without this field.
    #[prost(fixed64, tag = "5")]
    pub replica_id: u64,
}

impl Replica {
    /// The name under which acceptances, promises, votes and read responses are counted.
    ///
    /// Invariant: the name identifies the disk, not only the node. If it were the node's name alone, a node that has
    /// lost its disk would be assumed to still have the data of the old disk, although it has also lost its promises.
    pub fn name(&self) -> String {
        match self.replica_id {
            0 => self.node_id.clone(),
            replica_id => format!("{}#{replica_id:x}", self.node_id),
        }
    }

    /// How far away another replica is.
    pub fn distance_to(&self, other: &Replica) -> Distance {
        if self.zone == other.zone {
            Distance::SameZone
        } else if self.region == other.region {
            Distance::SameRegion
        } else {
            Distance::OtherRegion
        }
    }
}

impl From<&Hello> for Replica {
    fn from(hello: &Hello) -> Replica {
        Replica {
            node_id: hello.node_id.clone(),
            address: hello.address.clone(),
            zone: hello.zone.clone(),
            region: hello.region.clone(),
            replica_id: hello.replica_id,
        }
    }
}
