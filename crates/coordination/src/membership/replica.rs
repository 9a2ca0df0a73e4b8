//! One replica.

use crate::protocol::Hello;

/// One disk of one node, with the node's place. It travels and is stored as a part of a
/// [`ReplicaSet`](super::ReplicaSet).
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, prost::Message)]
pub struct Replica {
    /// The node's name in its settings.
    #[prost(string, tag = "1")]
    pub node_id: String,
    /// Where other processes of the system reach it.
    #[prost(string, tag = "2")]
    pub address: String,
    /// The zone that the node is in.
    #[prost(string, tag = "3")]
    pub zone: String,
    /// The region that the zone is in.
    #[prost(string, tag = "4")]
    pub region: String,
    /// Drawn when an empty disk is first written, and kept on it; 0 for disks older than this field.
    #[prost(fixed64, tag = "5")]
    pub replica_id: u64,
}

impl Replica {
    /// The name by which acceptances, promises, votes and readings are counted.
    ///
    /// Invariant: it names the disk, not only the node. By the node's name alone, a node that lost its disk would be
    /// taken to have what the earlier disk held, and to have promised nothing.
    pub fn name(&self) -> String {
        match self.replica_id {
            0 => self.node_id.clone(),
            replica_id => format!("{}#{replica_id:x}", self.node_id),
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
