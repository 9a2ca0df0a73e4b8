//! Gateway sessions: the sessions with this process, the transfer of missing items to each gateway, and the table of
//! all gateways, including those with a session at another control process.

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

/// A session is closed after this long without a message from the gateway. After 1.5 s without one, the gateway is no
/// longer announced as a member, so clients are not directed to it. The session stays open for longer because
/// the link may only be congested, and its delayed but ordered messages are then the gateway's only source of updates.
pub const SESSION_TIMEOUT: Duration = Duration::from_micros(10_000_000);
/// Maximum total size of the items in flight to gateways that are catching up.
const MAX_CATCH_UP_BYTES: usize = 8 * 1024 * 1024;
/// Approximate size of the items in one chunk to a gateway.
const CHUNK_BYTES: usize = 256 * 1024;
/// Interval at which an unchanged session list is announced again.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_micros(8 * HEARTBEAT_INTERVAL.as_micros());
/// Number of consecutive heartbeats with a different digest after which a gateway is sent the local bucket digests for
/// comparison. A single one may have been sent before the gateway received an update.
const STALE_AFTER_DIGEST_MISMATCHES: u32 = 2;

/// An open session of a gateway.
struct Session {
    hello: Hello,
    is_ready: bool,
    last_received_at: Timestamp,
    digest_mismatches: u32,
}

/// The session list that was last announced to the peers.
#[derive(Default)]
struct Announcement {
    sequence: u64,
    sent_at: Timestamp,
    members: Vec<Member>,
}

/// Result of processing a gateway's heartbeat.
#[derive(Default)]
pub(super) struct HeartbeatOutcome {
    /// The digest of the gateway's items has differed in [`STALE_AFTER_DIGEST_MISMATCHES`] consecutive heartbeats.
    pub(super) is_stale: bool,
    /// The gateway has become ready or is no longer ready.
    pub(super) has_readiness_changed: bool,
}

/// Open sessions of this process by connection number, and the table of all gateways.
pub(super) struct Sessions {
    open: BTreeMap<u64, Session>,
    catch_up_queue: CatchUpQueue,
    table: SessionTable,
    last_announcement: Announcement,
    live_node_ids: Vec<String>,
    /// Whether sessions were sent parts of a transfer without being notified of its end yet.
    is_transfer_open: bool,
}

impl Sessions {
    /// `table` contains the gateways that were live before a restart.
    pub(super) fn new(table: SessionTable) -> Sessions {
        Sessions {
            open: BTreeMap::new(),
            catch_up_queue: CatchUpQueue::new(MAX_CATCH_UP_BYTES),
            table,
            last_announcement: Announcement::default(),
            live_node_ids: Vec::new(),
            is_transfer_open: false,
        }
    }

    pub(super) fn open(&mut self, now: Timestamp, id: u64, hello: Hello) {
        self.open.insert(id, Session { hello, is_ready: false, last_received_at: now, digest_mismatches: 0 });
    }

    /// Closes a session. Returns the gateway's node id if the session was open.
    pub(super) fn close(&mut self, id: u64) -> Option<String> {
        let session = self.open.remove(&id)?;
        self.catch_up_queue.remove(id);
        Some(session.hello.node_id)
    }

    pub(super) fn is_open(&self, id: u64) -> bool {
        self.open.contains_key(&id)
    }

    pub(super) fn ids(&self) -> Vec<u64> {
        self.open.keys().copied().collect()
    }

    /// Records that a message arrived from a gateway.
    pub(super) fn message_received(&mut self, now: Timestamp, id: u64) {
        if let Some(session) = self.open.get_mut(&id) {
            session.last_received_at = now;
        }
    }

    /// Processes a gateway's heartbeat. `digest` is the digest of the local items.
    pub(super) fn receive_heartbeat(
        &mut self,
        id: u64,
        heartbeat: &Heartbeat,
        digest: u64,
    ) -> HeartbeatOutcome {
        let Some(session) = self.open.get_mut(&id) else { return HeartbeatOutcome::default() };
        let was_ready = std::mem::replace(&mut session.is_ready, heartbeat.is_ready);
        session.hello.is_serving |= heartbeat.is_serving;
        let is_matching = heartbeat.digest == digest || self.catch_up_queue.contains(id);
        session.digest_mismatches = if is_matching { 0 } else { session.digest_mismatches + 1 };
        let is_stale = session.digest_mismatches >= STALE_AFTER_DIGEST_MISMATCHES;
        if is_stale {
            session.digest_mismatches = 0;
        }
        HeartbeatOutcome { is_stale, has_readiness_changed: was_ready != heartbeat.is_ready }
    }

    /// Sessions of gateways that have not caught up since they were started.
    pub(super) fn never_caught_up(&self) -> Vec<u64> {
        self.open.iter().filter(|(_, session)| !session.hello.is_serving).map(|(id, _)| *id).collect()
    }

    /// Sessions without a message from the gateway for longer than [`SESSION_TIMEOUT`].
    pub(super) fn timed_out_sessions(&self, now: Timestamp) -> Vec<u64> {
        let is_timed_out = |session: &Session| now - session.last_received_at > SESSION_TIMEOUT;
        self.open.iter().filter(|(_, session)| is_timed_out(session)).map(|(id, _)| *id).collect()
    }

    /// The newest session of a gateway, identified by its incarnation.
    ///
    /// Invariant: connection numbers increase, so the highest is the newest. After a gateway has reconnected, its
    /// previous session may still be open for a while, and a message sent on it would be lost.
    pub(super) fn newest_session_of(&self, incarnation: u64) -> Option<u64> {
        let mut newest_first = self.open.iter().rev();
        newest_first.find(|(_, session)| session.hello.incarnation == incarnation).map(|(id, _)| *id)
    }

    /// Sends a message to every session.
    pub(super) fn broadcast(&self, message: &Message) -> Vec<Action> {
        self.open.keys().map(|id| Action::SendToSession(*id, message.clone())).collect()
    }

    /// Sends the items that gateways need to every session. If they are part of a transfer to this process, [`Sessions::end_transfer`]
    /// notifies the sessions of its end.
    pub(super) fn broadcast_items(&mut self, items: &[Item], extent: Extent) -> Vec<Action> {
        if self.open.is_empty() {
            return Vec::new();
        }
        let items: Arc<[Item]> =
            items.iter().filter(|item| item.kind.is_sent_to_gateways()).cloned().collect();
        if items.is_empty() {
            return Vec::new();
        }
        self.is_transfer_open |= extent == Extent::Transfer;
        let update = ItemUpdate { items, extent };
        self.open.keys().map(|id| Action::SendItems(*id, update.clone())).collect()
    }

    /// Called when no transfer to this process is in progress. If sessions were sent parts of one, notifies them that
    /// they have received all of it.
    pub(super) fn end_transfer(&mut self, item_store: &ItemStore) -> Vec<Action> {
        if !std::mem::take(&mut self.is_transfer_open) {
            return Vec::new();
        }
        let digests = BucketDigests { digests: item_store.bucket_hashes().to_vec(), ends_transfer: true };
        self.broadcast(&Message::BucketDigests(digests))
    }

    /// Queues a gateway, which has sent the bucket digests of its items, for the transfer of the items that it is
    /// missing.
    pub(super) fn enqueue_catch_up(&mut self, id: u64, digests: BucketDigests) {
        self.catch_up_queue.enqueue(id, digests.digests, !digests.ends_transfer);
    }

    pub(super) fn is_catching_up(&self, id: u64) -> bool {
        self.catch_up_queue.is_in_flight(id)
    }

    pub(super) fn chunk_delivered(&mut self, id: u64) {
        self.catch_up_queue.chunk_delivered(id);
    }

    /// Sends the next chunks to the queued gateways, within the limit of [`MAX_CATCH_UP_BYTES`].
    pub(super) fn send_chunks(&mut self, now: Timestamp, item_store: &ItemStore) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some(request) = self.catch_up_queue.next_chunk(now) {
            let chunk = item_store.chunk(&request.bucket_digests, request.first_bucket, CHUNK_BYTES);
            let next_bucket = (chunk.next_bucket < BUCKET_COUNT).then_some(chunk.next_bucket);
            let items: Arc<[Item]> = chunk.items.into_iter().cloned().collect();
            let bytes = items.iter().map(Item::max_wire_bytes).sum();
            let (id, wants_digests) = (request.id, request.wants_digests);
            self.catch_up_queue.chunk_sent(now, request, bytes, next_bucket);
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

    /// Gateways whose sessions have received a message within [`UNRESPONSIVE_TIMEOUT`].
    fn responsive_members(&self, now: Timestamp) -> Vec<Member> {
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

    /// Returns the session list to announce to the peers, if it has changed or [`ANNOUNCEMENT_INTERVAL`] has passed
    /// since the last announcement. Also updates the local table. `node_id` and `incarnation` are those of this
    /// process.
    pub(super) fn announcement(
        &mut self,
        now: Timestamp,
        node_id: &str,
        incarnation: u64,
    ) -> Option<SessionList> {
        let members = self.responsive_members(now);
        let has_changed = members != self.last_announcement.members;
        if !has_changed && now - self.last_announcement.sent_at < ANNOUNCEMENT_INTERVAL {
            return None;
        }
        let sequence = self.last_announcement.sequence + u64::from(has_changed);
        self.last_announcement = Announcement { sequence, sent_at: now, members: members.clone() };
        let list = SessionList { sequence, members };
        self.table.update(now, node_id, incarnation, &list);
        Some(list)
    }

    /// Makes the next call of [`Sessions::announcement`] return the list, because a newly connected peer does not have
    /// it.
    pub(super) fn force_announcement(&mut self) {
        self.last_announcement.sent_at = Timestamp::default();
    }

    /// Processes the session list announced by a peer.
    pub(super) fn receive_list(
        &mut self,
        now: Timestamp,
        node_id: &str,
        incarnation: u64,
        list: &SessionList,
    ) {
        self.table.update(now, node_id, incarnation, list);
    }

    /// Records a peer's heartbeat, which keeps its last announced session list valid.
    pub(super) fn peer_heartbeat(&mut self, now: Timestamp, node_id: &str, incarnation: u64) {
        self.table.heartbeat_received(now, node_id, incarnation);
    }

    /// Removes session lists and gateways that have timed out.
    pub(super) fn expire(&mut self, now: Timestamp) {
        self.table.expire(now);
    }

    /// Node ids of the live gateways, as of the last [`Sessions::refresh_live_gateways`].
    pub(super) fn live_node_ids(&self) -> &[String] {
        &self.live_node_ids
    }

    /// Updates the list of live gateways. Returns true if it has changed.
    pub(super) fn refresh_live_gateways(&mut self) -> bool {
        let live = self.table.live_node_ids();
        let has_changed = live != self.live_node_ids;
        self.live_node_ids = live;
        has_changed
    }

    /// All gateways, regardless of which control process has their session.
    pub(super) fn members(&self) -> impl Iterator<Item = &Member> {
        self.table.members().into_values()
    }
}
