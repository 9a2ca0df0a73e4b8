//! The recorded history of a run: what operators, gateways and observers of the processes saw, in the order of time.
//! [`crate::checker`] checks it without any knowledge of how the simulation or the state machine works.
//!
//! Contents are told apart by the change that wrote them, whose number each written item carries. All deletions are
//! alike. Times are microseconds of the simulation.

use kitepass_config::Kind;
use std::collections::BTreeMap;
use std::fmt::{self, Display};

/// A change to the configuration that an operator made up; it may be sent many times.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ChangeId(pub u64);

impl Display for ChangeId {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// One sending of an operator's request to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId(pub u64);

impl Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Which item of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ItemName {
    /// Its kind.
    pub kind: Kind,
    /// Its name among those of its kind.
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

/// What an item says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Content {
    /// It is deleted.
    Deleted,
    /// What this change wrote.
    SetBy(ChangeId),
}

/// What a change does to one item.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Write {
    /// The item.
    pub item: ItemName,
    /// The version that it gets.
    pub version: u64,
    /// What it says from then on.
    pub content: Content,
}

/// An item as a read shows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ItemState {
    /// Its version.
    pub version: u64,
    /// What it says.
    pub content: Content,
}

/// What an operator's answer means for its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ResponseStatus {
    /// 200: it is done.
    Confirmed,
    /// 400: it is not valid.
    Invalid,
    /// 409: a version that it writes has another content.
    Conflict,
    /// 503, 307 or no answer: it may be done or not.
    Unknown,
}

/// One event of a history.
#[derive(Clone, Debug)]
pub enum HistoryEvent {
    /// An operator made a change up.
    ChangeCreated {
        /// Its number.
        change: ChangeId,
        /// What it does.
        writes: Vec<Write>,
    },
    /// A change was sent to a process.
    ChangeSent {
        /// This sending of it.
        attempt: AttemptId,
        /// The change.
        change: ChangeId,
    },
    /// No process was there to take an attempt.
    AttemptUndelivered {
        /// The attempt.
        attempt: AttemptId,
    },
    /// A process began to handle a change.
    ChangeStarted {
        /// When.
        at: i64,
        /// The attempt that reached it.
        attempt: AttemptId,
    },
    /// A process answered a change, whether or not the answer reached the operator.
    ChangeAnswered {
        /// When.
        at: i64,
        /// The attempt that is answered.
        attempt: AttemptId,
        /// The change.
        change: ChangeId,
        /// Whose process answered.
        node: usize,
        /// What it answered.
        status: ResponseStatus,
    },
    /// The answer to a change reached the operator, who was waiting for it.
    ResponseReceived {
        /// The attempt that was answered.
        attempt: AttemptId,
    },
    /// A read of all items reached a process.
    ReadStarted {
        /// When.
        at: i64,
        /// The read.
        read: AttemptId,
        /// Whose process it reached.
        node: usize,
    },
    /// A read was answered. Items that do not exist are not shown.
    ReadCompleted {
        /// When.
        at: i64,
        /// The read.
        read: AttemptId,
        /// What it shows.
        items: BTreeMap<ItemName, ItemState>,
    },
    /// A gateway acts on an item from now on.
    WriteApplied {
        /// When.
        at: i64,
        /// Which gateway.
        gateway: usize,
        /// The item, with its version and content.
        write: Write,
    },
    /// A gateway's process restarted, with nothing.
    GatewayRestarted {
        /// Which gateway.
        gateway: usize,
    },
    /// A process holds a replica set under this name and version.
    ReplicaSetObserved {
        /// When.
        at: i64,
        /// Whose process.
        node: usize,
        /// Whether it is the current or the incoming one.
        name: &'static str,
        /// Its version.
        version: u64,
        /// A digest of its bytes.
        digest: u64,
    },
    /// These processes hold the coordinator's lease at one moment.
    LeaseHeld {
        /// When.
        at: i64,
        /// Whose processes.
        nodes: Vec<usize>,
    },
    /// A request to evacuate a zone, or to end that, reached a process.
    EvacuationStarted {
        /// When.
        at: i64,
        /// The request.
        request: AttemptId,
        /// Which zone.
        zone: String,
        /// Whether it is to be evacuated.
        is_evacuated: bool,
    },
    /// That request was answered.
    EvacuationAnswered {
        /// When.
        at: i64,
        /// The request.
        request: AttemptId,
        /// True if the answer was 200.
        is_confirmed: bool,
    },
    /// Whether a zone is evacuated at the end of the run, as a process has it.
    EvacuationObserved {
        /// When.
        at: i64,
        /// Whose process.
        node: usize,
        /// Which zone.
        zone: String,
        /// Whether it is evacuated.
        is_evacuated: bool,
    },
    /// Something was not done in time.
    DeadlineMissed {
        /// When that was noticed.
        at: i64,
        /// What was not done.
        description: String,
    },
}
