//! What both programs of the system do as processes: heed signals, and be told from their earlier lives.

use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// Signals that came. SIGTERM and SIGINT end the process, SIGHUP has it read its settings again.
#[derive(Debug, Default)]
pub struct Signals {
    term: Arc<AtomicBool>,
    hup: Arc<AtomicBool>,
}

impl Signals {
    /// From here on signals are taken note of and end nothing by themselves.
    ///
    /// # Errors
    ///
    /// The system's.
    pub fn heed(&self) -> io::Result<()> {
        use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
        for (signal, flag) in [(SIGTERM, &self.term), (SIGINT, &self.term), (SIGHUP, &self.hup)] {
            signal_hook::flag::register(signal, flag.clone())?;
        }
        Ok(())
    }

    /// Whether the process was told to end.
    pub fn ends(&self) -> bool {
        self.term.load(Ordering::Relaxed)
    }

    /// Whether it was told to read its settings again, since it was asked last.
    pub fn reloads(&self) -> bool {
        self.hup.swap(false, Ordering::Relaxed)
    }
}

/// Tells one life of a process from another: no clock alone, as clocks may be set back.
pub fn new_incarnation(node_id: &str) -> u64 {
    use std::hash::{BuildHasher, Hasher};
    let mut hasher = std::collections::hash_map::RandomState::new().build_hasher();
    hasher.write(node_id.as_bytes());
    hasher.write_u32(std::process::id());
    hasher.finish()
}
