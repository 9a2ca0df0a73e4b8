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
use kitepass_coordination::quorum_contact::{QuorumContact, State as ContactState};
use kitepass_coordination::sessions::Table;
use kitepass_coordination::tombstones::TombstoneCollector;
use kitepass_coordination::usage::{QuotaTolerance, RateLimit, UsageCounts};
use kitepass_time::{Duration, Timestamp};
use log::{debug, error, info, warn};
use proposals::{PendingRequest, Watched};
pub use quorum::{millis, SeatContact};
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
const FOLDER: &[u8] = b"folder";
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
    Peer(String, Message),
    /// To a gateway, by its session's number.
    Session(u64, Message),
    /// Items to a gateway's session, in as many words as they need. Sessions that are told the same share them.
    Items(u64, Arc<[Item]>),
    /// To a caller, by the number that it asked under.
    Answer(u64, Response),
    /// To be kept on disk, and told as [`StateMachine::kept`] with the ticket.
    Keep(u64, Vec<(Vec<u8>, Vec<u8>)>),
    /// A session is to be closed.
    Close(u64),
}

/// How far a process may be relied on. [`StateMachine::shift`] alone changes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaState {
    /// It knows of no core.
    Blank,
    /// It knows of a core, and has yet to hear what was acknowledged while it was away.
    Behind,
    /// It has caught up, and is in contact with a majority: it takes orders and sessions.
    Current,
    /// It had caught up, and too few of the core have proved lately that they hear it: it cannot know of all that is
    /// acknowledged, and hands nothing out as current. Gateways are told, and go to another if there is a better one.
    Apart,
    /// It ends: nothing new is taken.
    Leaving,
}

struct Peer {
    hello: Hello,
    /// Its seat's name.
    name: String,
    heard: Timestamp,
    digest: u64,
    differs: u32,
    duty: u64,
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
    Idle,
    /// Won under a term. Danger: whoever acts on what it knew before would bring an older list, count or cast back.
    Reading(u64),
    /// It has read under that term what a majority holds, and acts.
    Acting(u64),
}

enum Kept {
    /// What was accepted for an order of a station, and what it is told then.
    Copy {
        station: String,
        stored: AcceptResponse,
        reserve: Option<BallotReservation>,
    },
    /// A floor that covers what was promised to a station.
    Promise {
        station: String,
        held: PrepareResponse,
        reserve: BallotReservation,
    },
    /// A vote that may be told.
    Vote {
        station: String,
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
    life: u64,
    maiden: bool,
    founder: bool,
    ledger: ItemStore,
    checker: SchemaValidator,
    standing: ReplicaState,
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
    table: Table,
    told: (u64, Timestamp, Vec<Member>),
    /// Gateways that count as live, reckoned once a beat.
    live: Vec<String>,
    voter: LeaseVoter,
    /// Whom the record on disk names.
    recorded: Vote,
    service: CoordinatorState,
    /// The coming cast that is decided and not in force, by its edition, and when this process ends that change itself.
    odd: Option<(u64, Timestamp)>,
    claimant: LeaseCandidate,
    counts: Option<(u64, UsageCounts)>,
    /// Limits of the tenants that stand.
    terms: BTreeMap<String, RateLimit>,
    slack: QuotaTolerance,
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
    ticket: u64,
    beat: Timestamp,
    inquired: Timestamp,
    chance: oorandom::Rand64,
    pub acts: Vec<Action>,
}

/// What a process is at its start.
pub struct Start {
    /// Its folder's number is taken from the records, or drawn if there are none.
    pub me: Replica,
    /// Drawn anew each time.
    pub life: u64,
    /// The first start of the whole system, with an empty folder.
    pub maiden: bool,
    /// The one that gathers the first cast.
    pub founder: bool,
    pub records: Vec<(Vec<u8>, Vec<u8>)>,
    /// What is borne beyond a quota.
    pub slack: QuotaTolerance,
}

impl StateMachine {
    pub fn new(now: Timestamp, start: Start) -> StateMachine {
        let (mut ledger, mut full, mut table) = (ItemStore::new(), false, Table::default());
        let (mut recorded, mut me, mut empty) = (Vote::default(), start.me, true);
        let (mut acceptor, mut garbled) = (Acceptor::new(), Vec::new());
        me.folder = 0;
        for (key, value) in &start.records {
            empty &= key == FOLDER;
            if key == FULL {
                full = true;
            } else if key == FOLDER {
                me.folder = value.first_chunk().map_or(0, |bytes| u64::from_be_bytes(*bytes));
            } else if key == VOTE {
                recorded = unrecord_vote(value);
            } else if key == LIVE {
                let stations = String::from_utf8_lossy(value);
                stations.split(',').filter(|s| !s.is_empty()).for_each(|s| table.recall(now, s));
            } else if let Some((item, past)) = kitepass_config::decode_record(key, value) {
                ledger.merge_with(item, &past);
            } else if acceptor.restore(key, value) == Restored::Garbled {
                // Danger: what it accepted may have been chosen by it. It is as good as lost, and comes anew.
                error!("event=record-garbled key={:?}", String::from_utf8_lossy(key));
                garbled.push((key.clone(), Vec::new()));
            }
        }
        let is_garbled = !garbled.is_empty();
        garbled.extend(acceptor.settle_all(&ledger));
        // The folder of a version that had no numbers stays the seat that it was.
        let drawn = (start.records.is_empty() || is_garbled).then(|| start.life.max(1));
        full &= !is_garbled;
        me.folder = drawn.unwrap_or(me.folder);
        let mut terms = BTreeMap::new();
        ledger.each(Kind::Tenant).for_each(|item| learn(&mut terms, item));
        let standing = if ReplicaSet::of(&ledger, CURRENT).is_some() {
            ReplicaState::Behind
        } else {
            ReplicaState::Blank
        };
        let name = me.name();
        let newest = JointReplicaSets::of(&ledger).map(|era| era.newest().clone());
        // Danger: a vote given before this cast was known says nothing of what a majority of it may have granted since.
        let stood = newest.as_ref().is_some_and(|cast| cast.edition == recorded.1);
        let recalled = stood.then(|| (COORDINATOR_ROLE.to_owned(), recorded.0.clone())).into_iter().collect();
        info!("event=start seat={name} standing={standing:?} full={full} items={}", ledger.len());
        let mut chance = oorandom::Rand64::new(u128::from(start.life));
        let is_held = !ledger.is_empty();
        let mut core = StateMachine {
            contact: QuorumContact::new(&name, chance.rand_u64() as u32),
            voter: LeaseVoter::new(now, start.maiden && empty, recalled, newest),
            recorded,
            service: CoordinatorState::Idle,
            odd: None,
            chance,
            maiden: start.maiden && empty,
            founder: start.founder && start.maiden && empty,
            me,
            name,
            life: start.life,
            ledger,
            checker: SchemaValidator::new(),
            standing,
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
            claimant: LeaseCandidate::new(COORDINATOR_ROLE, start.life),
            counts: None,
            terms,
            slack: start.slack,
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
            ticket: 0,
            beat: now,
            inquired: Timestamp::default(),
            acts: Vec::new(),
        };
        if let Some(folder) = drawn {
            // First of all records, so that whatever else is on disk is on disk under this number.
            core.keep_records(vec![(FOLDER.to_vec(), folder.to_be_bytes().to_vec())], Kept::Nothing);
        }
        if !garbled.is_empty() {
            core.keep_records(garbled, Kept::Nothing);
        }
        core.prove(now);
        core
    }

    pub fn hello(&self) -> Hello {
        Hello {
            station: self.me.station.clone(),
            ip: self.me.ip.clone(),
            district: self.me.district.clone(),
            province: self.me.province.clone(),
            life: self.life,
            control: true,
            front: String::new(),
            current: self.standing == ReplicaState::Current,
            full: self.full,
            folder: self.me.folder,
        }
    }

    pub fn standing(&self) -> ReplicaState {
        self.standing
    }

    pub fn ledger(&self) -> &ItemStore {
        &self.ledger
    }

    fn shift(&mut self, to: ReplicaState) {
        if self.standing != to {
            info!(
                "event=standing from={:?} to={to:?} items={} full={}",
                self.standing,
                self.ledger.len(),
                self.full
            );
            self.standing = to;
        }
    }

    fn ticket(&mut self) -> u64 {
        self.ticket += 1;
        self.ticket
    }

    /// Records go to disk, behind those that could wait.
    fn keep_records(&mut self, records: Vec<(Vec<u8>, Vec<u8>)>, why: Kept) {
        let ticket = self.ticket();
        let records = match self.later.is_empty() {
            true => records,
            false => std::mem::take(&mut self.later).into_iter().chain(records).collect(),
        };
        self.keeping.insert(ticket, why);
        self.acts.push(Action::Keep(ticket, records));
    }

    fn send(&mut self, station: &str, word: Message) {
        self.acts.push(Action::Peer(station.to_owned(), word));
    }

    fn send_all(&mut self, word: &Message) {
        for station in self.peers.keys() {
            self.acts.push(Action::Peer(station.clone(), word.clone()));
        }
    }

    /// What another control process says. Addresses that it tells of come back.
    pub fn peer_said(&mut self, now: Timestamp, station: &str, word: Message) -> Vec<String> {
        let Some(peer) = self.peers.get_mut(station) else { return Vec::new() };
        peer.heard = now;
        let (life, name) = (peer.hello.life, peer.name.clone());
        match &word {
            Message::Heartbeat(beat) => self.contact.heard(now, &name, beat.number, beat.yours),
            Message::PrepareResponse(held) if (held.life, held.ticket) == (self.life, self.inquiry) => {
                self.contact.answered(now, &name, self.asked);
            }
            _ => {}
        }
        if matches!(word, Message::Heartbeat(_) | Message::PrepareResponse(_)) {
            self.judge_contact(now);
        }
        let Some(peer) = self.peers.get_mut(station) else { return Vec::new() };
        match word {
            Message::Heartbeat(beat) => {
                (peer.hello.current, peer.hello.full, peer.digest) = (beat.current, beat.full, beat.digest);
                (peer.duty, peer.leaving) = (beat.duty, beat.leaving);
                peer.differs = if beat.digest == self.ledger.whole_digest() { 0 } else { peer.differs + 1 };
                let asks = peer.differs >= 2;
                self.agreed(now, &name, &beat);
                self.table.alive(now, station, life);
                if asks {
                    self.peers.get_mut(station).expect("found above").differs = 0;
                    self.repair(now, station, &name);
                }
            }
            Message::MembershipUpdate(live) => return live.controls,
            // Backends as whoever does the duty reads them, and the first cast. Danger: whatever else is told unasked could
            // be what was dropped and forgotten.
            Message::Items(items) => {
                let items = items.items.into_iter().filter_map(ItemMessage::entry);
                self.take(
                    items.filter(|(i, _)| matches!(i.kind, Kind::Backend | Kind::ReplicaSet)).collect(),
                );
            }
            Message::AcceptRequest(store) => self.copy(now, station, store),
            Message::Commit(decided) => self.decided(&decided),
            Message::PurgeTombstones(forget) if self.trusts(&name) => self.forget(forget.due()),
            // Danger: an answer to an earlier life of this process would pass for a copy of what this life asked to store.
            Message::AcceptResponse(stored) if stored.life == self.life => self.stored(now, &name, stored),
            Message::PrepareRequest(inquire) => self.inquired(now, station, &inquire),
            Message::PrepareResponse(held) => self.held(now, station, &name, held),
            Message::LeaseRequest(claim) => self.vote(now, station, &name, &claim),
            Message::LeaseVote(grant) => self.granted(now, &name, &grant),
            Message::SessionList(sessions) => {
                self.table.hear(now, station, life, &sessions);
            }
            Message::UsageReport(adds) => {
                if let Some(totals) = self.add(now, &adds) {
                    self.send(station, Message::UsageTotals(totals));
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
        match self.standing {
            ReplicaState::Blank | ReplicaState::Behind | ReplicaState::Apart
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
            self.end(id, Response::Elsewhere("the core did not bear it out in time"));
        }
    }
}
