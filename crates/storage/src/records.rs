//! Records in memory.

use std::collections::BTreeMap;

use crate::Record;

/// Records by key. In a batch that has not been written, an empty value deletes the key.
pub(crate) type RecordMap = BTreeMap<Vec<u8>, Vec<u8>>;

/// Applies a batch: a later value of a key replaces an earlier one, and an empty value deletes the key.
pub(crate) fn apply_records(records: &mut RecordMap, batch: impl IntoIterator<Item = Record>) {
    for (key, value) in batch {
        if value.is_empty() {
            records.remove(&key);
        } else {
            records.insert(key, value);
        }
    }
}
