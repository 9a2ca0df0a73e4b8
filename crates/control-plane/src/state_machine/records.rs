//! Keys and encodings of the records that the state machine itself keeps on disk. Items and what the acceptor accepted
//! have encodings of their own, in `kitepass-config` and `kitepass-coordination`.

pub(super) use kitepass_coordination::consensus::Record;

/// Key of the record that says that this disk holds all that was acknowledged here.
const COMPLETE_KEY: &[u8] = b"full";
/// Key of the record of this disk's replica id, which is part of the replica's name.
const REPLICA_ID_KEY: &[u8] = b"folder";
/// Key of the record of the last lease vote.
const VOTE_KEY: &[u8] = b"vote";
/// Key of the record of the gateways that counted as live.
///
/// Invariant: the number of live gateways outlives a restart of all control processes. Otherwise the first few gateways
/// that come back would be taken for all of them, and each would get too large a share of every quota.
const LIVE_GATEWAYS_KEY: &[u8] = b"live";

/// To whom this voter granted the lease last.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct RecordedVote {
    /// Name of the replica that the vote went to.
    pub(super) candidate: String,
    /// Version of the newest replica set that the voter knew when it voted.
    pub(super) replica_set_version: u64,
}

impl RecordedVote {
    pub(super) fn to_record(&self) -> Record {
        let value = [&self.replica_set_version.to_be_bytes(), self.candidate.as_bytes()].concat();
        (VOTE_KEY.to_vec(), value)
    }

    /// A value in an earlier form reads as a vote for nobody.
    fn from_value(value: &[u8]) -> RecordedVote {
        let decode = || {
            let (version, candidate) = value.split_first_chunk::<8>()?;
            let candidate = str::from_utf8(candidate).ok()?.to_owned();
            Some(RecordedVote { candidate, replica_set_version: u64::from_be_bytes(*version) })
        };
        decode().unwrap_or_default()
    }
}

/// A record of the state machine's own, decoded.
pub(super) enum StateMachineRecord {
    Complete,
    ReplicaId(u64),
    Vote(RecordedVote),
    LiveGateways(Vec<String>),
}

/// Decodes a record, if it is one of the state machine's own.
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

/// The record that takes [`complete`] back: an empty value removes a record.
pub(super) fn incomplete() -> Record {
    (COMPLETE_KEY.to_vec(), Vec::new())
}

/// The record of this disk's replica id.
pub(super) fn replica_id(id: u64) -> Record {
    (REPLICA_ID_KEY.to_vec(), id.to_be_bytes().to_vec())
}

/// The record of the gateways that count as live.
pub(super) fn live_gateways(node_ids: &[String]) -> Record {
    (LIVE_GATEWAYS_KEY.to_vec(), node_ids.join(",").into_bytes())
}
