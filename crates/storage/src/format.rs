//! Encoding and decoding of logs and snapshots. The crate documentation describes the format.

use crate::records::RecordMap;
use crate::Record;

/// The magic bytes at the start of a log.
pub(crate) const LOG_MAGIC: &[u8; 8] = b"KPRLOG01";
/// The magic bytes at the start of a snapshot.
const SNAPSHOT_MAGIC: &[u8; 8] = b"KPRSNAP1";
/// The size of a log entry's header: checksum, payload length and sequence number.
const ENTRY_HEADER_BYTES: usize = 16;
/// The size of a snapshot's header: magic, first log and next sequence number.
const SNAPSHOT_HEADER_BYTES: usize = 24;
/// The size of a record's header: key length and value length.
const RECORD_HEADER_BYTES: usize = 8;
const CHECKSUM_BYTES: usize = 4;

/// The number of a log, which is part of its file name. 0 precedes all logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LogNumber(pub(crate) u64);

impl LogNumber {
    pub(crate) fn next(self) -> LogNumber {
        LogNumber(self.0 + 1)
    }
}

/// The sequence number of a log entry. Numbers are consecutive across all logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SequenceNumber(pub(crate) u64);

impl SequenceNumber {
    pub(crate) fn next(self) -> SequenceNumber {
        SequenceNumber(self.0 + 1)
    }
}

/// A decoded log entry.
#[derive(Debug)]
pub(crate) struct LogEntry {
    pub(crate) sequence: SequenceNumber,
    pub(crate) records: Vec<Record>,
}

/// A decoded snapshot.
#[derive(Debug, Default)]
pub(crate) struct Snapshot {
    pub(crate) records: RecordMap,
    /// The first log that the snapshot does not cover.
    pub(crate) first_log: LogNumber,
    /// The first sequence number that the snapshot does not cover.
    pub(crate) next_sequence: SequenceNumber,
}

/// The encoded size of a record in bytes.
fn record_bytes(key: &[u8], value: &[u8]) -> usize {
    RECORD_HEADER_BYTES + key.len() + value.len()
}

/// The encoded size of an entry's records in bytes.
fn payload_bytes(records: &RecordMap) -> usize {
    records.iter().map(|(key, value)| record_bytes(key, value)).sum()
}

/// The encoded size of the entry of these records in bytes; `None` if they do not fit into one entry.
pub(crate) fn entry_bytes(records: &RecordMap) -> Option<u64> {
    let payload = u32::try_from(payload_bytes(records)).ok()?;
    Some(ENTRY_HEADER_BYTES as u64 + u64::from(payload))
}

/// Encodes an entry. The caller has checked with [`entry_bytes`] that the records fit.
pub(crate) fn encode_entry(log: LogNumber, sequence: SequenceNumber, records: &RecordMap) -> Vec<u8> {
    let payload = payload_bytes(records);
    let mut entry = Vec::with_capacity(ENTRY_HEADER_BYTES + payload);
    entry.extend_from_slice(&[0; CHECKSUM_BYTES]);
    entry.extend_from_slice(&encode_length(payload));
    entry.extend_from_slice(&sequence.0.to_le_bytes());
    for (key, value) in records {
        encode_record(&mut entry, key, value);
    }
    let checksum = entry_checksum(log, &entry[CHECKSUM_BYTES..]);
    entry[..CHECKSUM_BYTES].copy_from_slice(&checksum.to_le_bytes());
    entry
}

/// Decodes the next entry and advances `bytes` past it. `None` at the end of the log, or if the entry is incomplete or
/// corrupt.
///
/// Invariant: a length is checked against the available bytes before memory is allocated for it. A corrupt length could
/// request gigabytes.
pub(crate) fn take_entry(bytes: &mut &[u8], log: LogNumber) -> Option<LogEntry> {
    let mut rest = *bytes;
    let checksum = take_u32(&mut rest)?;
    let checked = rest;
    let payload_bytes = take_u32(&mut rest)? as usize;
    let sequence = SequenceNumber(take_u64(&mut rest)?);
    let payload = take(&mut rest, payload_bytes)?;
    let checked = &checked[..ENTRY_HEADER_BYTES - CHECKSUM_BYTES + payload_bytes];
    if entry_checksum(log, checked) != checksum {
        return None;
    }
    let records = decode_records(payload)?;
    *bytes = rest;
    Some(LogEntry { sequence, records })
}

/// CRC-32 over the log's number and the part of an entry that follows its checksum. Because the number is included, an
/// entry of another log (in a reused disk block) is not mistaken for an entry of this log.
fn entry_checksum(log: LogNumber, rest: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&log.0.to_le_bytes());
    hasher.update(rest);
    hasher.finalize()
}

/// Encodes a snapshot and passes it to `write` in chunks, so that the encoded records are never in memory as a whole.
pub(crate) fn write_snapshot<E>(
    records: &RecordMap,
    first_log: LogNumber,
    next_sequence: SequenceNumber,
    mut write: impl FnMut(&[u8]) -> Result<(), E>,
) -> Result<(), E> {
    const CHUNK_BYTES: usize = 64 << 10;
    let mut hasher = crc32fast::Hasher::new();
    let mut chunk = Vec::with_capacity(CHUNK_BYTES);
    chunk.extend_from_slice(SNAPSHOT_MAGIC);
    chunk.extend_from_slice(&first_log.0.to_le_bytes());
    chunk.extend_from_slice(&next_sequence.0.to_le_bytes());
    for (key, value) in records {
        if chunk.len() + record_bytes(key, value) > CHUNK_BYTES {
            hasher.update(&chunk);
            write(&chunk)?;
            chunk.clear();
        }
        encode_record(&mut chunk, key, value);
    }
    hasher.update(&chunk);
    chunk.extend_from_slice(&hasher.finalize().to_le_bytes());
    write(&chunk)
}

/// Decodes a snapshot; `None` if it is incomplete or corrupt.
pub(crate) fn decode_snapshot(bytes: &[u8]) -> Option<Snapshot> {
    let (body, checksum) = bytes.split_at_checked(bytes.len().checked_sub(CHECKSUM_BYTES)?)?;
    if body.len() < SNAPSHOT_HEADER_BYTES || crc32fast::hash(body).to_le_bytes() != checksum {
        return None;
    }
    let mut rest = body.strip_prefix(SNAPSHOT_MAGIC)?;
    let first_log = LogNumber(take_u64(&mut rest)?);
    let next_sequence = SequenceNumber(take_u64(&mut rest)?);
    let records = decode_records(rest)?.into_iter().collect();
    Some(Snapshot { records, first_log, next_sequence })
}

fn encode_record(out: &mut Vec<u8>, key: &[u8], value: &[u8]) {
    out.extend_from_slice(&encode_length(key.len()));
    out.extend_from_slice(&encode_length(value.len()));
    out.extend_from_slice(key);
    out.extend_from_slice(value);
}

/// Callers ensure that keys and values are each shorter than 4 GiB.
fn encode_length(length: usize) -> [u8; 4] {
    u32::try_from(length).expect("keys, values and payloads are shorter than 4 GiB").to_le_bytes()
}

/// Decodes records up to the end of the bytes; `None` if the last record is incomplete.
fn decode_records(mut bytes: &[u8]) -> Option<Vec<Record>> {
    let mut records = Vec::new();
    while !bytes.is_empty() {
        let key_bytes = take_u32(&mut bytes)? as usize;
        let value_bytes = take_u32(&mut bytes)? as usize;
        let key = take(&mut bytes, key_bytes)?.to_vec();
        let value = take(&mut bytes, value_bytes)?.to_vec();
        records.push((key, value));
    }
    Some(records)
}

/// Splits off the first `count` bytes; `None` if there are fewer.
fn take<'a>(bytes: &mut &'a [u8], count: usize) -> Option<&'a [u8]> {
    let (taken, rest) = bytes.split_at_checked(count)?;
    *bytes = rest;
    Some(taken)
}

fn take_u32(bytes: &mut &[u8]) -> Option<u32> {
    Some(u32::from_le_bytes(take(bytes, 4)?.try_into().ok()?))
}

fn take_u64(bytes: &mut &[u8]) -> Option<u64> {
    Some(u64::from_le_bytes(take(bytes, 8)?.try_into().ok()?))
}
