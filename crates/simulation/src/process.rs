//! The one place that touches the core's interface: a life of a control process.

use crate::history::{AnswerStatus, Content, ItemName, Write};
use bytes::Bytes;
use kitepass_config::{Item, ItemStore, Kind};
use kitepass_control_plane::endpoints::Endpoint;
use kitepass_control_plane::request::{Request, Response};
use kitepass_control_plane::state_machine::{Action, ReplicaState, Start, StateMachine};
use kitepass_coordination::membership::{Replica, ReplicaSet, CURRENT, INCOMING};
use kitepass_coordination::protocol::{Hello, ItemMessage, Items, Message};
use kitepass_coordination::usage::QuotaTolerance;
use kitepass_time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};

pub type Records = Vec<(Vec<u8>, Vec<u8>)>;

const SLACK: QuotaTolerance = QuotaTolerance { window: 5.0, excess: 0.1, margin: 20.0 };
/// Items in one word to a gateway.
const BATCH: usize = 64;

/// Where a machine stands, and under which name.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct Location {
    pub node_id: String,
    pub address: String,
    pub zone: String,
    pub region: String,
}

/// How a life begins.
pub struct ProcessStart {
    pub location: Location,
    pub incarnation: u64,
    pub maiden: bool,
    pub founder: bool,
    pub records: Records,
}

/// What an operator asks for.
#[derive(Clone, Debug)]
pub enum OperatorRequest {
    Read,
    Change(Vec<Item>),
    Zone { zone: String, on: bool },
}

/// An answer, as a caller sees it.
#[derive(Clone, Debug)]
pub enum Answer {
    Done,
    Shown(BTreeMap<ItemName, (u64, Content)>),
    Invalid(String),
    Taken(String),
    /// Elsewhere, at an address if one is named.
    Elsewhere(Option<String>),
}

impl Answer {
    pub fn status(&self) -> AnswerStatus {
        match self {
            Answer::Done | Answer::Shown(_) => AnswerStatus::Confirmed,
            Answer::Invalid(_) => AnswerStatus::Invalid,
            Answer::Taken(_) => AnswerStatus::Taken,
            Answer::Elsewhere(_) => AnswerStatus::Unclear,
        }
    }
}

/// What a process wants done.
pub enum ProcessAction {
    /// To a control process, by its station.
    Peer(String, Message),
    /// To a gateway, by its session.
    Session(u64, Message),
    Answer(u64, Answer),
    Keep(u64, Records),
    /// A session is to be closed.
    Close(u64),
}

pub struct Process {
    core: StateMachine,
}

impl Process {
    pub fn start(now: Timestamp, birth: ProcessStart) -> Process {
        let Location { node_id, address, zone, region } = birth.location;
        let me = Replica { node_id, address, zone, region, ..Replica::default() };
        let ProcessStart { incarnation, maiden, founder, records, .. } = birth;
        Process {
            core: StateMachine::new(
                now,
                Start {
                    me,
                    incarnation,
                    is_first_start: maiden,
                    is_bootstrap_node: founder,
                    records,
                    tolerance: SLACK,
                },
            ),
        }
    }

    pub fn tick(&mut self, now: Timestamp) {
        self.core.tick(now);
    }

    pub fn hello(&self) -> Hello {
        self.core.hello()
    }

    pub fn peer_came(&mut self, now: Timestamp, hello: &Hello) {
        self.core.peer_connected(now, hello);
    }

    /// Addresses that it tells of come back.
    pub fn peer_said(&mut self, now: Timestamp, node_id: &str, message: Message) -> Vec<String> {
        self.core.peer_message(now, node_id, message)
    }

    pub fn knows(&self, node_id: &str, incarnation: u64) -> bool {
        self.core.knows_incarnation(node_id, incarnation)
    }

    /// Addresses of the control processes that it knows of.
    pub fn stops(&self) -> BTreeSet<String> {
        self.core.known_addresses()
    }

    pub fn kept(&mut self, now: Timestamp, request_id: u64) {
        self.core.records_persisted(now, request_id);
    }

    pub fn wish(&mut self, now: Timestamp, caller: u64, wish: &OperatorRequest) {
        let order = match wish {
            OperatorRequest::Read => Request::Get,
            OperatorRequest::Change(items) => Request::Patch(items.clone()),
            OperatorRequest::Zone { zone, on } => Request::Evacuate { zone: zone.clone(), on: *on },
        };
        self.core.handle_request(now, caller, order);
    }

    pub fn session_came(&mut self, now: Timestamp, id: u64, hello: Hello) {
        self.core.session_opened(now, id, hello);
    }

    pub fn session_said(&mut self, now: Timestamp, id: u64, message: Message) {
        self.core.session_message(now, id, message);
    }

    pub fn session_lost(&mut self, now: Timestamp, id: u64, why: &str) {
        self.core.session_closed(now, id, why);
    }

    pub fn list_read(&mut self, now: Timestamp, entries: Vec<Endpoint>) {
        self.core.endpoints_listed(now, entries);
    }

    pub fn leave(&mut self, now: Timestamp) {
        self.core.shut_down(now);
    }

    pub fn has_left(&self) -> bool {
        self.core.is_shut_down()
    }

    pub fn does_the_duty(&self, now: Timestamp) -> bool {
        self.core.lease_term(now).is_some()
    }

    pub fn is_current(&self) -> bool {
        self.core.replica_state() == ReplicaState::Serving
    }

    /// Its folder holds all that it acknowledged.
    pub fn is_full(&self) -> bool {
        self.core.hello().is_complete
    }

    pub fn standing(&self) -> String {
        format!("{:?}", self.core.replica_state())
    }

    pub fn item_store(&self) -> &ItemStore {
        self.core.item_store()
    }

    /// The casts that it knows, by name: edition and bytes.
    pub fn replica_sets(&self) -> impl Iterator<Item = (&'static str, u64, &Bytes)> {
        let replica_set = |name| self.item_store().get(Kind::ReplicaSet, name).map(|item| (name, item));
        let known = [CURRENT, INCOMING].into_iter().filter_map(replica_set);
        known.filter_map(|(name, item)| Some((name, item.version, item.value.as_ref()?)))
    }

    /// Stations of the cast in force, as far as it knows.
    pub fn seated(&self) -> Vec<String> {
        let replica_set = ReplicaSet::load(self.item_store(), CURRENT);
        replica_set.map_or(Vec::new(), |replica_set| {
            replica_set.replicas.into_iter().map(|replica| replica.node_id).collect()
        })
    }

    pub fn evacuated(&self) -> Vec<String> {
        self.core.evacuated_zones()
    }

    /// Members that take requests.
    pub fn ready_members(&self) -> usize {
        self.core.members().iter().filter(|member| member.is_ready).count()
    }

    /// What it wants done since it was asked last.
    pub fn take_actions(&mut self) -> Vec<ProcessAction> {
        let mut take_actions = Vec::new();
        for act in std::mem::take(&mut self.core.active_term) {
            match act {
                Action::SendToPeer(node_id, message) => {
                    take_actions.push(ProcessAction::Peer(node_id, message))
                }
                Action::SendToSession(id, message) => take_actions.push(ProcessAction::Session(id, message)),
                Action::SendItems(id, items) => take_actions.extend(
                    items
                        .chunks(BATCH)
                        .map(|items| ProcessAction::Session(id, Message::Items(words_of(items)))),
                ),
                Action::Respond(caller, response) => {
                    take_actions.push(ProcessAction::Answer(caller, answer(response)))
                }
                Action::Persist(request_id, records) => {
                    take_actions.push(ProcessAction::Keep(request_id, records))
                }
                Action::CloseSession(id) => take_actions.push(ProcessAction::Close(id)),
            }
        }
        take_actions
    }
}

fn answer(response: Response) -> Answer {
    match response {
        Response::Done => Answer::Done,
        Response::Body(body) => Answer::Shown(shown(&body)),
        Response::Invalid(why) => Answer::Invalid(why),
        Response::Conflict(why) => Answer::Taken(why),
        Response::Redirect(address) => Answer::Elsewhere(Some(address)),
        Response::Unavailable(_) => Answer::Elsewhere(None),
    }
}

pub fn words_of(items: &[Item]) -> Items {
    Items { items: items.iter().map(ItemMessage::from).collect() }
}

/// The items of an operator's call, as its body would be read.
pub fn items_of(parts: &[Write]) -> Vec<Item> {
    let item = |part: &Write| Item {
        kind: part.name.0,
        name: part.name.1.as_str().into(),
        version: part.version,
        value: match part.content {
            Content::Dropped => None,
            Content::Set(call) => Some(text_of(&part.name, call).into()),
        },
    };
    parts.iter().map(item).collect()
}

/// The text of an item that carries the number of its call. Keys are sorted, as `read_call` leaves them. A route goes to
/// the service that its name ends with; a tenant whose name begins so shares a key with its like.
fn text_of(name: &ItemName, call: u64) -> String {
    match name.0 {
        Kind::Route => {
            let line = name.1.rsplit('-').next().unwrap_or_default();
            format!(
                r#"{{"deadline-ms":3000,"depot":"h.example","lane-prefix":"/{}/","line":"{line}","mail-kind":"safe","target-ms":{call}}}"#,
                name.1
            )
        }
        Kind::Tenant => {
            let key = name.1.rsplit('-').next().unwrap_or_default();
            format!(r#"{{"permits":["{key}"],"rate-per-s":5,"surge":{call}}}"#)
        }
        _ => format!(r#"{{"checkpoint":"/{call}"}}"#),
    }
}

fn content_of(kind: Kind, fields: &serde_json::Value) -> Option<Content> {
    let call = match kind {
        Kind::Service => fields["checkpoint"].as_str()?.strip_prefix('/')?.parse().ok()?,
        Kind::Route => fields["target-ms"].as_u64()?,
        Kind::Tenant => fields["surge"].as_u64()?,
        _ => return None,
    };
    Some(Content::Set(call))
}

/// What an item of the configuration says; none for other kinds.
pub fn part_of(item: &Item) -> Option<Write> {
    if !matches!(item.kind, Kind::Service | Kind::Route | Kind::Tenant) {
        return None;
    }
    let content = match &item.value {
        None => Content::Dropped,
        Some(value) => content_of(item.kind, &serde_json::from_slice(value).ok()?)?,
    };
    Some(Write { name: (item.kind, item.name.to_string()), version: item.version, content })
}

/// The body of a `Get`, read back.
fn shown(body: &[u8]) -> BTreeMap<ItemName, (u64, Content)> {
    let whole: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
    let mut shown = BTreeMap::new();
    let lists = [("itineraries", Kind::Route), ("customers", Kind::Tenant), ("carrier-lines", Kind::Service)];
    for (list, kind) in lists {
        let headings = whole[list]["headings"].as_array().cloned().unwrap_or_default();
        for entry in whole[list]["entries"].as_array().into_iter().flatten() {
            let fields: serde_json::Map<String, serde_json::Value> = headings
                .iter()
                .filter_map(|heading| heading.as_str().map(str::to_owned))
                .zip(entry.as_array().cloned().unwrap_or_default())
                .collect();
            let fields = serde_json::Value::Object(fields);
            let version = fields["edition"].as_str().and_then(|text| text.strip_prefix('r')?.parse().ok());
            let name = fields["name"].as_str().map(str::to_owned);
            if let (Some(name), Some(version), Some(content)) = (name, version, content_of(kind, &fields)) {
                shown.insert((kind, name), (version, content));
            }
        }
    }
    shown
}
