//! All that a control process decides, without input or output: it is told what happens, with the time, and leaves
//! what is to be done as [`Action`]s.

mod catch_up;
mod coordinator;
mod proposals;
mod quorum;
mod records;
mod sessions;
mod tombstones;

use crate::endpoints::EndpointList;
use crate::request::{Request, Response};
use bytes::Bytes;
use catch_up::Reader;
use kitepass_config::{chunk_digest, Item, ItemStore, Kind, SchemaValidator, Tenant, BUCKETS};
use kitepass_coordination::catch_up_queue::CatchUpQueue;
use kitepass_coordination::consensus::{
    AcceptReason, Acceptor, Ballot, BallotReservation, ObservedProposals, Proposal, ProposalId,
    ProposalMessage, Restored,
};
use kitepass_coordination::lease::{LeaseCandidate, LeaseVoter};
use kitepass_coordination::membership::{
    JointReplicaSets, Replica, ReplicaObservations, ReplicaSet, CURRENT, INCOMING,
};
use kitepass_coordination::protocol::*;
use kitepass_coordination::quorum_contact::{ContactState, QuorumContact};
use kitepass_coordination::sessions::SessionTable;
use kitepass_coordination::tombstones::TombstoneCollector;
use kitepass_coordination::usage::{QuotaTolerance, RateLimit, UsageCounts};
use kitepass_time::{Duration, Timestamp};
use log::{debug, error, info, warn};
use proposals::{PendingRequest, Watched};
pub use quorum::{millis, ReplicaContact};
use records::{learn, record_vote, unrecord_vote};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Time between two signs of life to each other control process and each session.
const BEAT: Duration = Duration::from_micros(500_000);
/// A peer or session that has said nothing for so long is given up.
const SILENT: Duration = Duration::from_micros(1_500_000);
/// An order that the core has not borne out by then is answered 503: its caller goes elsewhere. Callers wait longer for
/// large bodies, and so much more is borne for each MiB.
const PATIENCE: Duration = Duration::from_micros(2_500_000);
const PATIENCE_MIB: Duration = Duration::from_micros(1_000_000);
/// After the last contact a look-up is answered for so long: what this process knows of the gateways is that old.
const LOOKUP: Duration = Duration::from_micros(4_000_000);
/// A seat that was given up for its silence so long ago may go, if another stands in its district. Danger: until its
/// successor has its place a second loss may leave no majority.
const GONE: Duration = Duration::from_micros(1_000_000);
/// So long a change of the cast is left to whoever does the duty, and a drawn time more. Microseconds.
const HALF_WAY: i64 = 1_500_000;
/// For so long the founder waits for others after the last that came, and at the most.
const GATHER: Duration = Duration::from_micros(900_000);
const GATHER_MOST: Duration = Duration::from_micros(4_000_000);
/// Backends that are gone and still remembered. An older copy that brings one back is put right by the next reading.
const MOST_DROPPED: usize = 4_096;
/// The one duty: reading the platform's list, holding the counts, changing the cast.
pub const COORDINATOR_ROLE: &str = "steward";
/// The record that says that this folder holds all that was acknowledged here.
const FULL: &[u8] = b"full";
/// The record of this folder's number, with which its seat is named.
const REPLICA_ID: &[u8] = b"folder";
/// The record of whom this voter granted the duty last, by seat, and the edition of the newest cast that it knew.
const VOTE: &[u8] = b"vote";
/// The record of the gateways that counted as live. Danger: a core that was killed whole would take the first few
/// that come back for all, and give each too large a part of every quota.
const LIVE: &[u8] = b"live";

/// A drop is forgotten once all of the core has held it on disk for so long.
const AGE: Duration = Duration::from_micros(3_600_000_000);
/// Bytes on their way to gateways that are told what they lack, all together, and of one piece.
const MOST_FED: usize = 8 * 1024 * 1024;
const FED: usize = 256 * 1024;

/// What a control process wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// To a control process, by its station.
    SendToPeer(String, Message),
    /// To a gateway, by its session's number.
    SendToSession(u64, Message),
    /// Items to a gateway's session, in as many words as they need. Sessions that are told the same share them.
    SendItems(u64, Arc<[Item]>),
    /// To a caller, by the number that it asked under.
    Respond(u64, Response),
    /// To be kept on disk, and told as [`StateMachine::kept`] with the ticket.
    Persist(u64, Vec<(Vec<u8>, Vec<u8>)>),
    /// A session is to be closed.
    CloseSession(u64),
}

/// How far a process may be relied on. [`StateMachine::shift`] alone changes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaState {
    /// It knows of no core.
    Uninitialized,
    /// It knows of a core, and has yet to hear what was acknowledged while it was away.
    CatchingUp,
    /// It has caught up, and is in contact with a majority: it takes orders and sessions.
    Serving,
    /// It had caught up, and too few of the core have proved lately that they hear it: it cannot know of all that is
    /// acknowledged, and hands nothing out as current. Gateways are told, and go to another if there is a better one.
    Isolated,
    /// It ends: nothing new is taken.
    ShuttingDown,
}

impl ReplicaState {
    /// The state's name in what operators' calls answer (`standing` of `/v1/members`). Never renamed: operators' tools
    /// read it.
    pub fn wire_name(self) -> &'static str {
        match self {
            ReplicaState::Uninitialized => "blank",
            ReplicaState::CatchingUp => "behind",
            ReplicaState::Serving => "current",
            ReplicaState::Isolated => "apart",
            ReplicaState::ShuttingDown => "leaving",
        }
    }
}

struct Peer {
    hello: Hello,
    /// Its seat's name.
    name: String,
    heard: Timestamp,
    digest: u64,
    differs: u32,
    role: u64,
    leaving: bool,
}

struct Session {
    hello: Hello,
    ready: bool,
    heard: Timestamp,
    differs: u32,
}

/// How far one has come with the duty. [`StateMachine::serve`] alone changes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CoordinatorState {
    /// Another's, or nobody's.
    Follower,
    /// Won under a term. Danger: whoever acts on what it knew before would bring an older list, count or cast back.
    Recovering(u64),
    /// It has read under that term what a majority holds, and acts.
    Active(u64),
}

enum Kept {
    /// What was accepted for an order of a station, and what it is told then.
    Copy {
        node_id: String,
        stored: AcceptResponse,
        reserve: Option<BallotReservation>,
    },
    /// A floor that covers what was promised to a station.
    Promise {
        node_id: String,
        held: PrepareResponse,
        reserve: BallotReservation,
    },
    /// A vote that may be told.
    Vote {
        node_id: String,
        vote: Vote,
        grant: LeaseVote,
    },
    /// The record that makes this folder full.
    Full,
    Nothing,
}

/// Whom a voter granted the duty, by seat, and the newest cast that it knew.
type Vote = (String, u64);

pub struct StateMachine {
    me: Replica,
    /// This process' own seat.
    name: String,
    incarnation: u64,
    maiden: bool,
    founder: bool,
    item_store: ItemStore,
    checker: SchemaValidator,
    replica_state: ReplicaState,
    full: bool,
    begun: Timestamp,
    newest: Timestamp,
    caught: BTreeSet<String>,
    /// The highest cast that one of these has accepted to be in force.
    caught_whole: u64,
    /// The ticket under which it catches up, or 0; when somebody was asked first under it.
    inquiry: u64,
    /// Readings of others under way, by ticket and station.
    readers: BTreeMap<(u64, String), Reader>,
    asked: Timestamp,
    contact: QuorumContact,
    peers: BTreeMap<String, Peer>,
    /// Seats that are not heard, by name, and since when.
    lost: BTreeMap<String, Timestamp>,
    /// Seats that said that they leave, by name.
    leaving: BTreeSet<String>,
    sessions: BTreeMap<u64, Session>,
    /// Sessions that are told what they lack.
    feeds: CatchUpQueue,
    table: SessionTable,
    told: (u64, Timestamp, Vec<Member>),
    /// Gateways that count as live, reckoned once a beat.
    live: Vec<String>,
    voter: LeaseVoter,
    /// Whom the record on disk names.
    recorded: Vote,
    service: CoordinatorState,
    /// The coming cast that is decided and not in force, by its edition, and when this process ends that change itself.
    odd: Option<(u64, Timestamp)>,
    candidate: LeaseCandidate,
    counts: Option<(u64, UsageCounts)>,
    /// Limits of the tenants that stand.
    rate_limit: BTreeMap<String, RateLimit>,
    tolerance: QuotaTolerance,
    roster: EndpointList,
    /// What this seat has promised and accepted.
    acceptor: Acceptor,
    /// The highest ballot heard of.
    highest: Ballot,
    work: BTreeMap<u64, PendingRequest>,
    /// Calls that are accepted somewhere and not known to be settled.
    watch: BTreeMap<ProposalId, Watched>,
    /// Calls that are denied, and under which ballot.
    denied: BTreeMap<ProposalId, Ballot>,
    /// By station, copies that wait for what this process lacks, asked for under a ticket.
    pulls: BTreeMap<String, (u64, AcceptRequest)>,
    /// Drops that may be forgotten one day, for whoever does the duty; how long that takes, and when they were looked
    /// through last.
    tombs: TombstoneCollector,
    age: Duration,
    looked: Timestamp,
    /// When this process was in touch with the core last.
    touched: Timestamp,
    /// It holds what it held before it was away for long, and has yet to be found in the cast.
    unproven: bool,
    keeping: BTreeMap<u64, Kept>,
    /// Records that go to disk with the next ones, or at the next tick.
    later: Vec<(Vec<u8>, Vec<u8>)>,
    request_id: u64,
    beat: Timestamp,
    inquired: Timestamp,
    chance: oorandom::Rand64,
    pub active_term: Vec<Action>,
}

/// What a process is at its start.
pub struct Start {
    /// Its folder's number is taken from the records, or drawn if there are none.
    pub me: Replica,
    /// Drawn anew each time.
    pub incarnation: u64,
    /// The first start of the whole system, with an empty folder.
    pub is_first_start: bool,
    /// The one that gathers the first cast.
    pub is_bootstrap_node: bool,
    pub records: Vec<(Vec<u8>, Vec<u8>)>,
    /// What is borne beyond a quota.
    pub tolerance: QuotaTolerance,
}

impl StateMachine {
    pub fn new(now: Timestamp, start: Start) -> StateMachine {
        let (mut item_store, mut full, mut table) = (ItemStore::new(), false, SessionTable::default());
        let (mut recorded, mut me, mut empty) = (Vote::default(), start.me, true);
        let (mut acceptor, mut garbled) = (Acceptor::new(), Vec::new());
        me.replica_id = 0;
        for (key, value) in &start.records {
            empty &= key == REPLICA_ID;
            if key == FULL {
                full = true;
            } else if key == REPLICA_ID {
                me.replica_id = value.first_chunk().map_or(0, |bytes| u64::from_be_bytes(*bytes));
            } else if key == VOTE {
                recorded = unrecord_vote(value);
            } else if key == LIVE {
                let node_ids = String::from_utf8_lossy(value);
                node_ids.split(',').filter(|s| !s.is_empty()).for_each(|s| table.restore(now, s));
            } else if let Some((item, past)) = kitepass_config::decode_record(key, value) {
                item_store.merge_with_history(item, &past);
            } else if acceptor.restore(key, value) == Restored::Garbled {
                // Danger: what it accepted may have been chosen by it. It is as good as lost, and comes anew.
                error!("event=record-garbled key={:?}", String::from_utf8_lossy(key));
                garbled.push((key.clone(), Vec::new()));
            }
        }
        let is_garbled = !garbled.is_empty();
        garbled.extend(acceptor.commit_all(&item_store));
        // The folder of a version that had no numbers stays the seat that it was.
        let drawn = (start.records.is_empty() || is_garbled).then(|| start.incarnation.max(1));
        full &= !is_garbled;
        me.replica_id = drawn.unwrap_or(me.replica_id);
        let mut rate_limit = BTreeMap::new();
        item_store.items_of(Kind::Tenant).for_each(|item| learn(&mut rate_limit, item));
        let standing = if ReplicaSet::load(&item_store, CURRENT).is_some() {
            ReplicaState::CatchingUp
        } else {
            ReplicaState::Uninitialized
        };
        let name = me.name();
        let newest = JointReplicaSets::load(&item_store).map(|epoch| epoch.newest().clone());
        // Danger: a vote given before this cast was known says nothing of what a majority of it may have granted since.
        let stood = newest.as_ref().is_some_and(|replica_set| replica_set.version == recorded.1);
        let recalled = stood.then(|| (COORDINATOR_ROLE.to_owned(), recorded.0.clone())).into_iter().collect();
        info!("event=start seat={name} standing={standing:?} full={full} items={}", item_store.len());
        let mut chance = oorandom::Rand64::new(u128::from(start.incarnation));
        let is_held = !item_store.is_empty();
        let mut core = StateMachine {
            contact: QuorumContact::new(&name, chance.rand_u64() as u32),
            voter: LeaseVoter::new(now, start.is_first_start && empty, recalled, newest),
            recorded,
            service: CoordinatorState::Follower,
            odd: None,
            chance,
            maiden: start.is_first_start && empty,
            founder: start.is_bootstrap_node && start.is_first_start && empty,
            me,
            name,
            incarnation: start.incarnation,
            item_store,
            checker: SchemaValidator::new(),
            replica_state: standing,
            full,
            begun: now,
            newest: now,
            caught: BTreeSet::new(),
            caught_whole: 0,
            inquiry: 0,
            readers: BTreeMap::new(),
            asked: now,
            peers: BTreeMap::new(),
            lost: BTreeMap::new(),
            leaving: BTreeSet::new(),
            sessions: BTreeMap::new(),
            feeds: CatchUpQueue::new(MOST_FED),
            table,
            told: (0, Timestamp::default(), Vec::new()),
            live: Vec::new(),
            candidate: LeaseCandidate::new(COORDINATOR_ROLE, start.incarnation),
            counts: None,
            rate_limit,
            tolerance: start.tolerance,
            roster: EndpointList::default(),
            acceptor,
            highest: Ballot::default(),
            work: BTreeMap::new(),
            watch: BTreeMap::new(),
            denied: BTreeMap::new(),
            pulls: BTreeMap::new(),
            tombs: TombstoneCollector::new(AGE),
            age: AGE,
            looked: now,
            touched: now,
            unproven: is_held,
            keeping: BTreeMap::new(),
            later: Vec::new(),
            request_id: 0,
            beat: now,
            inquired: Timestamp::default(),
            active_term: Vec::new(),
        };
        if let Some(replica_id) = drawn {
            // First of all records, so that whatever else is on disk is on disk under this number.
            core.keep_records(vec![(REPLICA_ID.to_vec(), replica_id.to_be_bytes().to_vec())], Kept::Nothing);
        }
        if !garbled.is_empty() {
            core.keep_records(garbled, Kept::Nothing);
        }
        core.prove(now);
        core
    }

    pub fn hello(&self) -> Hello {
        Hello {
            node_id: self.me.node_id.clone(),
            address: self.me.address.clone(),
            zone: self.me.zone.clone(),
            region: self.me.region.clone(),
            incarnation: self.incarnation,
            is_control_plane: true,
            client_address: String::new(),
            is_serving: self.replica_state == ReplicaState::Serving,
            is_complete: self.full,
            replica_id: self.me.replica_id,
        }
    }

    pub fn replica_state(&self) -> ReplicaState {
        self.replica_state
    }

    pub fn item_store(&self) -> &ItemStore {
        &self.item_store
    }

    fn shift(&mut self, to: ReplicaState) {
        if self.replica_state != to {
            info!(
                "event=standing from={:?} to={to:?} items={} full={}",
                self.replica_state,
                self.item_store.len(),
                self.full
            );
            self.replica_state = to;
        }
    }

    fn request_id(&mut self) -> u64 {
        self.request_id += 1;
        self.request_id
    }

    /// Records go to disk, behind those that could wait.
    fn keep_records(&mut self, records: Vec<(Vec<u8>, Vec<u8>)>, why: Kept) {
        let request_id = self.request_id();
        let records = match self.later.is_empty() {
            true => records,
            false => std::mem::take(&mut self.later).into_iter().chain(records).collect(),
        };
        self.keeping.insert(request_id, why);
        self.active_term.push(Action::Persist(request_id, records));
    }

    fn send(&mut self, node_id: &str, message: Message) {
        self.active_term.push(Action::SendToPeer(node_id.to_owned(), message));
    }

    fn send_all(&mut self, message: &Message) {
        for node_id in self.peers.keys() {
            self.active_term.push(Action::SendToPeer(node_id.clone(), message.clone()));
        }
    }

    /// What another control process says. Addresses that it tells of come back.
    pub fn peer_message(&mut self, now: Timestamp, node_id: &str, message: Message) -> Vec<String> {
        let Some(peer) = self.peers.get_mut(node_id) else { return Vec::new() };
        peer.heard = now;
        let (incarnation, name) = (peer.hello.incarnation, peer.name.clone());
        match &message {
            Message::Heartbeat(beat) => {
                self.contact.heartbeat_received(now, &name, beat.sequence, beat.echoed_sequence)
            }
            Message::PrepareResponse(held)
                if (held.incarnation, held.request_id) == (self.incarnation, self.inquiry) =>
            {
                self.contact.response_received(now, &name, self.asked);
            }
            _ => {}
        }
        if matches!(message, Message::Heartbeat(_) | Message::PrepareResponse(_)) {
            self.judge_contact(now);
        }
        let Some(peer) = self.peers.get_mut(node_id) else { return Vec::new() };
        match message {
            Message::Heartbeat(beat) => {
                (peer.hello.is_serving, peer.hello.is_complete, peer.digest) =
                    (beat.is_serving, beat.is_complete, beat.digest);
                (peer.role, peer.leaving) = (beat.coordinator_term, beat.is_shutting_down);
                peer.differs =
                    if beat.digest == self.item_store.history_digest() { 0 } else { peer.differs + 1 };
                let asks = peer.differs >= 2;
                self.agreed(now, &name, &beat);
                self.table.heartbeat_received(now, node_id, incarnation);
                if asks {
                    self.peers.get_mut(node_id).expect("found above").differs = 0;
                    self.repair(now, node_id, &name);
                }
            }
            Message::MembershipUpdate(live) => return live.control_addresses,
            // Backends as whoever does the duty reads them, and the first cast. Danger: whatever else is told unasked could
            // be what was dropped and forgotten.
            Message::Items(items) => {
                let items = items.items.into_iter().filter_map(ItemMessage::into_entry);
                self.take(
                    items.filter(|(i, _)| matches!(i.kind, Kind::Backend | Kind::ReplicaSet)).collect(),
                );
            }
            Message::AcceptRequest(store) => self.copy(now, node_id, store),
            Message::Commit(decided) => self.decided(&decided),
            Message::PurgeTombstones(forget) if self.trusts(&name) => self.forget(forget.into_expired()),
            // Danger: an answer to an earlier life of this process would pass for a copy of what this life asked to store.
            Message::AcceptResponse(stored) if stored.incarnation == self.incarnation => {
                self.stored(now, &name, stored)
            }
            Message::PrepareRequest(inquire) => self.inquired(now, node_id, &inquire),
            Message::PrepareResponse(held) => self.held(now, node_id, &name, held),
            Message::LeaseRequest(claim) => self.vote(now, node_id, &name, &claim),
            Message::LeaseVote(grant) => self.granted(now, &name, &grant),
            Message::SessionList(sessions) => {
                self.table.update(now, node_id, incarnation, &sessions);
            }
            Message::UsageReport(adds) => {
                if let Some(totals) = self.add(now, &adds) {
                    self.send(node_id, Message::UsageTotals(totals));
                }
            }
            Message::UsageTotals(totals) => self.totals(totals),
            _ => {}
        }
        self.pursue(now);
        Vec::new()
    }

    /// To be called about ten times a second.
    pub fn tick(&mut self, now: Timestamp) {
        if now - self.beat >= BEAT {
            self.beat = now;
            self.beat(now);
        }
        self.judge_contact(now);
        match self.replica_state {
            ReplicaState::Uninitialized | ReplicaState::CatchingUp | ReplicaState::Isolated
                if now - self.inquired > BEAT =>
            {
                self.ask_core(now);
                self.found(now);
            }
            _ => {}
        }
        self.forget_readers(now);
        self.touch(now);
        self.feed(now);
        self.claim(now);
        self.settle(now);
        self.pursue(now);
        if !self.later.is_empty() {
            self.keep_records(Vec::new(), Kept::Nothing);
        }
        let patience = |order: &Request| match order {
            Request::Fill(_) | Request::Survey => PATIENCE * 2, // no caller waits, and all that they met has to be settled
            order => PATIENCE + PATIENCE_MIB * (order.bytes() >> 20) as i64,
        };
        let is_late = |work: &PendingRequest| now - work.since > patience(&work.order);
        let late: Vec<u64> = self.work.iter().filter(|(_, w)| is_late(w)).map(|(id, _)| *id).collect();
        for id in late {
            warn!("event=order-late order={}", self.work[&id].order.name());
            self.end(id, Response::Unavailable("the core did not bear it out in time"));
        }
    }
}
