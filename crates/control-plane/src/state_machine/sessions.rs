//! Gateways' sessions with this process, what each lacks of the configuration, and what is known of the gateways that
//! have their sessions elsewhere.

use super::{Action, ItemUpdate, HEARTBEAT_INTERVAL, UNRESPONSIVE_TIMEOUT};
use kitepass_config::{Item, ItemStore, BUCKET_COUNT};
use kitepass_coordination::catch_up_queue::CatchUpQueue;
use kitepass_coordination::protocol::{
    BucketDigests, Extent, Heartbeat, Hello, Member, Message, SessionList,
};
use kitepass_coordination::sessions::SessionTable;
use kitepass_time::{Duration, Timestamp};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A gateway that has said nothing for this long has its session closed. It is no member from 1.5 s on already,
/// so that no client is sent to it; but its network link may only be congested, and then what the session still brings it,
/// late and in order, is all that it learns.
pub const SESSION_TIMEOUT: Duration = Duration::from_micros(10_000_000);
/// Bytes of items in flight to catching-up gateways, all together.
const MAX_CATCH_UP_BYTES: usize = 8 * 1024 * 1024;
/// Bytes of items in one chunk to a gateway, about.
const CHUNK_BYTES: usize = 256 * 1024;
/// A session list that has not changed is announced again after this time.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_micros(8 * HEARTBEAT_INTERVAL.as_micros());
/// Heartbeats in a row that must carry a differing digest before a gateway's copy is compared: one may have crossed an
/// update.
const DIFFERING_HEARTBEATS: u32 = 2;

struct Session {
    hello: Hello,
    is_ready: bool,
    last_received_at: Timestamp,
    differing_heartbeats: u32,
}

/// The session list that the peers were told last.
#[derive(Default)]
struct Announcement {
    sequence: u64,
    sent_at: Timestamp,
    members: Vec<Member>,
}

/// What follows from a gateway's heartbeat.
#[derive(Default)]
pub(super) struct HeartbeatOutcome {
    /// Its copy of the configuration has differed in [`DIFFERING_HEARTBEATS`] heartbeats in a row.
    pub(super) is_stale: bool,
    /// It has become ready, or ceased to be.
    pub(super) has_readiness_changed: bool,
}

/// The sessions of this process, by connection number, and the table of all gateways.
pub(super) struct Sessions {
    open: BTreeMap<u64, Session>,
    queue: CatchUpQueue,
    table: SessionTable,
    announced: Announcement,
    live_node_ids: Vec<String>,
    /// Sessions were sent parts of a transfer whose end they have not been told.
    is_transfer_open: bool,
}

impl Sessions {
    /// `table` holds the gateways that counted as live before a restart.
    pub(super) fn new(table: SessionTable) -> Sessions {
        Sessions {
            open: BTreeMap::new(),
            queue: CatchUpQueue::new(MAX_CATCH_UP_BYTES),
            table,
            announced: Announcement::default(),
            live_node_ids: Vec::new(),
            is_transfer_open: false,
        }
    }

    pub(super) fn open(&mut self, now: Timestamp, id: u64, hello: Hello) {
        self.open
            .insert(id, Session { hello, is_ready: false, last_received_at: now, differing_heartbeats: 0 });
    }

    /// Closes a session; gives the gateway's node id if it was open.
    pub(super) fn close(&mut self, id: u64) -> Option<String> {
        let session = self.open.remove(&id)?;
        self.queue.remove(id);
        Some(session.hello.node_id)
    }

    pub(super) fn is_open(&self, id: u64) -> bool {
        self.open.contains_key(&id)
    }

    pub(super) fn ids(&self) -> Vec<u64> {
        self.open.keys().copied().collect()
    }

    /// A message has come from a gateway.
    pub(super) fn message_received(&mut self, now: Timestamp, id: u64) {
        if let Some(session) = self.open.get_mut(&id) {
            session.last_received_at = now;
        }
    }

    /// A gateway's heartbeat; `digest` is that of the configuration here.
    pub(super) fn receive_heartbeat(
        &mut self,
        id: u64,
        heartbeat: &Heartbeat,
        digest: u64,
    ) -> HeartbeatOutcome {
        let Some(session) = self.open.get_mut(&id) else { return HeartbeatOutcome::default() };
        let was_ready = std::mem::replace(&mut session.is_ready, heartbeat.is_ready);
        session.hello.is_serving |= heartbeat.is_serving;
        let agrees = heartbeat.digest == digest || self.queue.contains(id);
        session.differing_heartbeats = if agrees { 0 } else { session.differing_heartbeats + 1 };
        let is_stale = session.differing_heartbeats >= DIFFERING_HEARTBEATS;
        if is_stale {
            session.differing_heartbeats = 0;
        }
        HeartbeatOutcome { is_stale, has_readiness_changed: was_ready != heartbeat.is_ready }
    }

    /// Sessions of gateways that have never caught up.
    pub(super) fn never_caught_up(&self) -> Vec<u64> {
        self.open.iter().filter(|(_, session)| !session.hello.is_serving).map(|(id, _)| *id).collect()
    }

    /// Sessions on which nothing has come for [`SESSION_TIMEOUT`].
    pub(super) fn timed_out_sessions(&self, now: Timestamp) -> Vec<u64> {
        let is_timed_out = |session: &Session| now - session.last_received_at > SESSION_TIMEOUT;
        self.open.iter().filter(|(_, session)| is_timed_out(session)).map(|(id, _)| *id).collect()
    }

    /// The newest session of this incarnation of a gateway.
    ///
    /// Invariant: connection numbers grow, so the highest is the newest. A gateway that has reconnected may be held to be
    /// on its old connection too for a while; what went there would be lost.
    pub(super) fn newest_session_of(&self, incarnation: u64) -> Option<u64> {
        let mut newest_first = self.open.iter().rev();
        newest_first.find(|(_, session)| session.hello.incarnation == incarnation).map(|(id, _)| *id)
    }

    /// A message to every session.
    pub(super) fn broadcast(&self, message: &Message) -> Vec<Action> {
        self.open.keys().map(|id| Action::SendToSession(*id, message.clone())).collect()
    }

    /// Items to every session, which share them: a whole change, or part of a transfer to this process, whose end the
    /// sessions are told by [`Sessions::end_transfer`].
    pub(super) fn broadcast_items(&mut self, items: &[Item], extent: Extent) -> Vec<Action> {
        if items.is_empty() || self.open.is_empty() {
            return Vec::new();
        }
        self.is_transfer_open |= extent == Extent::Transfer;
        let update = ItemUpdate { items: items.into(), extent };
        self.open.keys().map(|id| Action::SendItems(*id, update.clone())).collect()
    }

    /// A transfer to this process has ended: sessions that were sent parts of it are told that they hold all of it.
    pub(super) fn end_transfer(&mut self, item_store: &ItemStore) -> Vec<Action> {
        if !std::mem::take(&mut self.is_transfer_open) {
            return Vec::new();
        }
        let digests = BucketDigests { digests: item_store.bucket_hashes().to_vec(), ends_transfer: true };
        self.broadcast(&Message::BucketDigests(digests))
    }

    /// A gateway has told the digests of what it holds: it is told what it lacks when its turn comes.
    pub(super) fn enqueue_catch_up(&mut self, id: u64, digests: BucketDigests) {
        self.queue.enqueue(id, digests.digests, !digests.ends_transfer);
    }

    pub(super) fn is_catching_up(&self, id: u64) -> bool {
        self.queue.is_in_flight(id)
    }

    pub(super) fn chunk_delivered(&mut self, id: u64) {
        self.queue.chunk_delivered(id);
    }

    /// The next chunks for gateways that wait for what they lack, as far as there is room.
    pub(super) fn send_chunks(&mut self, now: Timestamp, item_store: &ItemStore) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some(turn) = self.queue.next_chunk(now) {
            let chunk = item_store.chunk(&turn.bucket_digests, turn.first_bucket, CHUNK_BYTES);
            let next_bucket = (chunk.next_bucket < BUCKET_COUNT).then_some(chunk.next_bucket);
            let items: Arc<[Item]> = chunk.items.into_iter().cloned().collect();
            let bytes = items.iter().map(Item::max_wire_bytes).sum();
            let (id, wants_digests) = (turn.id, turn.wants_digests);
            self.queue.chunk_sent(now, turn, bytes, next_bucket);
            if !items.is_empty() {
                actions.push(Action::SendItems(id, ItemUpdate { items, extent: Extent::Transfer }));
            }
            if next_bucket.is_none() && wants_digests {
                let digests =
                    BucketDigests { digests: item_store.bucket_hashes().to_vec(), ends_transfer: true };
                actions.push(Action::SendToSession(id, Message::BucketDigests(digests)));
            }
        }
        actions
    }

    /// The gateways that have said something lately.
    fn open_members(&self, now: Timestamp) -> Vec<Member> {
        let is_responsive = |session: &&Session| now - session.last_received_at <= UNRESPONSIVE_TIMEOUT;
        let sessions = self.open.values().filter(is_responsive);
        let member = |Session { hello, is_ready, .. }: &Session| Member {
            node_id: hello.node_id.clone(),
            incarnation: hello.incarnation,
            client_address: hello.client_address.clone(),
            zone: hello.zone.clone(),
            is_ready: *is_ready,
        };
        sessions.map(member).collect()
    }

    /// The list to announce to the peers, if it has changed or was announced long ago. It is entered in the table here
    /// under `node_id` and `incarnation`, this process' own.
    pub(super) fn announcement(
        &mut self,
        now: Timestamp,
        node_id: &str,
        incarnation: u64,
    ) -> Option<SessionList> {
        let members = self.open_members(now);
        let is_changed = members != self.announced.members;
        if !is_changed && now - self.announced.sent_at < ANNOUNCEMENT_INTERVAL {
            return None;
        }
        let sequence = self.announced.sequence + u64::from(is_changed);
        self.announced = Announcement { sequence, sent_at: now, members: members.clone() };
        let list = SessionList { sequence, members };
        self.table.update(now, node_id, incarnation, &list);
        Some(list)
    }

    /// Somebody has come who was not told of the sessions here: they are announced at the next heartbeat.
    pub(super) fn force_announcement(&mut self) {
        self.announced.sent_at = Timestamp::default();
    }

    /// The sessions of a peer.
    pub(super) fn receive_list(
        &mut self,
        now: Timestamp,
        node_id: &str,
        incarnation: u64,
        list: &SessionList,
    ) {
        self.table.update(now, node_id, incarnation, list);
    }

    /// A heartbeat of a peer: the list that it told last still stands.
    pub(super) fn peer_heartbeat(&mut self, now: Timestamp, node_id: &str, incarnation: u64) {
        self.table.heartbeat_received(now, node_id, incarnation);
    }

    /// Forgets gateways that are long gone.
    pub(super) fn expire(&mut self, now: Timestamp) {
        self.table.expire(now);
    }

    /// Gateways that count as live, as of the last [`Sessions::refresh_live_gateways`].
    pub(super) fn live_node_ids(&self) -> &[String] {
        &self.live_node_ids
    }

    /// Evaluates which gateways count as live; true if that has changed.
    pub(super) fn refresh_live_gateways(&mut self) -> bool {
        let live = self.table.live_node_ids();
        let is_changed = live != self.live_node_ids;
        self.live_node_ids = live;
        is_changed
    }

    /// All gateways, wherever their sessions are.
    pub(super) fn members(&self) -> impl Iterator<Item = &Member> {
        self.table.members().into_values()
    }
}
