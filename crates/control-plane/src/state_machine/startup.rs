//! Startup of the state machine: restores its components from the records on disk.

use super::bootstrap::Bootstrap;
use super::catch_up::CatchUp;
use super::configuration::Configuration;
use super::coordinator::Coordinator;
use super::lifecycle::{Lifecycle, ReplicaState};
use super::membership::Membership;
use super::persistence::{PendingWrite, Persistence};
use super::proposals::Proposals;
use super::quorum::Quorum;
use super::records::{self, Record, RecordedVote, StateMachineRecord};
use super::sessions::Sessions;
use super::tombstones::Tombstones;
use super::{Identity, RequestIds, StateMachine};
use kitepass_config::ItemStore;
use kitepass_coordination::consensus::{Acceptor, RestoreOutcome};
use kitepass_coordination::membership::{JointReplicaSets, Replica, ReplicaSet, CURRENT};
use kitepass_coordination::sessions::SessionTable;
use kitepass_coordination::usage::QuotaTolerance;
use kitepass_time::Timestamp;
use log::{error, info};

/// Parameters of a new state machine.
pub struct StartParameters {
    /// The replica of this process. Its replica id is replaced by the one on disk, or by a new one if the disk is empty
    /// or contains malformed records.
    pub replica: Replica,
    /// A random number, different at each start.
    pub incarnation: u64,
    /// Whether this is the first start of the whole cluster. Ignored if there is state on disk.
    pub is_first_start: bool,
    /// Whether this process creates the first replica set.
    pub is_bootstrap_node: bool,
    /// All records on disk.
    pub records: Vec<(Vec<u8>, Vec<u8>)>,
    /// How far the gateways may collectively exceed a quota.
    pub tolerance: QuotaTolerance,
}

/// State restored from the records on disk.
#[derive(Default)]
struct RestoredRecords {
    item_store: ItemStore,
    acceptor: Acceptor,
    sessions: SessionTable,
    vote: RecordedVote,
    is_complete: bool,
    /// 0 if there is no such record.
    replica_id: u64,
    /// Whether there are records other than the replica id.
    has_state: bool,
    /// Deletions of malformed records.
    deletions: Vec<Record>,
}

impl RestoredRecords {
    fn read(now: Timestamp, records: &[Record]) -> RestoredRecords {
        let mut restored = RestoredRecords::default();
        for (key, value) in records {
            restored.add(now, key, value);
        }
        // A malformed record may have held a proposal that was chosen because this replica had accepted it. The disk is
        // therefore treated as lost, and its content is read again from the other replicas.
        restored.is_complete &= restored.deletions.is_empty();
        restored
    }

    fn add(&mut self, now: Timestamp, key: &[u8], value: &[u8]) {
        let record = records::decode(key, value);
        self.has_state |= !matches!(record, Some(StateMachineRecord::ReplicaId(_)));
        match record {
            Some(StateMachineRecord::Complete) => self.is_complete = true,
            Some(StateMachineRecord::ReplicaId(id)) => self.replica_id = id,
            Some(StateMachineRecord::Vote(vote)) => self.vote = vote,
            Some(StateMachineRecord::LiveGateways(node_ids)) => {
                node_ids.iter().for_each(|node_id| self.sessions.restore(now, node_id));
            }
            None => self.add_item_or_proposal(key, value),
        }
    }

    fn add_item_or_proposal(&mut self, key: &[u8], value: &[u8]) {
        if let Some((item, history)) = kitepass_config::decode_record(key, value) {
            self.item_store.merge_with_history(item, &history);
        } else if self.acceptor.restore(key, value) == RestoreOutcome::Malformed {
            error!("event=record-garbled key={:?}", String::from_utf8_lossy(key));
            self.deletions.push((key.to_owned(), Vec::new()));
        }
    }
}

impl StateMachine {
    /// Creates a state machine from the records on disk. [`StateMachine::actions`] may already contain the first
    /// actions.
    pub fn new(now: Timestamp, start: StartParameters) -> StateMachine {
        let mut restored = RestoredRecords::read(now, &start.records);
        let has_malformed_records = !restored.deletions.is_empty();
        // A disk written by a version without replica ids keeps its identity, with the id 0.
        let is_new_replica = start.records.is_empty() || has_malformed_records;
        let new_replica_id = is_new_replica.then(|| start.incarnation.max(1));
        let replica_id = new_replica_id.unwrap_or(restored.replica_id);
        let identity = Identity::new(Replica { replica_id, ..start.replica.clone() }, start.incarnation);
        let mut deletions = std::mem::take(&mut restored.deletions);
        deletions.extend(restored.acceptor.commit_all(&restored.item_store));

        let mut state_machine = StateMachine::assemble(now, &start, identity, restored);
        if let Some(id) = new_replica_id {
            // The id is the first record to be written, so that all other records are stored under this id.
            state_machine.persist(vec![records::replica_id(id)], PendingWrite::Nothing);
        }
        if !deletions.is_empty() {
            state_machine.persist(deletions, PendingWrite::Nothing);
        }
        state_machine
    }

    fn assemble(
        now: Timestamp,
        start: &StartParameters,
        identity: Identity,
        restored: RestoredRecords,
    ) -> StateMachine {
        let RestoredRecords { item_store, is_complete, .. } = restored;
        let is_initialized = ReplicaSet::load(&item_store, CURRENT).is_some();
        let state = if is_initialized { ReplicaState::CatchingUp } else { ReplicaState::Uninitialized };
        info!(
            "event=start replica={} state={state:?} complete={is_complete} items={}",
            identity.name,
            item_store.len()
        );
        let is_first_start = start.is_first_start && !restored.has_state;
        let newest = JointReplicaSets::load(&item_store).map(|sets| sets.newest().clone());
        let mut random = oorandom::Rand64::new(u128::from(start.incarnation));
        StateMachine {
            lifecycle: Lifecycle::new(state, is_complete),
            bootstrap: Bootstrap::new(now, is_first_start, start.is_bootstrap_node),
            quorum: Quorum::new(now, &identity.name, random.rand_u64() as u32),
            catch_up: CatchUp::new(now),
            membership: Membership::default(),
            coordinator: Coordinator::new(
                now,
                is_first_start,
                restored.vote,
                newest,
                start.incarnation,
                start.tolerance,
            ),
            sessions: Sessions::new(restored.sessions),
            proposals: Proposals::new(restored.acceptor),
            tombstones: Tombstones::new(now, !item_store.is_empty()),
            persistence: Persistence::default(),
            configuration: Configuration::new(item_store),
            request_ids: RequestIds::default(),
            random,
            identity,
            actions: Vec::new(),
        }
    }
}
