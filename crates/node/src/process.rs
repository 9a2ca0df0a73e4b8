//! A process' signals and its incarnation.

use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

/// Signals that have come: SIGTERM and SIGINT ask the process to shut down, SIGHUP to read its settings again.
#[derive(Debug, Default)]
pub struct Signals {
    is_shutdown_requested: Arc<AtomicBool>,
    is_reload_requested: Arc<AtomicBool>,
}

impl Signals {
    /// Installs the signal handlers. From then on these signals are recorded and no longer end the process.
    ///
    /// # Errors
    ///
    /// The system's.
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

    /// Whether the process was asked to shut down.
    pub fn is_shutdown_requested(&self) -> bool {
        self.is_shutdown_requested.load(Ordering::Relaxed)
    }

    /// Whether the process was asked to read its settings again since the last call.
    pub fn take_reload_request(&self) -> bool {
        self.is_reload_requested.swap(false, Ordering::Relaxed)
    }
}

/// A number that differs between the incarnations of a node's process. It does not depend on a clock alone, since
/// clocks may be set back.
pub fn new_incarnation(node_id: &str) -> u64 {
    let mut hasher = RandomState::new().build_hasher();
    hasher.write(node_id.as_bytes());
    hasher.write_u32(std::process::id());
    hasher.finish()
}
