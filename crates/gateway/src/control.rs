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
    TakeUp(Addresses),
    /// Read the configuration again, where it came from a file.
    ReadAgain,
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
        self.send(ControlMessage::TakeUp(addresses));
    }

    fn send(&self, word: ControlMessage) {
        if self.messages.send(word).is_ok() {
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
    read_again: Arc<AtomicBool>,
}

impl ControlReceiver {
    pub fn open() -> io::Result<ControlReceiver> {
        let (socket, waker) = UnixStream::pair()?;
        socket.set_nonblocking(true)?;
        waker.set_nonblocking(true)?;
        let (say, words) = channel();
        let control = Control { messages: say, waker: Arc::new(waker) };
        Ok(ControlReceiver {
            socket,
            messages: words,
            control,
            end: Arc::default(),
            read_again: Arc::default(),
        })
    }

    pub fn heed_signals(&self) -> io::Result<()> {
        for (signal, flag) in [(SIGTERM, &self.end), (SIGINT, &self.end), (SIGHUP, &self.read_again)] {
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

    pub fn heard(&self, scratch: &mut [u8]) -> Vec<ControlMessage> {
        while poll::read(&self.socket, scratch, &mut Vec::new(), true) == Ok(poll::ReadOutcome::Bytes) {}
        let mut words: Vec<_> = self.messages.try_iter().collect();
        words.extend(self.read_again.swap(false, Ordering::Relaxed).then_some(ControlMessage::ReadAgain));
        words.extend(self.end.swap(false, Ordering::Relaxed).then_some(ControlMessage::End));
        words
    }
}
