//! A control process: one incarnation of a node's state machine. The one place that touches the state machine's
//! interface.

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

/// Keys and values for a disk; an empty value removes its key.
pub type Records = Vec<(Vec<u8>, Vec<u8>)>;

const QUOTA_TOLERANCE: QuotaTolerance = QuotaTolerance { window: 5.0, excess: 0.1, margin: 20.0 };
/// Items in one message to a gateway, at most: few, so that changes and transfers take several.
const MAX_ITEMS_PER_MESSAGE: usize = 2;

/// Where a node stands, and how it is reached.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct NodeLocation {
    /// Its node id.
    pub node_id: String,
    /// Its address.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// The zone's region.
    pub region: String,
}

/// What a process starts with.
pub struct ProcessStart {
    /// Where it runs.
    pub location: NodeLocation,
    /// Its incarnation: no other process has the same.
    pub incarnation: u64,
    /// Whether the node was never started before.
    pub is_first_start: bool,
    /// Whether it founds the system.
    pub is_bootstrap_node: bool,
    /// What its disk holds.
    pub records: Records,
}

/// What an operator asks of a process.
#[derive(Clone, Debug)]
pub enum OperatorRequest {
    /// To show all items.
    Read,
    /// To write items.
    Change(Vec<Item>),
    /// To evacuate a zone, or to end that.
    Evacuation {
        /// Which zone.
        zone: String,
        /// Whether it is to be evacuated.
        is_evacuated: bool,
    },
}

/// A process' answer, as an operator sees it.
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
    /// 307: another process may do it, at this address.
    Redirect(String),
    /// 503: another process may do it.
    Unavailable,
}

impl OperatorResponse {
    /// What it means for the request.
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

/// What a process wants done.
pub enum ProcessAction {
    /// Send to the control process of this node id.
    SendToPeer(String, Message),
    /// Send to the gateway of this session.
    SendToSession(SessionId, Message),
    /// Answer an operator's request.
    Respond(AttemptId, OperatorResponse),
    /// Persist records, and notify the process by this number.
    Persist(u64, Records),
    /// Close this session.
    CloseSession(SessionId),
}

/// A replica set that a process knows.
pub struct KnownReplicaSet<'a> {
    /// Whether it is the current or the incoming one.
    pub name: &'static str,
    /// Its version.
    pub version: u64,
    /// Its stored form.
    pub bytes: &'a Bytes,
}

/// A running control process. Times are those of its machine's steady clock.
pub struct Process {
    state_machine: StateMachine,
}

impl Process {
    /// Starts an incarnation.
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

    /// Time has passed.
    pub fn tick(&mut self, now: Timestamp) {
        self.state_machine.tick(now);
    }

    /// What it introduces itself with on its connections.
    pub fn hello(&self) -> Hello {
        self.state_machine.hello()
    }

    /// A peer introduced itself on its connection.
    pub fn peer_connected(&mut self, now: Timestamp, hello: &Hello) {
        self.state_machine.peer_connected(now, hello);
    }

    /// A peer sent a message. Returns the addresses of other control processes that the message names.
    pub fn peer_message(&mut self, now: Timestamp, node_id: &str, message: Message) -> Vec<String> {
        self.state_machine.peer_message(now, node_id, message)
    }

    /// True unless this incarnation of a peer is unknown or was given up.
    pub fn knows_incarnation(&self, node_id: &str, incarnation: u64) -> bool {
        self.state_machine.knows_incarnation(node_id, incarnation)
    }

    /// Addresses of the control processes that it knows of.
    pub fn known_addresses(&self) -> BTreeSet<String> {
        self.state_machine.known_addresses()
    }

    /// Records that it asked to persist are durable.
    pub fn records_persisted(&mut self, now: Timestamp, request_id: u64) {
        self.state_machine.records_persisted(now, request_id);
    }

    /// An operator's request arrived.
    pub fn handle_request(&mut self, now: Timestamp, attempt: AttemptId, request: OperatorRequest) {
        let request = match request {
            OperatorRequest::Read => Request::Get,
            OperatorRequest::Change(items) => Request::Patch(items),
            OperatorRequest::Evacuation { zone, is_evacuated } => {
                Request::Evacuate { zone, evacuated: is_evacuated }
            }
        };
        self.state_machine.handle_request(now, attempt.0, request);
    }

    /// A gateway introduced itself on its session.
    pub fn session_opened(&mut self, now: Timestamp, session: SessionId, hello: Hello) {
        self.state_machine.session_opened(now, session.0, hello);
    }

    /// A gateway sent a message.
    pub fn session_message(&mut self, now: Timestamp, session: SessionId, message: Message) {
        self.state_machine.session_message(now, session.0, message);
    }

    /// A session is over.
    pub fn session_closed(&mut self, now: Timestamp, session: SessionId, reason: &str) {
        self.state_machine.session_closed(now, session.0, reason);
    }

    /// The platform's list of endpoints was read.
    pub fn endpoints_listed(&mut self, now: Timestamp, endpoints: Vec<Endpoint>) {
        self.state_machine.endpoints_listed(now, endpoints);
    }

    /// It is asked to shut down gracefully.
    pub fn shut_down(&mut self, now: Timestamp) {
        self.state_machine.shut_down(now);
    }

    /// It has shut down, and can end.
    pub fn is_shut_down(&self) -> bool {
        self.state_machine.is_shut_down()
    }

    /// It holds the coordinator's lease.
    pub fn is_lease_holder(&self, now: Timestamp) -> bool {
        self.state_machine.lease_term(now).is_some()
    }

    /// It holds the coordinator's lease, and acts by it.
    pub fn is_active_coordinator(&self, now: Timestamp) -> bool {
        self.state_machine.active_term(now).is_some()
    }

    /// It has caught up and is in contact with a majority.
    pub fn is_serving(&self) -> bool {
        self.state_machine.replica_state() == ReplicaState::Serving
    }

    /// Its disk holds all that it acknowledged.
    pub fn is_complete(&self) -> bool {
        self.state_machine.hello().is_complete
    }

    /// How far it is, for people.
    pub fn replica_state(&self) -> String {
        format!("{:?}", self.state_machine.replica_state())
    }

    /// Its items.
    pub fn item_store(&self) -> &ItemStore {
        self.state_machine.item_store()
    }

    /// The replica sets that it knows.
    pub fn replica_sets(&self) -> impl Iterator<Item = KnownReplicaSet<'_>> {
        [CURRENT, INCOMING].into_iter().filter_map(|name| {
            let item = self.item_store().get(Kind::ReplicaSet, name)?;
            Some(KnownReplicaSet { name, version: item.version, bytes: item.value.as_ref()? })
        })
    }

    /// Node ids of the current replica set, as far as it knows.
    pub fn replica_ids(&self) -> BTreeSet<String> {
        let replica_set = ReplicaSet::load(self.item_store(), CURRENT);
        let replicas = replica_set.into_iter().flat_map(|replica_set| replica_set.replicas);
        replicas.map(|replica| replica.node_id).collect()
    }

    /// Zones that are evacuated, as far as it knows.
    pub fn evacuated_zones(&self) -> Vec<String> {
        self.state_machine.evacuated_zones()
    }

    /// What it wants done since this was called last.
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

/// A gateway's update in as many messages as it needs, each of a few items.
fn item_messages(update: &ItemUpdate) -> Vec<Message> {
    let count = update.items.len().div_ceil(MAX_ITEMS_PER_MESSAGE);
    let message = |(index, items)| {
        let extent = update.extent.for_message(index, count);
        Message::Items(Items { extent: extent.into(), ..to_message(items) })
    };
    update.items.chunks(MAX_ITEMS_PER_MESSAGE).enumerate().map(message).collect()
}
