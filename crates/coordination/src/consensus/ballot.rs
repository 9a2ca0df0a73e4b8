//! Ballots: how a proposer chooses one, and how one stands on disk.

use crate::protocol::Ballot;

/// Bytes of a ballot on disk: epoch, round and proposer, each big-endian, so that the order of the bytes is that of the
/// ballots.
const BALLOT_BYTES: usize = 24;

impl Ballot {
    /// The lowest ballot of a proposer that is above `met`, the highest ballot that it has seen.
    ///
    /// The first round of a later membership epoch is above all rounds of the earlier ones.
    pub fn above(met: Ballot, epoch: u64, proposer: u64) -> Ballot {
        let round = if met.epoch < epoch { 1 } else { met.round.saturating_add(1) };
        Ballot { epoch: epoch.max(met.epoch), round, proposer }
    }

    pub(super) fn to_bytes(self) -> [u8; BALLOT_BYTES] {
        let mut bytes = [0; BALLOT_BYTES];
        let fields = [self.epoch, self.round, self.proposer];
        for (target, field) in bytes.chunks_exact_mut(8).zip(fields) {
            target.copy_from_slice(&field.to_be_bytes());
        }
        bytes
    }

    /// The ballot at the head of a record's value, and the bytes that follow it.
    pub(super) fn split_from_bytes(bytes: &[u8]) -> Option<(Ballot, &[u8])> {
        let (epoch, rest) = bytes.split_first_chunk::<8>()?;
        let (round, rest) = rest.split_first_chunk::<8>()?;
        let (proposer, rest) = rest.split_first_chunk::<8>()?;
        let [epoch, round, proposer] = [epoch, round, proposer].map(|field| u64::from_be_bytes(*field));
        Some((Ballot { epoch, round, proposer }, rest))
    }
}
