//! Control messages to a running gateway, from the embedding program or from signals.

use crate::poll;
use crate::reload::Addresses;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::io::{self, Write};
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;

/// A command to a running gateway.
#[derive(Debug)]
pub(crate) enum ControlMessage {
    /// Shut down gracefully.
    Shutdown,
    /// Use these addresses for discovery and the counter service.
    UpdateAddresses(Addresses),
    /// Read the configuration file again, if there is one.
    Reload,
}

/// Sends control messages to a gateway that runs on another thread. Once it has stopped, they are ignored.
#[derive(Clone, Debug)]
pub struct Control {
    messages: Sender<ControlMessage>,
    waker: Arc<UnixStream>,
}

impl Control {
    /// Shuts the gateway down gracefully, as SIGTERM does: it accepts clients for a moment longer, answers the
    /// requests that it has accepted, and stops.
    pub fn shut_down(&self) {
        self.send(ControlMessage::Shutdown);
    }

    /// Changes the addresses of discovery and the counter service; SIGHUP does the same from the configuration
    /// file.
    pub fn update_addresses(&self, addresses: Addresses) {
        self.send(ControlMessage::UpdateAddresses(addresses));
    }

    /// Queues a message and wakes the gateway's event loop.
    fn send(&self, message: ControlMessage) {
        if self.messages.send(message).is_ok() {
            let _ = (&*self.waker).write(&[0]); // if the buffer is full, a wake-up is pending already
        }
    }
}

/// The receiving end of [`Control`], with the flags that the signal handlers set.
pub(crate) struct ControlReceiver {
    socket: UnixStream,
    messages: Receiver<ControlMessage>,
    control: Control,
    /// Set on SIGTERM and SIGINT. Setting a flag and writing to a socket are async-signal-safe; most other
    /// work is not allowed in a signal handler.
    shutdown_requested: Arc<AtomicBool>,
    /// Set on SIGHUP.
    reload_requested: Arc<AtomicBool>,
}

impl ControlReceiver {
    /// Opens the socket pair that wakes the event loop.
    ///
    /// # Errors
    /// The system's error, such as too many open descriptors.
    pub(crate) fn open() -> io::Result<ControlReceiver> {
        let (socket, waker) = UnixStream::pair()?;
        socket.set_nonblocking(true)?;
        waker.set_nonblocking(true)?;
        let (sender, messages) = channel();
        let control = Control { messages: sender, waker: Arc::new(waker) };
        Ok(ControlReceiver {
            socket,
            messages,
            control,
            shutdown_requested: Arc::default(),
            reload_requested: Arc::default(),
        })
    }

    /// Registers handlers for SIGTERM, SIGINT and SIGHUP.
    ///
    /// # Errors
    /// The system's error if a handler cannot be registered.
    pub(crate) fn register_signals(&self) -> io::Result<()> {
        for (signal, flag) in [
            (SIGTERM, &self.shutdown_requested),
            (SIGINT, &self.shutdown_requested),
            (SIGHUP, &self.reload_requested),
        ] {
            // Invariant: the flag's handler is registered before the waker's. Handlers run in the order of
            // registration, so the flag is set when the event loop wakes.
            signal_hook::flag::register(signal, flag.clone())?;
            signal_hook::low_level::pipe::register(signal, self.control.waker.try_clone()?)?;
        }
        Ok(())
    }

    /// A [`Control`] that sends to this receiver.
    pub(crate) fn control(&self) -> Control {
        self.control.clone()
    }

    /// The socket that becomes readable when a message or signal has arrived.
    pub(crate) fn socket(&self) -> &UnixStream {
        &self.socket
    }

    /// Takes all pending messages; those of signals come last.
    pub(crate) fn take_messages(&self, read_buffer: &mut [u8]) -> Vec<ControlMessage> {
        while poll::read(&self.socket, read_buffer, &mut Vec::new(), true) == Ok(poll::ReadOutcome::Bytes) {}
        let mut messages: Vec<_> = self.messages.try_iter().collect();
        messages
            .extend(self.reload_requested.swap(false, Ordering::Relaxed).then_some(ControlMessage::Reload));
        messages.extend(
            self.shutdown_requested.swap(false, Ordering::Relaxed).then_some(ControlMessage::Shutdown),
        );
        messages
    }
}
