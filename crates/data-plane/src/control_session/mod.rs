//! A gateway's session with a control process, which delivers all of the gateway's configuration and membership data.
//!
//! This module does no I/O. The owner opens a connection, the *candidate*, to each address that
//! [`ControlSession::next_control_process`] returns, and passes on the hello that it receives there. Once the outcome
//! is [`CandidateOutcome::Promoted`], that connection is the session. The owner passes on the session's messages, and
//! sends those in [`ControlSession::candidate_outgoing`], [`ControlSession::outgoing`] and
//! [`ControlSession::outgoing_items`].

mod candidate;
mod change_progress;
mod directory;
mod updates;

pub use candidate::CandidateOutcome;
pub use updates::{LiveGateways, SessionState, SessionUpdates, TickOutcome};

use candidate::{Candidate, Reason};
use change_progress::ChangeProgress;
use directory::{Directory, Scope};
use kitepass_config::{Item, ItemStore, Kind};
use kitepass_coordination::protocol::{
    BucketDigests, Heartbeat, Hello, ItemMessage, Items, MembershipUpdate, Message, PurgeTombstones,
};
use kitepass_time::{Duration, Timestamp};
use log::{debug, info, warn};
use std::collections::BTreeMap;

/// How often the gateway sends a heartbeat.
const HEARTBEAT_INTERVAL: Duration = Duration::from_micros(500_000);
/// After this time without a message from the control process, the gateway looks for another one.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_micros(1_600_000);
/// After this time without any input the session is closed even if no other control process was found.
const SESSION_TIMEOUT: Duration = Duration::from_micros(10_000_000);
/// Maximum number of tombstones kept for deleted backends.
const MAX_BACKEND_TOMBSTONES: usize = 4_096;
/// A session that is still synchronizing is closed after this time without any missing items. Long, because a control
/// process may serve many gateways one after another.
const SYNC_TIMEOUT: Duration = Duration::from_micros(10_000_000);
/// After this time without a synchronization with a control process in contact with the quorum, the gateway starts
/// again with an empty item store.
///
/// Invariant: tombstones are kept for at least twice this time after the whole control plane has received them. A
/// gateway that stayed away longer could keep deleted items, and nothing would correct it.
const MAX_UNSYNCED_TIME: Duration = Duration::from_micros(1_800_000_000);
/// After this many consecutive synchronizations that left a difference, the gateway starts again with an empty item
/// store, because it holds something that the control plane has purged.
const MAX_FAILED_SYNCS: u32 = 8;
/// How long the gateway stays with a control process that becomes isolated from the quorum before it tries another one,
/// so that a short partition does not make gateways change sessions. A control process that is isolated from the start
/// is left as soon as the gateway has synchronized with it.
const ISOLATION_GRACE_PERIOD: Duration = Duration::from_micros(1_500_000);
/// Minimum age of a session before the gateway moves to a nearer control process.
const MIN_SESSION_AGE: Duration = Duration::from_micros(3_000_000);

/// A synchronization that started with an empty item store and is in progress.
struct Resync {
    item_store: ItemStore,
    began_at: Timestamp,
}

/// A gateway's sessions with control processes, one at a time.
pub struct ControlSession {
    hello: Hello,
    state: SessionState,
    /// The items that the gateway operates on.
    pub item_store: ItemStore,
    /// A new item store that replaces the current one once it is complete.
    resync: Option<Resync>,
    /// When the gateway last held the same items as a control process in contact with the quorum.
    last_synced: Timestamp,
    max_unsynced_time: Duration,
    /// Whether to ask the control process again for missing items by sending the digests.
    should_send_digests: bool,
    failed_syncs: u32,
    directory: Directory,
    /// The connection that is being opened.
    candidate: Option<Candidate>,
    last_received: Timestamp,
    opened_at: Timestamp,
    last_heartbeat: Timestamp,
    /// Set while the control process is isolated from the quorum: when the gateway moves to another one, if one may be
    /// in contact with the quorum.
    isolation_deadline: Option<Timestamp>,
    /// Whether the items received so far form complete changes.
    change_progress: ChangeProgress,
    /// Whether the gateway has ever synchronized, which it must have to serve requests.
    has_synced: bool,
    has_membership: bool,
    /// Whether the gateway accepts requests, as its heartbeats report.
    pub is_ready: bool,
    announced_ready: bool,
    /// Messages to send on the candidate connection.
    pub candidate_outgoing: Vec<Message>,
    /// Messages to send on the session's connection.
    pub outgoing: Vec<Message>,
    /// Items to send on the session's connection.
    pub outgoing_items: Vec<Item>,
}

impl ControlSession {
    /// Creates a gateway without a session. `bootstrap` has the addresses from the settings, `regions` the region of
    /// each zone.
    pub fn new(hello: Hello, bootstrap: Vec<String>, regions: BTreeMap<String, String>) -> ControlSession {
        ControlSession {
            directory: Directory::new(hello.zone.clone(), hello.region.clone(), regions, bootstrap),
            hello,
            state: SessionState::Disconnected,
            item_store: ItemStore::new(),
            resync: None,
            last_synced: Timestamp::default(),
            max_unsynced_time: MAX_UNSYNCED_TIME,
            should_send_digests: false,
            failed_syncs: 0,
            candidate: None,
            last_received: Timestamp::default(),
            opened_at: Timestamp::default(),
            last_heartbeat: Timestamp::default(),
            isolation_deadline: None,
            change_progress: ChangeProgress::default(),
            has_synced: false,
            has_membership: false,
            is_ready: false,
            announced_ready: false,
            candidate_outgoing: Vec::new(),
            outgoing: Vec::new(),
            outgoing_items: Vec::new(),
        }
    }

    /// Returns the state of the session.
    pub fn state(&self) -> SessionState {
        self.state
    }

    /// Overrides the maximum time without synchronization, for tests.
    pub fn set_max_unsynced_time(&mut self, max_unsynced_time: Duration) {
        self.max_unsynced_time = max_unsynced_time;
    }

    /// Sets the control process addresses from the settings.
    pub fn set_bootstrap_addresses(&mut self, addresses: Vec<String>) {
        self.directory.set_bootstrap(addresses);
    }

    /// Returns whether the gateway has synchronized at least once and knows the other gateways.
    pub fn is_caught_up(&self) -> bool {
        self.has_synced && self.has_membership
    }

    /// Returns whether [`ControlSession::item_store`] holds only complete changes. Consumers must act on the items only
    /// then: between two messages of one change, requests that are allowed both before and after it could be rejected.
    pub fn holds_complete_changes(&self) -> bool {
        self.change_progress.is_complete()
    }

    /// Returns whether any backend is known.
    pub fn has_backends(&self) -> bool {
        self.item_store.items_of(Kind::Backend).any(|item| item.value.is_some())
    }

    /// Returns whether the gateway has synchronized and is not starting again with an empty item store.
    fn is_fully_synced(&self) -> bool {
        self.has_synced && self.resync.is_none()
    }

    fn is_isolated(&self) -> bool {
        self.isolation_deadline.is_some()
    }

    fn transition(&mut self, to: SessionState) {
        if let (SessionState::Syncing(since), SessionState::Syncing(now)) = (&mut self.state, to) {
            *since = now;
        } else if self.state != to {
            debug!("event=control-session state={} control={}", to.name(), self.directory.current());
            self.state = to;
        }
    }

    /// Returns the item store that the session fills: the new one while starting again, otherwise the current one.
    fn synced_store(&self) -> &ItemStore {
        self.resync.as_ref().map_or(&self.item_store, |resync| &resync.item_store)
    }

    fn begin_resync(&mut self, now: Timestamp, why: &str) {
        info!("event=resync why={why} items={}", self.item_store.len());
        self.resync = Some(Resync { item_store: ItemStore::new(), began_at: now });
        self.failed_syncs = 0;
    }

    /// Replaces the current items by those of the new item store, which is complete. Items that it lacks are reported
    /// as deleted.
    fn finish_resync(&mut self, updates: &mut SessionUpdates) {
        let Some(resync) = self.resync.take() else { return };
        let old = std::mem::replace(&mut self.item_store, resync.item_store);
        let is_new = |item: &&Item| old.get(item.kind, &item.name) != Some(*item);
        updates.items.extend(self.item_store.items().filter(is_new).cloned());
        let is_deleted = |item: &&Item| item.is_set() && self.item_store.get(item.kind, &item.name).is_none();
        updates.items.extend(old.items().filter(is_deleted).map(|item| Item { value: None, ..item.clone() }));
    }

    /// Records whether the control process is in contact with the quorum. If it is not, it may be left after `grace`.
    fn update_contact(&mut self, now: Timestamp, is_in_contact: bool, grace: Duration) {
        if is_in_contact {
            self.isolation_deadline = None;
            self.directory.record_contact();
            return;
        }
        let is_new = !self.is_isolated();
        if is_new {
            self.isolation_deadline = Some(now + grace);
            info!("event=control-isolated control={}", self.directory.current());
        }
        let control = self.directory.current().to_owned();
        self.directory.record_isolation(now, &control, is_new);
    }

    /// Returns the address of the control process to connect to now, if any. `draw` is a random number.
    pub fn next_control_process(&mut self, now: Timestamp, draw: u64) -> Option<String> {
        if self.candidate.is_some() {
            return None;
        }
        let (reason, scope) = self.reason_to_connect(now)?;
        let selection = self.directory.select(now, &self.item_store, scope, draw)?;
        let address = selection.address.clone();
        let unsynced_since = self.resync.as_ref().map_or(self.last_synced, |resync| resync.began_at);
        if self.has_synced && now - unsynced_since > self.max_unsynced_time {
            self.begin_resync(now, "unsynced");
        }
        debug!("event=control-candidate control={address} reason={reason:?}");
        let hello = Hello { is_serving: self.is_fully_synced(), ..self.hello.clone() };
        self.candidate_outgoing = vec![Message::Hello(hello), self.digests()];
        self.candidate = Some(Candidate::new(now, selection, reason));
        Some(address)
    }

    /// Returns why to open a session with another control process, and which ones to select from, if one is needed.
    fn reason_to_connect(&self, now: Timestamp) -> Option<(Reason, Scope)> {
        if self.state == SessionState::Disconnected {
            return Some((Reason::Disconnected, Scope::All));
        }
        if self.is_unresponsive(now) {
            return Some((Reason::Unresponsive, Scope::Others));
        }
        if self.state != SessionState::Synced {
            return None;
        }
        let is_isolated_too_long = self.isolation_deadline.is_some_and(|deadline| now >= deadline);
        if is_isolated_too_long && self.directory.has_alternative(now, &self.item_store) {
            return Some((Reason::Isolated, Scope::Others));
        }
        let is_old_enough = now - self.opened_at > MIN_SESSION_AGE;
        (is_old_enough && self.directory.has_nearer(now)).then_some((Reason::Nearer, Scope::Nearer))
    }

    /// Returns whether the session's control process has sent nothing for too long.
    fn is_unresponsive(&self, now: Timestamp) -> bool {
        self.state != SessionState::Disconnected && now - self.last_received > HEARTBEAT_TIMEOUT
    }

    /// Handles the hello of the control process on the candidate connection.
    pub fn candidate_hello(&mut self, now: Timestamp, hello: &Hello) -> CandidateOutcome {
        let Some(candidate) = self.candidate.take() else { return CandidateOutcome::Rejected };
        self.directory.add(hello.address.clone(), hello.zone.clone());
        // An isolated control process is no improvement on an existing session. Without a session it is accepted,
        // unless the gateway still needs its first complete configuration.
        if !hello.is_serving && (self.state != SessionState::Disconnected || !self.is_fully_synced()) {
            info!("event=control-isolated control={}", candidate.address);
            self.directory.record_isolation(now, &candidate.address, true);
            return CandidateOutcome::Rejected;
        }
        self.directory.set_current(candidate.address);
        self.outgoing.clear();
        self.outgoing_items.clear();
        self.candidate_outgoing.clear();
        self.should_send_digests = false;
        self.announced_ready = !self.is_ready;
        self.last_received = now;
        self.opened_at = now;
        self.isolation_deadline = None;
        self.change_progress.session_opened();
        self.transition(SessionState::Syncing(now));
        self.update_contact(now, hello.is_serving, Duration::ZERO);
        CandidateOutcome::Promoted
    }

    /// Records that the candidate connection was closed or could not be opened.
    pub fn candidate_lost(&mut self, why: &str) {
        self.candidate_outgoing.clear();
        if let Some(candidate) = self.candidate.take() {
            info!("event=control-candidate-lost control={} why={why}", candidate.address);
        }
    }

    /// Returns the digests of the items held here, from which the control process determines what is missing.
    fn digests(&self) -> Message {
        let digests = self.synced_store().bucket_hashes().to_vec();
        Message::BucketDigests(BucketDigests { digests, ends_transfer: false })
    }

    /// Records that the session's connection was closed.
    pub fn connection_lost(&mut self, why: &str) {
        let control = self.directory.current();
        match self.state {
            SessionState::Disconnected => {}
            // Expected: the control process has not caught up yet.
            _ if why == "not-current" => debug!("event=control-session-lost control={control} why={why}"),
            _ => warn!("event=control-session-lost control={control} why={why}"),
        }
        self.outgoing.clear();
        self.outgoing_items.clear();
        self.transition(SessionState::Disconnected);
    }

    /// Performs periodic work, and returns which connections to close. To be called about ten times a second.
    pub fn tick(&mut self, now: Timestamp) -> TickOutcome {
        self.item_store.purge_oldest_tombstones(Kind::Backend, MAX_BACKEND_TOMBSTONES);
        let outcome = TickOutcome {
            should_close_session: self.is_session_timed_out(now),
            should_close_candidate: self.should_close_candidate(now),
        };
        if self.state == SessionState::Disconnected || outcome.should_close_session {
            return outcome;
        }
        if std::mem::take(&mut self.should_send_digests) {
            let digests = self.digests();
            self.outgoing.push(digests);
        }
        if now - self.last_heartbeat >= HEARTBEAT_INTERVAL || self.is_ready != self.announced_ready {
            self.last_heartbeat = now;
            self.announced_ready = self.is_ready;
            self.outgoing.push(Message::Heartbeat(Heartbeat {
                digest: self.synced_store().digest(),
                is_ready: self.is_ready,
                is_serving: self.is_fully_synced(),
                ..Heartbeat::default()
            }));
        }
        outcome
    }

    fn is_session_timed_out(&self, now: Timestamp) -> bool {
        match self.state {
            SessionState::Disconnected => false,
            SessionState::Syncing(since) if now - since > SYNC_TIMEOUT => true,
            _ => now - self.last_received > SESSION_TIMEOUT,
        }
    }

    /// Returns whether the candidate connection has taken too long or is no longer needed.
    fn should_close_candidate(&self, now: Timestamp) -> bool {
        let Some(candidate) = &self.candidate else { return false };
        candidate.is_timed_out(now) || candidate.reason == Reason::Unresponsive && self.is_responsive(now)
    }

    /// Returns whether there is a session whose control process was heard from recently.
    fn is_responsive(&self, now: Timestamp) -> bool {
        self.state != SessionState::Disconnected && !self.is_unresponsive(now)
    }

    /// Records that bytes of an incomplete message have arrived.
    ///
    /// Invariant: a message that is still arriving keeps the session alive, because over a slow connection a message of
    /// many MiB takes longer than the heartbeat timeout.
    pub fn bytes_received(&mut self, now: Timestamp) {
        self.last_received = now;
    }

    /// Handles a message of the session's control process.
    pub fn receive(&mut self, now: Timestamp, message: Message, updates: &mut SessionUpdates) {
        self.last_received = now;
        if let Message::Heartbeat(heartbeat) = &message {
            self.receive_heartbeat(now, heartbeat);
        }
        // Invariant: an outdated configuration is never taken for the newest one. A gateway that has already
        // synchronized loses nothing by staying for a while.
        if self.is_isolated() && !self.is_fully_synced() {
            updates.should_close = true;
            return;
        }
        match message {
            Message::Items(items) => self.receive_items(now, items, updates),
            Message::BucketDigests(digests) => self.receive_digests(now, &digests, updates),
            Message::MembershipUpdate(membership) => self.receive_membership(membership, updates),
            Message::PurgeTombstones(purge) => self.purge_tombstones(purge),
            Message::UsageTotals(totals) => updates.totals.push(totals),
            _ => {}
        }
    }

    fn receive_heartbeat(&mut self, now: Timestamp, heartbeat: &Heartbeat) {
        self.update_contact(now, heartbeat.is_serving, ISOLATION_GRACE_PERIOD);
        // Messages arrive in order, so equal digests mean that nothing is missing.
        let is_equal = heartbeat.digest == self.item_store.digest();
        if is_equal && heartbeat.is_serving && !heartbeat.is_transferring {
            self.change_progress.mark_in_sync();
        }
        if !self.is_isolated() && self.resync.is_none() && is_equal {
            self.last_synced = now;
        }
    }

    fn receive_items(&mut self, now: Timestamp, items: Items, updates: &mut SessionUpdates) {
        if matches!(self.state, SessionState::Syncing(_)) {
            self.transition(SessionState::Syncing(now));
        }
        self.change_progress.items_received(items.extent());
        for item in items.items.into_iter().filter_map(ItemMessage::into_item) {
            match &mut self.resync {
                Some(resync) => _ = resync.item_store.merge(item),
                None if self.item_store.merge(item.clone()) => updates.items.push(item),
                None => {}
            }
        }
    }

    /// Handles the digests of all items that the control process holds. They end a synchronization or ask for the
    /// gateway's digests.
    fn receive_digests(&mut self, now: Timestamp, theirs: &BucketDigests, updates: &mut SessionUpdates) {
        // Backends that the control process has lost are sent back; consumers of the backend list correct outdated
        // entries. Invariant: items of the configuration are never sent back, because an outdated one could be restored
        // that way. The control plane has all of them, since it sends them to gateways only once they are committed.
        let differing = self.synced_store().differing_items(&theirs.digests);
        let sent_back: Vec<Item> = differing.filter(|item| item.kind == Kind::Backend).cloned().collect();
        self.outgoing_items.extend(sent_back);
        if theirs.ends_transfer {
            self.sync_finished(now, theirs.digests == self.synced_store().bucket_hashes(), updates);
        } else {
            let digests = self.digests();
            self.outgoing.push(digests);
        }
    }

    fn receive_membership(&mut self, membership: MembershipUpdate, updates: &mut SessionUpdates) {
        self.has_membership = true;
        let addresses = membership.control_addresses.iter().cloned();
        self.directory.replace(addresses.zip(membership.control_zones.iter().cloned()).collect());
        updates.live_gateways =
            Some(LiveGateways { count: membership.gateway_count as usize, node_ids: membership.node_ids });
    }

    fn purge_tombstones(&mut self, purge: PurgeTombstones) {
        for (kind, name, version) in purge.into_expired() {
            self.item_store.purge(kind, &name, version);
            if let Some(resync) = &mut self.resync {
                resync.item_store.purge(kind, &name, version);
            }
        }
    }

    /// Handles the end of a synchronization. `is_equal` if the gateway holds the same items as the control process.
    fn sync_finished(&mut self, now: Timestamp, is_equal: bool, updates: &mut SessionUpdates) {
        self.failed_syncs = if is_equal { 0 } else { self.failed_syncs + 1 };
        // Invariant: a gateway never serves with an incomplete set of items, because changes that were acknowledged
        // could be missing.
        if !self.is_fully_synced() && !is_equal {
            info!("event=sync-differs control={} times={}", self.directory.current(), self.failed_syncs);
            self.should_send_digests = true;
            return;
        }
        self.finish_resync(updates);
        self.change_progress.mark_in_sync();
        if self.state != SessionState::Synced {
            info!("event=synced control={} items={}", self.directory.current(), self.item_store.len());
        }
        self.has_synced = true;
        self.transition(SessionState::Synced);
        self.directory.reset_failures(self.is_isolated());
        if !self.is_isolated() {
            self.last_synced = if is_equal { now } else { self.last_synced };
            if self.failed_syncs >= MAX_FAILED_SYNCS {
                self.begin_resync(now, "differs");
                self.should_send_digests = true;
            }
        }
    }
}
