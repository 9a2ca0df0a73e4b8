//! Helpers for reusable byte buffers.

/// The largest capacity, in bytes, that a cleared buffer keeps.
const MAX_RETAINED_BYTES: usize = 16 * 1024;

/// Clears a buffer for reuse. If its capacity has grown beyond `MAX_RETAINED_BYTES` the memory is freed, because the
/// buffer's connection may stay idle for a long time.
pub fn clear_and_shrink(buffer: &mut Vec<u8>) {
    if buffer.capacity() > MAX_RETAINED_BYTES {
        *buffer = Vec::new();
    }
    buffer.clear();
}
