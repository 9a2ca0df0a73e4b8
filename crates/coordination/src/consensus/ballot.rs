//! Ballot selection by proposers, and the on-disk format of ballots.

use crate::protocol::Ballot;

/// The size of a ballot on disk: epoch, round and proposer, each big-endian, so that the byte order matches the ballot
/// order.
const BALLOT_BYTES: usize = 24;

impl Ballot {
    /// The lowest ballot of this proposer that is above `highest_seen`, the highest ballot that it knows of.
    ///
    /// The first round of a membership epoch is above all rounds of earlier epochs.
    pub fn above(highest_seen: Ballot, epoch: u64, proposer: u64) -> Ballot {
        let round = if highest_seen.epoch < epoch { 1 } else { highest_seen.round.saturating_add(1) };
        Ballot { epoch: epoch.max(highest_seen.epoch), round, proposer }
    }

    pub(super) fn to_bytes(self) -> [u8; BALLOT_BYTES] {
        let mut bytes = [0; BALLOT_BYTES];
        let fields = [self.epoch, self.round, self.proposer];
        for (target, field) in bytes.chunks_exact_mut(8).zip(fields) {
            target.copy_from_slice(&field.to_be_bytes());
        }
        bytes
    }

    /// Splits the ballot off the beginning of a record's value and returns it with the remaining bytes.
    pub(super) fn split_from_bytes(bytes: &[u8]) -> Option<(Ballot, &[u8])> {
        let (epoch, rest) = bytes.split_first_chunk::<8>()?;
        let (round, rest) = rest.split_first_chunk::<8>()?;
        let (proposer, rest) = rest.split_first_chunk::<8>()?;
        let [epoch, round, proposer] = [epoch, round, proposer].map(|field| u64::from_be_bytes(*field));
        Some((Ballot { epoch, round, proposer }, rest))
    }
}
