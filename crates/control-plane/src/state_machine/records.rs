//! Keys and encodings of the records that the state machine itself stores on disk. The encodings of items are defined
//! in `kitepass-config`, those of accepted proposals in `kitepass-coordination`.

pub(super) use kitepass_coordination::consensus::Record;

/// Key of the record that marks this disk as holding everything that this replica has acknowledged.
const COMPLETE_KEY: &[u8] = b"full";
/// Key of this disk's replica id, which is part of the replica's name.
const REPLICA_ID_KEY: &[u8] = b"folder";
/// Key of the last granted lease vote.
const VOTE_KEY: &[u8] = b"vote";
/// Key of the list of live gateways.
///
/// Invariant: the number of live gateways survives a restart of all control processes. Otherwise the first few gateways
/// to reconnect would be counted as the only ones, and each would get too large a share of every quota.
const LIVE_GATEWAYS_KEY: &[u8] = b"live";

/// The last lease vote that this replica granted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct RecordedVote {
    /// Name of the replica that received the vote.
    pub(super) candidate: String,
    /// Version of the newest replica set known to the voter at the time of the vote.
    pub(super) replica_set_version: u64,
}

impl RecordedVote {
    pub(super) fn to_record(&self) -> Record {
        let value = [&self.replica_set_version.to_be_bytes(), self.candidate.as_bytes()].concat();
        (VOTE_KEY.to_vec(), value)
    }

    /// Decodes a vote. A value in an older or invalid format decodes to the default, a vote for no candidate.
    fn from_value(value: &[u8]) -> RecordedVote {
        let decode = || {
            let (version, candidate) = value.split_first_chunk::<8>()?;
            let candidate = str::from_utf8(candidate).ok()?.to_owned();
            Some(RecordedVote { candidate, replica_set_version: u64::from_be_bytes(*version) })
        };
        decode().unwrap_or_default()
    }
}

/// A decoded record of the state machine.
pub(super) enum StateMachineRecord {
    Complete,
    ReplicaId(u64),
    Vote(RecordedVote),
    LiveGateways(Vec<String>),
}

/// Decodes a record of the state machine. Returns `None` for any other record.
pub(super) fn decode(key: &[u8], value: &[u8]) -> Option<StateMachineRecord> {
    match key {
        COMPLETE_KEY => Some(StateMachineRecord::Complete),
        REPLICA_ID_KEY => {
            let id = value.first_chunk().map_or(0, |bytes| u64::from_be_bytes(*bytes));
            Some(StateMachineRecord::ReplicaId(id))
        }
        VOTE_KEY => Some(StateMachineRecord::Vote(RecordedVote::from_value(value))),
        LIVE_GATEWAYS_KEY => {
            let node_ids = String::from_utf8_lossy(value);
            let node_ids = node_ids.split(',').filter(|node_id| !node_id.is_empty());
            Some(StateMachineRecord::LiveGateways(node_ids.map(str::to_owned).collect()))
        }
        _ => None,
    }
}

/// The record that marks this disk as complete.
pub(super) fn complete() -> Record {
    (COMPLETE_KEY.to_vec(), vec![1])
}

/// The record that revokes [`complete`]. Its empty value deletes the stored record.
pub(super) fn incomplete() -> Record {
    (COMPLETE_KEY.to_vec(), Vec::new())
}

/// The record that stores this disk's replica id.
pub(super) fn replica_id(id: u64) -> Record {
    (REPLICA_ID_KEY.to_vec(), id.to_be_bytes().to_vec())
}

/// The record that stores the list of live gateways.
pub(super) fn live_gateways(node_ids: &[String]) -> Record {
    (LIVE_GATEWAYS_KEY.to_vec(), node_ids.join(",").into_bytes())
}
