//! The events of a simulation, and their queue.

use crate::history::AttemptId;
use crate::network::{ChannelId, SessionId};
use crate::process::OperatorResponse;
use kitepass_coordination::protocol::Message;
use std::collections::BTreeMap;

/// Something that happens at a time.
pub(super) enum Event {
    /// Time has passed for a process.
    Tick { node: usize, incarnation: u64 },
    /// A node's process starts, unless one runs already.
    StartProcess { node: usize },
    /// A paused process goes on, unless it was paused for longer meanwhile.
    Resume { node: usize },
    /// A sync of a node's disk ends.
    SyncDue { node: usize, incarnation: u64 },
    /// A message arrives, unless it is lost or blocked.
    MessageDue { channel: ChannelId, message: Message },
    /// Messages that a partition blocked go on, if it is over.
    ReleaseBlocked { channel: ChannelId },
    /// A process notices that a connection of its own is gone.
    PeerConnectionLost { node: usize, incarnation: u64, channel: ChannelId },
    /// The receiver has closed a peer's connection.
    ClosedByReceiver { channel: ChannelId },
    /// A control process notices that a session is over.
    SessionLostAtNode { node: usize, incarnation: u64, session: SessionId },
    /// A gateway notices that its session is over.
    SessionLostAtGateway { gateway: usize, session: SessionId },
    /// Time has passed for a gateway.
    GatewayTick { gateway: usize },
    /// A fault of the scenario is injected.
    InjectFault { index: usize },
    /// An operator begins an operation, or tries one again.
    RunOperator { operator: usize },
    /// An operator's request arrives.
    RequestDue { attempt: AttemptId },
    /// An answer reaches its operator.
    ResponseDue { attempt: AttemptId, response: OperatorResponse },
    /// An operator waits no longer for an answer.
    ResponseTimeout { attempt: AttemptId },
    /// Lease holders read the platform's list.
    ListEndpoints,
    /// The network forgets what is over.
    RemoveExpired,
}

/// Events by time; those of one time in the order in which they were scheduled.
#[derive(Default)]
pub(super) struct EventQueue {
    events: BTreeMap<(i64, u64), Event>,
    sequence: u64,
}

impl EventQueue {
    pub(super) fn push(&mut self, at: i64, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    /// Takes the next event that comes by a time, with its time.
    pub(super) fn pop_until(&mut self, end: i64) -> Option<(i64, Event)> {
        let entry = self.events.first_entry()?;
        if entry.key().0 > end {
            return None;
        }
        let ((at, _), event) = entry.remove_entry();
        Some((at, event))
    }
}
