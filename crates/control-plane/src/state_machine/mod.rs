//! The control plane's logic, free of I/O. The caller passes in each event with the current time and carries out the
//! [`Action`]s that result, so tests and simulations can drive the state machine without a network, disk or clock.
//!
//! [`StateMachine`] dispatches events to components, each of which owns its state:
//!
//! | component | state |
//! | --- | --- |
//! | `lifecycle` | the replica's state, and whether its disk is complete |
//! | `bootstrap` | creation of the first replica set |
//! | `configuration` | committed items, active replica sets, rate limits |
//! | `quorum` | connected peers, and contact with a majority of the replicas |
//! | `catch_up` | reads of other replicas' items |
//! | `proposals` | pending requests, the acceptor, and proposals of other proposers that are being watched |
//! | `membership` | observations of replicas, used to compute the next replica set |
//! | `coordinator` | lease of the coordinator role, usage counts, the platform's endpoint list |
//! | `sessions` | gateway sessions, and the items that each gateway is missing |
//! | `tombstones` | when tombstones of deleted items may be purged |
//! | `persistence` | records being written to disk, and the steps that depend on them |
//!
//! `handlers` contains the handlers of each kind of event. `startup` restores the state from disk, and `records` defines
//! the keys and encodings of the records.

mod bootstrap;
mod catch_up;
mod configuration;
mod coordinator;
mod handlers;
mod home_regions;
mod lifecycle;
mod membership;
mod persistence;
mod proposals;
mod quorum;
mod records;
mod sessions;
mod startup;
#[cfg(test)]
mod tests;
mod tombstones;

use crate::request::Response;
use bootstrap::Bootstrap;
use catch_up::CatchUp;
use configuration::Configuration;
use coordinator::Coordinator;
use kitepass_config::{Item, ItemStore};
use kitepass_coordination::membership::Replica;
use kitepass_coordination::protocol::{Extent, Hello, Message};
use kitepass_time::{Duration, Timestamp};
use lifecycle::Lifecycle;
use membership::Membership;
use persistence::{PendingWrite, Persistence};
use proposals::Proposals;
use quorum::Quorum;
use sessions::Sessions;
use std::sync::Arc;
use tombstones::Tombstones;

pub use coordinator::COORDINATOR_ROLE;
pub use lifecycle::ReplicaState;
pub use sessions::SESSION_TIMEOUT;
pub use startup::StartParameters;

/// Interval between heartbeats to each peer and each session.
const HEARTBEAT_INTERVAL: Duration = Duration::from_micros(500_000);
/// A peer is disconnected, and a gateway is left out of the announced sessions, after this long without a message.
const UNRESPONSIVE_TIMEOUT: Duration = Duration::from_micros(1_500_000);

/// An operation that the caller of the state machine must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends a message to the control process with this node id.
    SendToPeer(String, Message),
    /// Sends a message to a gateway, identified by the connection number of its session.
    SendToSession(u64, Message),
    /// Sends items to a gateway's session, split into as many messages as necessary.
    SendItems(u64, ItemUpdate),
    /// Responds to the client request with this id.
    Respond(u64, Response),
    /// Writes records to disk. Once they are durable, [`StateMachine::records_persisted`] must be called with this
    /// request id. An empty value deletes the record.
    Persist(u64, Vec<(Vec<u8>, Vec<u8>)>),
    /// Closes the connection of a session.
    CloseSession(u64),
}

/// Items for gateways. Sessions that receive the same items share one allocation.
#[derive(Clone, Debug, PartialEq)]
pub struct ItemUpdate {
    /// The items.
    pub items: Arc<[Item]>,
    /// Whether the items are a whole change or part of a transfer.
    pub extent: Extent,
}

/// Contact with a replica, as shown to operators.
pub struct ReplicaContact {
    /// The replica.
    pub replica: Replica,
    /// Whether it has sent a message within the timeout for unresponsive peers.
    pub is_responsive: bool,
    /// Time since it last proved that it receives this process's messages.
    pub contact_age: Option<Duration>,
}

/// Identity of this process.
struct Identity {
    replica: Replica,
    /// The replica's name.
    name: String,
    incarnation: u64,
}

impl Identity {
    fn new(replica: Replica, incarnation: u64) -> Identity {
        Identity { name: replica.name(), replica, incarnation }
    }
}

/// Generator of ids for requests, reads and writes. Ids restart from 1 in each incarnation.
#[derive(Default)]
struct RequestIds {
    last: u64,
}

impl RequestIds {
    fn next(&mut self) -> u64 {
        self.last += 1;
        self.last
    }
}

/// State machine of one control process.
pub struct StateMachine {
    identity: Identity,
    lifecycle: Lifecycle,
    bootstrap: Bootstrap,
    configuration: Configuration,
    quorum: Quorum,
    catch_up: CatchUp,
    proposals: Proposals,
    membership: Membership,
    coordinator: Coordinator,
    sessions: Sessions,
    tombstones: Tombstones,
    persistence: Persistence,
    request_ids: RequestIds,
    random: oorandom::Rand64,
    /// Actions to carry out, in order. The caller drains them after each call.
    pub actions: Vec<Action>,
}

impl StateMachine {
    /// The handshake message for peers and gateways.
    pub fn hello(&self) -> Hello {
        let replica = &self.identity.replica;
        Hello {
            node_id: replica.node_id.clone(),
            address: replica.address.clone(),
            zone: replica.zone.clone(),
            region: replica.region.clone(),
            incarnation: self.identity.incarnation,
            is_control_plane: true,
            client_address: String::new(),
            is_serving: self.replica_state() == ReplicaState::Serving,
            is_complete: self.is_ready_to_join(),
            replica_id: replica.replica_id,
        }
    }

    /// Whether the coordinator may add this replica to the replica set: its disk is complete, and this process is not
    /// going to discard its items once a peer confirms that it is not a member.
    fn is_ready_to_join(&self) -> bool {
        self.lifecycle.is_complete() && !self.is_stale_non_member()
    }

    /// Current state of this replica.
    pub fn replica_state(&self) -> ReplicaState {
        self.lifecycle.state()
    }

    /// The committed items known to this replica.
    pub fn item_store(&self) -> &ItemStore {
        self.configuration.item_store()
    }

    /// Runs all periodic work. Must be called about ten times per second.
    pub fn tick(&mut self, now: Timestamp) {
        if self.quorum.start_heartbeat_if_due(now) {
            self.send_heartbeats(now);
        }
        self.evaluate_contact(now);
        self.tick_catch_up(now);
        self.expire_reads(now);
        self.track_contact(now);
        self.end_transfer();
        self.send_chunks(now);
        self.tick_lease(now);
        self.resolve_overdue(now);
        self.resume_requests(now);
        self.advance_all(now);
        if self.persistence.has_deferred() {
            self.persist(Vec::new(), PendingWrite::Nothing);
        }
        self.expire_requests(now);
    }

    /// While this process is not serving, it reads from its peers. The bootstrap node also creates the first replica
    /// set.
    fn tick_catch_up(&mut self, now: Timestamp) {
        let is_behind = matches!(
            self.replica_state(),
            ReplicaState::Uninitialized | ReplicaState::CatchingUp | ReplicaState::Isolated
        );
        if is_behind && now - self.catch_up.last_requested_at() > HEARTBEAT_INTERVAL {
            self.read_all_peers(now);
            self.bootstrap_replica_set(now);
        }
    }

    fn change_state(&mut self, to: ReplicaState) {
        self.lifecycle.change_state(to, self.configuration.item_store().len());
    }

    fn next_request_id(&mut self) -> u64 {
        self.request_ids.next()
    }

    fn push_action(&mut self, action: Action) {
        self.actions.push(action);
    }

    fn push_actions(&mut self, actions: Vec<Action>) {
        self.actions.extend(actions);
    }

    fn send_to_peer(&mut self, node_id: &str, message: Message) {
        self.push_action(Action::SendToPeer(node_id.to_owned(), message));
    }

    fn send_to_all_peers(&mut self, message: &Message) {
        let actions = self.quorum.broadcast(message);
        self.push_actions(actions);
    }

    fn send_to_session(&mut self, id: u64, message: Message) {
        self.push_action(Action::SendToSession(id, message));
    }
}

/// Converts a duration to whole milliseconds, for logs and API responses.
pub fn millis(duration: Duration) -> i64 {
    duration.as_micros() / 1000
}
