//! The bytes of logs and snapshots. Numbers are little-endian.
//!
//! * A log: `KPRLOG01`, then entries: checksum u32, length u32, sequence u64, payload of that length. The
//!   checksum is over the log's number and all of the entry that follows the checksum.
//! * A payload: records one after another; a record: key's length u32, value's length u32, key, value.
//! * A snapshot: `KPRSNAP1`, the first log that it does not cover u64, the sequence of the first entry that it
//!   does not cover u64, records as in a payload, checksum u32 of all before it.

use std::collections::BTreeMap;

use crate::Record;

pub(crate) const LOG_MAGIC: &[u8; 8] = b"KPRLOG01";
const SNAPSHOT_MAGIC: &[u8; 8] = b"KPRSNAP1";
const ENTRY_HEAD: usize = 16;
const SNAPSHOT_HEAD: usize = 24;

pub(crate) type Map = BTreeMap<Vec<u8>, Vec<u8>>;

/// How many bytes a record takes.
fn size(key: &[u8], value: &[u8]) -> usize {
    8 + key.len() + value.len()
}

/// Takes the first `count` bytes off; `None` where there are fewer.
fn take<'a>(bytes: &mut &'a [u8], count: usize) -> Option<&'a [u8]> {
    let (head, rest) = bytes.split_at_checked(count)?;
    *bytes = rest;
    Some(head)
}

fn take_u32(bytes: &mut &[u8]) -> Option<u32> {
    Some(u32::from_le_bytes(take(bytes, 4)?.try_into().ok()?))
}

fn take_u64(bytes: &mut &[u8]) -> Option<u64> {
    Some(u64::from_le_bytes(take(bytes, 8)?.try_into().ok()?))
}

/// A length as it is written. Whoever puts a record sees to it that each stays below 4 GiB.
fn length(count: usize) -> [u8; 4] {
    u32::try_from(count).expect("below 4 GiB").to_le_bytes()
}

fn add_record(out: &mut Vec<u8>, key: &[u8], value: &[u8]) {
    out.extend_from_slice(&length(key.len()));
    out.extend_from_slice(&length(value.len()));
    out.extend_from_slice(key);
    out.extend_from_slice(value);
}

/// `None` where the bytes do not end with a record.
fn read_records(mut bytes: &[u8]) -> Option<Vec<Record>> {
    let mut records = Vec::new();
    while !bytes.is_empty() {
        let (key, value) = (take_u32(&mut bytes)?, take_u32(&mut bytes)?);
        let key = take(&mut bytes, key as usize)?.to_vec();
        records.push((key, take(&mut bytes, value as usize)?.to_vec()));
    }
    Some(records)
}

fn checksum(log: u64, rest: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&log.to_le_bytes());
    hasher.update(rest);
    hasher.finalize()
}

/// How many bytes the entry of these records takes; `None` where they are too many for one.
pub(crate) fn entry_size(records: &Map) -> Option<u64> {
    let payload: usize = records.iter().map(|(key, value)| size(key, value)).sum();
    u32::try_from(payload).ok().map(|payload| ENTRY_HEAD as u64 + u64::from(payload))
}

/// An entry of records that [`entry_size`] has found to fit.
pub(crate) fn entry(log: u64, sequence: u64, records: &Map) -> Vec<u8> {
    let payload = records.iter().map(|(key, value)| size(key, value)).sum();
    let mut out = Vec::with_capacity(ENTRY_HEAD + payload);
    out.extend_from_slice(&[0; 4]);
    out.extend_from_slice(&length(payload));
    out.extend_from_slice(&sequence.to_le_bytes());
    for (key, value) in records {
        add_record(&mut out, key, value);
    }
    let sum = checksum(log, &out[4..]);
    out[..4].copy_from_slice(&sum.to_le_bytes());
    out
}

/// Takes the next entry off a log's bytes: its sequence and records. `None` at the end and where the entry is
/// not whole. A length is held against the bytes that are there before anything is made of that length.
/// Danger: a torn length would ask for gigabytes.
pub(crate) fn take_entry(bytes: &mut &[u8], log: u64) -> Option<(u64, Vec<Record>)> {
    let mut rest = *bytes;
    let sum = take_u32(&mut rest)?;
    let summed = rest;
    let payload = take_u32(&mut rest)? as usize;
    let sequence = take_u64(&mut rest)?;
    let records = take(&mut rest, payload)?;
    if checksum(log, &summed[..ENTRY_HEAD - 4 + payload]) != sum {
        return None;
    }
    let records = read_records(records)?;
    *bytes = rest;
    Some((sequence, records))
}

/// A snapshot, read.
#[derive(Debug, Default)]
pub(crate) struct Snapshot {
    pub(crate) map: Map,
    /// The first log that is not covered.
    pub(crate) from: u64,
    /// The first sequence that is not covered.
    pub(crate) next: u64,
}

/// Gives the snapshot's bytes to `write`, in pieces, so that the whole is never twice in memory.
pub(crate) fn write_snapshot<E>(
    map: &Map,
    from: u64,
    next: u64,
    mut write: impl FnMut(&[u8]) -> Result<(), E>,
) -> Result<(), E> {
    const PIECE: usize = 64 << 10;
    let mut hasher = crc32fast::Hasher::new();
    let mut piece = Vec::with_capacity(PIECE);
    piece.extend_from_slice(SNAPSHOT_MAGIC);
    piece.extend_from_slice(&from.to_le_bytes());
    piece.extend_from_slice(&next.to_le_bytes());
    for (key, value) in map {
        if piece.len() + size(key, value) > PIECE {
            hasher.update(&piece);
            write(&piece)?;
            piece.clear();
        }
        add_record(&mut piece, key, value);
    }
    hasher.update(&piece);
    piece.extend_from_slice(&hasher.finalize().to_le_bytes());
    write(&piece)
}

/// `None` where the bytes are not a whole snapshot.
pub(crate) fn read_snapshot(bytes: &[u8]) -> Option<Snapshot> {
    let (body, sum) = bytes.split_at_checked(bytes.len().checked_sub(4)?)?;
    if body.len() < SNAPSHOT_HEAD || crc32fast::hash(body).to_le_bytes() != sum {
        return None;
    }
    let mut rest = body.strip_prefix(SNAPSHOT_MAGIC)?;
    let (from, next) = (take_u64(&mut rest)?, take_u64(&mut rest)?);
    Some(Snapshot { map: read_records(rest)?.into_iter().collect(), from, next })
}
