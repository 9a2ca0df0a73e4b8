//! Messages to a running gateway, from the program that embeds it or from the system's signals.

use crate::poll;
use crate::reload::Addresses;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::io::{self, Write};
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;

/// What a running gateway is asked to do.
#[derive(Debug)]
pub(crate) enum ControlMessage {
    /// Drain and stop.
    Shutdown,
    /// Reach discovery and the counter at these addresses.
    UpdateAddresses(Addresses),
    /// Read the configuration again, if it came from a file.
    Reload,
}

/// Sends messages to a gateway that runs on another thread. Messages after its end are ignored.
#[derive(Clone, Debug)]
pub struct Control {
    messages: Sender<ControlMessage>,
    waker: Arc<UnixStream>,
}

impl Control {
    /// Shuts the gateway down gracefully, as SIGTERM does: it serves on for a moment, answers the requests
    /// that it has accepted, and ends.
    pub fn shut_down(&self) {
        self.send(ControlMessage::Shutdown);
    }

    /// Changes the addresses of discovery and the counter, as SIGHUP does from the configuration file.
    pub fn update_addresses(&self, addresses: Addresses) {
        self.send(ControlMessage::UpdateAddresses(addresses));
    }

    /// Queues a message and wakes the gateway's loop.
    fn send(&self, message: ControlMessage) {
        if self.messages.send(message).is_ok() {
            let _ = (&*self.waker).write(&[0]); // a full pipe wakes the loop as well
        }
    }
}

/// The gateway's end of [`Control`], and its signal handlers' flags.
pub(crate) struct ControlReceiver {
    socket: UnixStream,
    messages: Receiver<ControlMessage>,
    control: Control,
    /// Set by SIGTERM and SIGINT. A signal handler may do no more than set such a flag and wake the loop.
    shutdown_requested: Arc<AtomicBool>,
    /// Set by SIGHUP.
    reload_requested: Arc<AtomicBool>,
}

impl ControlReceiver {
    /// Opens the pipe that wakes the loop.
    ///
    /// # Errors
    /// What the system says where there are no descriptors.
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
    /// What the system says where a handler cannot be registered.
    pub(crate) fn register_signals(&self) -> io::Result<()> {
        for (signal, flag) in [
            (SIGTERM, &self.shutdown_requested),
            (SIGINT, &self.shutdown_requested),
            (SIGHUP, &self.reload_requested),
        ] {
            // Invariant: the flag is registered before the waker, so that the loop finds it set when it
            // wakes.
            signal_hook::flag::register(signal, flag.clone())?;
            signal_hook::low_level::pipe::register(signal, self.control.waker.try_clone()?)?;
        }
        Ok(())
    }

    /// A sender of messages to this receiver.
    pub(crate) fn control(&self) -> Control {
        self.control.clone()
    }

    /// The socket that becomes readable when there are messages.
    pub(crate) fn socket(&self) -> &UnixStream {
        &self.socket
    }

    /// All messages that have come, those of signals last.
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
