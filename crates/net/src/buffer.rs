//! Buffers of bytes that are used again and again.

/// The most bytes of capacity that an emptied buffer keeps.
const MAX_KEPT_CAPACITY: usize = 16 * 1024;

/// Empties a buffer for its next use. The memory of one that has grown large is freed: its connection may be idle
/// for long.
pub fn clear_and_shrink(buffer: &mut Vec<u8>) {
    if buffer.capacity() > MAX_KEPT_CAPACITY {
        *buffer = Vec::new();
    }
    buffer.clear();
}
