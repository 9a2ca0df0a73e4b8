//! All that a control process decides, without input or output. It is told what happens, with the time, and leaves what
//! is to be done as [`Action`]s, so a test or a simulation drives it by hand.
//!
//! [`StateMachine`] is a router over parts, each of which owns its state:
//!
//! | part | what it owns |
//! | --- | --- |
//! | `lifecycle` | how far this process may be relied on |
//! | `bootstrap` | the making of the first replica set |
//! | `configuration` | committed items, the replica sets in force, rate limits |
//! | `quorum` | the peers, and contact with a majority |
//! | `catch_up` | reads of what other replicas hold |
//! | `proposals` | pending requests, promises and acceptances, proposals of others that are watched |
//! | `membership` | what is seen of the replicas, from which the next replica set follows |
//! | `coordinator` | the lease of the coordinator role, usage counts, the platform's list |
//! | `sessions` | gateways' sessions, and what each lacks |
//! | `tombstones` | when the tombstones of dropped items may be forgotten |
//! | `persistence` | records on their way to disk, and what waits for them |
//!
//! `handlers` holds what is done with each kind of event; `startup` reads a disk's records back, and `records` has their
//! keys and encodings.

mod bootstrap;
mod catch_up;
mod configuration;
mod coordinator;
mod handlers;
mod host_homes;
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

/// Time between two heartbeats to each peer and each session.
const HEARTBEAT_INTERVAL: Duration = Duration::from_micros(500_000);
/// A peer or session that has said nothing for this long is given up.
const UNRESPONSIVE_TIMEOUT: Duration = Duration::from_micros(1_500_000);

/// What a control process wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// A message to a control process, by its node id.
    SendToPeer(String, Message),
    /// A message to a gateway, by its session's connection number.
    SendToSession(u64, Message),
    /// Items to a gateway's session, in as many messages as they need.
    SendItems(u64, ItemUpdate),
    /// An answer to a caller, by the number that it asked under.
    Respond(u64, Response),
    /// Records to be written, and reported to [`StateMachine::records_persisted`] with this request id once they are on
    /// disk. A record with an empty value is removed.
    Persist(u64, Vec<(Vec<u8>, Vec<u8>)>),
    /// A session's connection is to be closed.
    CloseSession(u64),
}

/// Items for gateways. Sessions that are sent the same items share them.
#[derive(Clone, Debug, PartialEq)]
pub struct ItemUpdate {
    /// The items.
    pub items: Arc<[Item]>,
    /// A whole change, or part of a transfer.
    pub extent: Extent,
}

/// What operators are shown of the contact with a replica.
pub struct ReplicaContact {
    /// The replica.
    pub replica: Replica,
    /// It has sent something within the time-out for unresponsive peers.
    pub is_responsive: bool,
    /// How long ago it is known to have heard this process.
    pub contact_age: Option<Duration>,
}

/// Who this process is.
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

/// Numbers for requests, reads and writes. They start from 1 in each incarnation.
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

/// The decisions of one control process.
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
    /// What is to be done, in order. Whoever drives the state machine takes it after each call.
    pub actions: Vec<Action>,
}

impl StateMachine {
    /// How this process introduces itself to peers and gateways.
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

    /// Whether the coordinator may bring this replica in: its disk is complete, and it will not be discarded as soon as a peer
    /// confirms that this replica is no member.
    fn is_ready_to_join(&self) -> bool {
        self.lifecycle.is_complete() && !self.is_stale_non_member()
    }

    /// How far this process may be relied on.
    pub fn replica_state(&self) -> ReplicaState {
        self.lifecycle.state()
    }

    /// The committed items that are known here.
    pub fn item_store(&self) -> &ItemStore {
        self.configuration.item_store()
    }

    /// To be called about ten times a second.
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

    /// A process that doesn't serve reads from its peers; the bootstrap node also creates the first replica set.
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

/// Whole milliseconds, as logs and operators' calls show them.
pub fn millis(duration: Duration) -> i64 {
    duration.as_micros() / 1000
}
