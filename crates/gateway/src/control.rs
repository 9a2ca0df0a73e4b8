//! Words to a gateway that runs: from the program that embeds it, or from the system's signals.

use crate::poll;
use crate::reload::Addresses;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::io::{self, Write};
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;

#[derive(Debug)]
pub(crate) enum ControlMessage {
    End,
    UpdateAddresses(Addresses),
    /// Read the configuration again, where it came from a file.
    Reload,
}

/// Tells a gateway that runs on another thread what to do. What comes after its end is not heard.
#[derive(Clone, Debug)]
pub struct Control {
    messages: Sender<ControlMessage>,
    waker: Arc<UnixStream>,
}

impl Control {
    /// As SIGTERM: it serves on for a moment, answers what it took and ends.
    pub fn end(&self) {
        self.send(ControlMessage::End);
    }

    /// As SIGHUP, with the addresses themselves.
    pub fn take_up(&self, addresses: Addresses) {
        self.send(ControlMessage::UpdateAddresses(addresses));
    }

    fn send(&self, message: ControlMessage) {
        if self.messages.send(message).is_ok() {
            let _ = (&*self.waker).write(&[0]); // full of bytes unread, it wakes as well
        }
    }
}

/// Where the words are heard.
pub struct ControlReceiver {
    socket: UnixStream,
    messages: Receiver<ControlMessage>,
    control: Control,
    /// A signal's handler may do no more than set one of these and wake the loop.
    end: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl ControlReceiver {
    pub fn open() -> io::Result<ControlReceiver> {
        let (socket, waker) = UnixStream::pair()?;
        socket.set_nonblocking(true)?;
        waker.set_nonblocking(true)?;
        let (sender, messages) = channel();
        let control = Control { messages: sender, waker: Arc::new(waker) };
        Ok(ControlReceiver { socket, messages, control, end: Arc::default(), reload: Arc::default() })
    }

    pub fn heed_signals(&self) -> io::Result<()> {
        for (signal, flag) in [(SIGTERM, &self.end), (SIGINT, &self.end), (SIGHUP, &self.reload)] {
            // In this order: the loop must find the flag set when it wakes.
            signal_hook::flag::register(signal, flag.clone())?;
            signal_hook::low_level::pipe::register(signal, self.control.waker.try_clone()?)?;
        }
        Ok(())
    }

    pub fn control(&self) -> Control {
        self.control.clone()
    }

    pub fn socket(&self) -> &UnixStream {
        &self.socket
    }

    pub fn take_messages(&self, scratch: &mut [u8]) -> Vec<ControlMessage> {
        while poll::read(&self.socket, scratch, &mut Vec::new(), true) == Ok(poll::ReadOutcome::Bytes) {}
        let mut messages: Vec<_> = self.messages.try_iter().collect();
        messages.extend(self.reload.swap(false, Ordering::Relaxed).then_some(ControlMessage::Reload));
        messages.extend(self.end.swap(false, Ordering::Relaxed).then_some(ControlMessage::End));
        messages
    }
}
