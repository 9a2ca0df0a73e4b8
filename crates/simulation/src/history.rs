//! The recorded history of a run: what operators, gateways and observers of the processes saw, ordered by
//! time. [`crate::checker`] checks it without knowledge of the simulation or the state machine.
//!
//! Contents are identified by the id of the change that wrote them, which each written item contains.
//! Deletions are not told apart. Times are in microseconds of simulated time.

use kitepass_config::Kind;
use std::collections::BTreeMap;
use std::fmt::{self, Display};

/// A change that an operator generated. It may be sent several times.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ChangeId(pub u64);

impl Display for ChangeId {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// One request of an operator to one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId(pub u64);

impl Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// An item of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ItemName {
    /// Kind of the item.
    pub kind: Kind,
    /// Name of the item, unique within its kind.
    pub name: String,
}

impl ItemName {
    /// The item of this kind and name.
    pub fn new(kind: Kind, name: impl Into<String>) -> ItemName {
        ItemName { kind, name: name.into() }
    }
}

impl Display for ItemName {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{:?}/{}", self.kind, self.name)
    }
}

/// The content of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Content {
    /// The item is deleted.
    Deleted,
    /// The content that this change wrote.
    SetBy(ChangeId),
}

/// The effect of a change on one item.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Write {
    /// The item.
    pub item: ItemName,
    /// The item's version after the write.
    pub version: u64,
    /// The item's content after the write.
    pub content: Content,
}

/// An item as shown by a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ItemState {
    /// Version of the item.
    pub version: u64,
    /// Content of the item.
    pub content: Content,
}

/// What a response means for the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ResponseStatus {
    /// 200: the request has taken effect.
    Confirmed,
    /// 400: the request is invalid.
    Invalid,
    /// 409: the change writes an existing version with different content.
    Conflict,
    /// 503, 307 or no response: the request may or may not have taken effect.
    Unknown,
}

/// An event of a history.
#[derive(Clone, Debug)]
pub enum HistoryEvent {
    /// An operator generated a change.
    ChangeCreated {
        /// Id of the change.
        change: ChangeId,
        /// Its writes.
        writes: Vec<Write>,
    },
    /// A change was sent to a process.
    ChangeSent {
        /// Id of this attempt.
        attempt: AttemptId,
        /// The change.
        change: ChangeId,
    },
    /// An attempt was refused because no process was running.
    AttemptUndelivered {
        /// The attempt.
        attempt: AttemptId,
    },
    /// A process began to handle a change.
    ChangeStarted {
        /// Time of the event.
        at: i64,
        /// The attempt that the process received.
        attempt: AttemptId,
    },
    /// A process responded to a change, whether or not the response reached the operator.
    ChangeAnswered {
        /// Time of the event.
        at: i64,
        /// The attempt.
        attempt: AttemptId,
        /// The change.
        change: ChangeId,
        /// The node whose process responded.
        node: usize,
        /// Meaning of the response.
        status: ResponseStatus,
    },
    /// The response to a change reached an operator that was still waiting for it.
    ResponseReceived {
        /// The attempt.
        attempt: AttemptId,
    },
    /// A process received a request to read all items.
    ReadStarted {
        /// Time of the event.
        at: i64,
        /// The read.
        read: AttemptId,
        /// The node whose process received it.
        node: usize,
    },
    /// A read was completed. It does not contain deleted items.
    ReadCompleted {
        /// Time of the event.
        at: i64,
        /// The read.
        read: AttemptId,
        /// The items in the response.
        items: BTreeMap<ItemName, ItemState>,
    },
    /// A gateway applied an item.
    WriteApplied {
        /// Time of the event.
        at: i64,
        /// The gateway.
        gateway: usize,
        /// The item with its version and content.
        write: Write,
    },
    /// A gateway process restarted and lost its state.
    GatewayRestarted {
        /// The gateway.
        gateway: usize,
    },
    /// A process holds this version of a replica set.
    ReplicaSetObserved {
        /// Time of the event.
        at: i64,
        /// The node of the process.
        node: usize,
        /// Name of the replica set: the current or the incoming one.
        name: &'static str,
        /// Version of the replica set.
        version: u64,
        /// Digest of its encoded bytes.
        digest: u64,
    },
    /// These processes hold the coordinator lease at the same time.
    LeaseHeld {
        /// Time of the event.
        at: i64,
        /// The nodes of the processes.
        nodes: Vec<usize>,
    },
    /// A process received a request to start or end the evacuation of a zone.
    EvacuationStarted {
        /// Time of the event.
        at: i64,
        /// The request.
        request: AttemptId,
        /// The zone.
        zone: String,
        /// True if the zone is to be evacuated, false if its evacuation is to end.
        is_evacuated: bool,
    },
    /// The operator of an evacuation request has waited long enough for the response, and turns to another process.
    EvacuationAbandoned {
        /// Simulated time.
        at: i64,
        /// The request.
        request: AttemptId,
    },
    /// A process responded to an evacuation request.
    EvacuationAnswered {
        /// Time of the event.
        at: i64,
        /// The request.
        request: AttemptId,
        /// True if the response was 200.
        is_confirmed: bool,
    },
    /// Whether a zone is evacuated at the end of the run, according to a process.
    EvacuationObserved {
        /// Time of the event.
        at: i64,
        /// The node of the process.
        node: usize,
        /// The zone.
        zone: String,
        /// Whether it is evacuated.
        is_evacuated: bool,
    },
    /// A deadline was missed.
    DeadlineMissed {
        /// Time at which this was detected.
        at: i64,
        /// What was expected by the deadline.
        description: String,
    },
}
