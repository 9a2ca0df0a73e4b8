//! Signal handling, and the incarnation number of a process.

use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

/// The signals received by the process. SIGTERM and SIGINT request a shutdown, SIGHUP a reload of the settings.
#[derive(Debug, Default)]
pub struct Signals {
    is_shutdown_requested: Arc<AtomicBool>,
    is_reload_requested: Arc<AtomicBool>,
}

impl Signals {
    /// Installs the signal handlers. From then on the signals are recorded and no longer terminate the process.
    ///
    /// # Errors
    ///
    /// If the operating system rejects a handler.
    pub fn install_handlers(&self) -> io::Result<()> {
        let handlers = [
            (SIGTERM, &self.is_shutdown_requested),
            (SIGINT, &self.is_shutdown_requested),
            (SIGHUP, &self.is_reload_requested),
        ];
        for (signal, flag) in handlers {
            signal_hook::flag::register(signal, flag.clone())?;
        }
        Ok(())
    }

    /// Whether a shutdown was requested.
    pub fn is_shutdown_requested(&self) -> bool {
        self.is_shutdown_requested.load(Ordering::Relaxed)
    }

    /// Whether a reload of the settings was requested since the last call.
    pub fn take_reload_request(&self) -> bool {
        self.is_reload_requested.swap(false, Ordering::Relaxed)
    }
}

/// Returns a random number that identifies this incarnation of a node's process. It is not derived from a clock, since
/// clocks may be set back.
pub fn new_incarnation(node_id: &str) -> u64 {
    let mut hasher = RandomState::new().build_hasher();
    hasher.write(node_id.as_bytes());
    hasher.write_u32(std::process::id());
    hasher.finish()
}
