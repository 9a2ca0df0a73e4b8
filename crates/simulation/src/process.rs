//! A control process: one incarnation of a node's state machine. Only this module calls the state machine.

use crate::history::{AttemptId, ItemName, ItemState, ResponseStatus};
use crate::items::{items_from_body, to_message};
use crate::network::SessionId;
use bytes::Bytes;
use kitepass_config::{Item, ItemStore, Kind};
use kitepass_control_plane::endpoints::Endpoint;
use kitepass_control_plane::request::{Request, Response};
use kitepass_control_plane::state_machine::{
    Action, ItemUpdate, ReplicaState, StartParameters, StateMachine,
};
use kitepass_coordination::membership::{Replica, ReplicaSet, CURRENT, INCOMING};
use kitepass_coordination::protocol::{Hello, Items, Message};
use kitepass_coordination::usage::QuotaTolerance;
use kitepass_time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};

/// Keys and values to persist. An empty value removes its key.
pub type Records = Vec<(Vec<u8>, Vec<u8>)>;

const QUOTA_TOLERANCE: QuotaTolerance = QuotaTolerance { window: 5.0, excess: 0.1, margin: 20.0 };
/// Maximum number of items in one message to a gateway. Small, so that changes and full transfers take
/// several messages.
const MAX_ITEMS_PER_MESSAGE: usize = 2;

/// The identity, address and location of a node.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct NodeLocation {
    /// Node id.
    pub node_id: String,
    /// Address of the node.
    pub address: String,
    /// Zone of the node.
    pub zone: String,
    /// Region of the zone.
    pub region: String,
}

/// Parameters for starting a process.
pub struct ProcessStart {
    /// The node that it runs on.
    pub location: NodeLocation,
    /// Incarnation, unique among all processes.
    pub incarnation: u64,
    /// Whether no process was ever started on the node before.
    pub is_first_start: bool,
    /// Whether the process bootstraps the system.
    pub is_bootstrap_node: bool,
    /// Records read from the disk.
    pub records: Records,
}

/// A request of an operator to a process.
#[derive(Clone, Debug)]
pub enum OperatorRequest {
    /// Reads all items.
    Read,
    /// Writes items.
    Change(Vec<Item>),
    /// Starts or ends the evacuation of a zone.
    Evacuation {
        /// The zone.
        zone: String,
        /// True to evacuate the zone, false to end its evacuation.
        is_evacuated: bool,
    },
}

/// A process's response to an operator.
#[derive(Clone, Debug)]
pub enum OperatorResponse {
    /// 200 to a change or an evacuation.
    Done,
    /// 200 to a read, with all items.
    Items(BTreeMap<ItemName, ItemState>),
    /// 400, with the reason.
    Invalid(String),
    /// 409, with the reason.
    Conflict(String),
    /// 307: the process at this address may handle the request.
    Redirect(String),
    /// 503: another process may handle the request.
    Unavailable,
}

impl OperatorResponse {
    /// What the response means for the request.
    pub fn status(&self) -> ResponseStatus {
        match self {
            OperatorResponse::Done | OperatorResponse::Items(_) => ResponseStatus::Confirmed,
            OperatorResponse::Invalid(_) => ResponseStatus::Invalid,
            OperatorResponse::Conflict(_) => ResponseStatus::Conflict,
            OperatorResponse::Redirect(_) | OperatorResponse::Unavailable => ResponseStatus::Unknown,
        }
    }
}

impl From<Response> for OperatorResponse {
    fn from(response: Response) -> OperatorResponse {
        match response {
            Response::Done => OperatorResponse::Done,
            Response::Configuration(snapshot) => {
                OperatorResponse::Items(items_from_body(&snapshot.to_json()))
            }
            Response::Invalid(reason) => OperatorResponse::Invalid(reason),
            Response::Conflict(reason) => OperatorResponse::Conflict(reason),
            Response::Redirect(address) => OperatorResponse::Redirect(address),
            Response::Unavailable(_) => OperatorResponse::Unavailable,
        }
    }
}

/// An action that a process requests.
pub enum ProcessAction {
    /// Send a message to the control process with this node id.
    SendToPeer(String, Message),
    /// Send a message to the gateway of this session.
    SendToSession(SessionId, Message),
    /// Respond to an operator's request.
    Respond(AttemptId, OperatorResponse),
    /// Persist records, then notify the process with this id.
    Persist(u64, Records),
    /// Close this session.
    CloseSession(SessionId),
}

/// A replica set held by a process.
pub struct KnownReplicaSet<'a> {
    /// Name of the replica set: the current or the incoming one.
    pub name: &'static str,
    /// Version of the replica set.
    pub version: u64,
    /// Its encoded bytes.
    pub bytes: &'a Bytes,
}

/// A running control process. All times are those of its machine's monotonic clock.
pub struct Process {
    state_machine: StateMachine,
}

impl Process {
    /// Starts a process.
    pub fn start(now: Timestamp, start: ProcessStart) -> Process {
        let NodeLocation { node_id, address, zone, region } = start.location;
        let start = StartParameters {
            replica: Replica { node_id, address, zone, region, ..Replica::default() },
            incarnation: start.incarnation,
            is_first_start: start.is_first_start,
            is_bootstrap_node: start.is_bootstrap_node,
            records: start.records,
            tolerance: QUOTA_TOLERANCE,
        };
        Process { state_machine: StateMachine::new(now, start) }
    }

    /// Handles the passing of time.
    pub fn tick(&mut self, now: Timestamp) {
        self.state_machine.tick(now);
    }

    /// The hello message that the process sends first on its connections.
    pub fn hello(&self) -> Hello {
        self.state_machine.hello()
    }

    /// Handles the hello message of a peer.
    pub fn peer_connected(&mut self, now: Timestamp, hello: &Hello) {
        self.state_machine.peer_connected(now, hello);
    }

    /// Handles a message of a peer. Returns the addresses of other control processes that it contains.
    pub fn peer_message(&mut self, now: Timestamp, node_id: &str, message: Message) -> Vec<String> {
        self.state_machine.peer_message(now, node_id, message)
    }

    /// True unless this incarnation of a peer is unknown or considered lost.
    pub fn knows_incarnation(&self, node_id: &str, incarnation: u64) -> bool {
        self.state_machine.knows_incarnation(node_id, incarnation)
    }

    /// Addresses of the control processes that it knows.
    pub fn known_addresses(&self) -> BTreeSet<String> {
        self.state_machine.known_addresses()
    }

    /// Handles the completion of a write: its records are durable.
    pub fn records_persisted(&mut self, now: Timestamp, request_id: u64) {
        self.state_machine.records_persisted(now, request_id);
    }

    /// Handles an operator's request, which arrived at `arrived_at`.
    pub fn handle_request(
        &mut self,
        now: Timestamp,
        attempt: AttemptId,
        request: OperatorRequest,
        arrived_at: Timestamp,
    ) {
        let request = match request {
            OperatorRequest::Read => Request::Get,
            OperatorRequest::Change(items) => Request::Patch(items),
            OperatorRequest::Evacuation { zone, is_evacuated } => {
                Request::Evacuate { zone, evacuated: is_evacuated }
            }
        };
        self.state_machine.handle_request(now, attempt.0, request, arrived_at);
    }

    /// Handles the hello message of a gateway on a new session.
    pub fn session_opened(&mut self, now: Timestamp, session: SessionId, hello: Hello) {
        self.state_machine.session_opened(now, session.0, hello);
    }

    /// Handles a message of a gateway.
    pub fn session_message(&mut self, now: Timestamp, session: SessionId, message: Message) {
        self.state_machine.session_message(now, session.0, message);
    }

    /// Handles the end of a session.
    pub fn session_closed(&mut self, now: Timestamp, session: SessionId, reason: &str) {
        self.state_machine.session_closed(now, session.0, reason);
    }

    /// Handles a new version of the platform's endpoint list.
    pub fn endpoints_listed(&mut self, now: Timestamp, endpoints: Vec<Endpoint>) {
        self.state_machine.endpoints_listed(now, endpoints);
    }

    /// Starts a graceful shutdown.
    pub fn shut_down(&mut self, now: Timestamp) {
        self.state_machine.shut_down(now);
    }

    /// Whether the shutdown is complete, so that the process can end.
    pub fn is_shut_down(&self) -> bool {
        self.state_machine.is_shut_down()
    }

    /// Whether the process holds the coordinator lease.
    pub fn is_lease_holder(&self, now: Timestamp) -> bool {
        self.state_machine.lease_term(now).is_some()
    }

    /// Whether the process holds the coordinator lease and acts as coordinator.
    pub fn is_active_coordinator(&self, now: Timestamp) -> bool {
        self.state_machine.active_term(now).is_some()
    }

    /// Whether the process has caught up and is in contact with a majority.
    pub fn is_serving(&self) -> bool {
        self.state_machine.replica_state() == ReplicaState::Serving
    }

    /// Whether its disk holds all data that it ever acknowledged.
    pub fn is_complete(&self) -> bool {
        self.state_machine.hello().is_complete
    }

    /// The state of the replica, for messages.
    pub fn replica_state(&self) -> String {
        format!("{:?}", self.state_machine.replica_state())
    }

    /// The items that it holds.
    pub fn item_store(&self) -> &ItemStore {
        self.state_machine.item_store()
    }

    /// The replica sets that it holds.
    pub fn replica_sets(&self) -> impl Iterator<Item = KnownReplicaSet<'_>> {
        [CURRENT, INCOMING].into_iter().filter_map(|name| {
            let item = self.item_store().get(Kind::ReplicaSet, name)?;
            Some(KnownReplicaSet { name, version: item.version, bytes: item.value.as_ref()? })
        })
    }

    /// Node ids of the current replica set that it holds.
    pub fn replica_ids(&self) -> BTreeSet<String> {
        let replica_set = ReplicaSet::load(self.item_store(), CURRENT);
        let replicas = replica_set.into_iter().flat_map(|replica_set| replica_set.replicas);
        replicas.map(|replica| replica.node_id).collect()
    }

    /// The zones that it considers evacuated.
    pub fn evacuated_zones(&self) -> Vec<String> {
        self.state_machine.evacuated_zones()
    }

    /// Takes the actions requested since the last call.
    pub fn take_actions(&mut self) -> Vec<ProcessAction> {
        let mut actions = Vec::new();
        for action in std::mem::take(&mut self.state_machine.actions) {
            match action {
                Action::SendToPeer(node_id, message) => {
                    actions.push(ProcessAction::SendToPeer(node_id, message));
                }
                Action::SendToSession(session, message) => {
                    actions.push(ProcessAction::SendToSession(SessionId(session), message));
                }
                Action::SendItems(session, update) => {
                    let send = |message| ProcessAction::SendToSession(SessionId(session), message);
                    actions.extend(item_messages(&update).into_iter().map(send));
                }
                Action::Respond(request_id, response) => {
                    actions.push(ProcessAction::Respond(AttemptId(request_id), response.into()));
                }
                Action::Persist(request_id, records) => {
                    actions.push(ProcessAction::Persist(request_id, records));
                }
                Action::CloseSession(session) => {
                    actions.push(ProcessAction::CloseSession(SessionId(session)))
                }
            }
        }
        actions
    }
}

/// Splits an update for a gateway into messages of at most [`MAX_ITEMS_PER_MESSAGE`] items.
fn item_messages(update: &ItemUpdate) -> Vec<Message> {
    let count = update.items.len().div_ceil(MAX_ITEMS_PER_MESSAGE);
    let message = |(index, items)| {
        let extent = update.extent.for_message(index, count);
        Message::Items(Items { extent: extent.into(), ..to_message(items) })
    };
    update.items.chunks(MAX_ITEMS_PER_MESSAGE).enumerate().map(message).collect()
}
