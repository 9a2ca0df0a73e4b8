//! The events of a simulation and their queue.

use crate::history::AttemptId;
use crate::network::{ChannelId, SessionId};
use crate::process::OperatorResponse;
use kitepass_coordination::protocol::Message;
use std::collections::BTreeMap;

/// An event of the simulation.
pub(super) enum Event {
    /// A process's timer fires.
    Tick { node: usize, incarnation: u64 },
    /// A node's process starts, unless one is running.
    StartProcess { node: usize },
    /// A paused process continues, unless its pause was extended.
    Resume { node: usize },
    /// A sync of a node's disk is due to complete.
    SyncDue { node: usize, incarnation: u64 },
    /// A message arrives, unless it is lost or blocked.
    MessageDue { channel: ChannelId, message: Message },
    /// A blocked channel is checked: its messages are delivered if the partition has ended.
    ReleaseBlocked { channel: ChannelId },
    /// A process notices that a connection it opened is gone.
    PeerConnectionLost { node: usize, incarnation: u64, channel: ChannelId },
    /// The receiver of a peer connection has closed it.
    ClosedByReceiver { channel: ChannelId },
    /// A control process notices that a session has ended.
    SessionLostAtNode { node: usize, incarnation: u64, session: SessionId },
    /// A gateway notices that its session has ended.
    SessionLostAtGateway { gateway: usize, session: SessionId },
    /// A gateway's timer fires.
    GatewayTick { gateway: usize },
    /// A fault of the scenario is injected.
    InjectFault { index: usize },
    /// An operator starts an operation or retries it.
    RunOperator { operator: usize },
    /// An operator's request arrives at a process.
    RequestDue { attempt: AttemptId },
    /// A response reaches its operator.
    ResponseDue { attempt: AttemptId, response: OperatorResponse },
    /// An operator stops waiting for a response.
    ResponseTimeout { attempt: AttemptId },
    /// Lease holders that are due read the endpoint list.
    ListEndpoints,
    /// The network removes ended partitions and old closed channels.
    RemoveExpired,
}

/// Events ordered by time. Events of the same time keep the order in which they were scheduled.
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

    /// Removes the next event that is due by `end`, and returns it with its time.
    pub(super) fn pop_until(&mut self, end: i64) -> Option<(i64, Event)> {
        let entry = self.events.first_entry()?;
        if entry.key().0 > end {
            return None;
        }
        let ((at, _), event) = entry.remove_entry();
        Some((at, event))
    }
}
