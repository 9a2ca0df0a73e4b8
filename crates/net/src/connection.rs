//! One connection: its socket, and the bytes that have come and that are to go.

use crate::poller::{self, Poller, ReadOutcome, ReadyEvent};
use kitepass_time::Duration;
use rustix::fd::{AsFd, BorrowedFd, OwnedFd};
use rustix::io::{Errno, Result};
use std::net::SocketAddr;

/// Epoll tells of changes alone: what a socket was ready for stays so until a read or write says otherwise.
#[derive(Debug)]
pub struct Connection {
    socket: OwnedFd,
    /// What has come and is not used yet.
    pub input: Vec<u8>,
    /// What is to go, from `written` on.
    pub output: Vec<u8>,
    written: usize,
    made: bool,
    readable: bool,
    ended: bool,
}

impl Connection {
    /// A connection that a listener accepted, already watched.
    pub fn accepted(socket: OwnedFd) -> Connection {
        let (input, output) = (Vec::new(), Vec::new());
        Connection { socket, input, output, written: 0, made: true, readable: true, ended: false }
    }

    /// Begins a connection. What is written meanwhile goes once it is made. Unanswered bytes end it after `patience`.
    ///
    /// # Errors
    ///
    /// The system's, for want of descriptors or ports.
    pub fn open(poll: &Poller, to: &SocketAddr, token: u64, patience: Duration) -> Result<Connection> {
        let socket = poll.connect(to, token)?;
        poller::tune(&socket, patience)?;
        Ok(Connection { made: false, readable: false, ..Connection::accepted(socket) })
    }

    pub fn is_made(&self) -> bool {
        self.made
    }

    /// Takes note of what the socket is ready for.
    ///
    /// # Errors
    ///
    /// The connection could not be made.
    pub fn note(&mut self, ready: &ReadyEvent) -> Result<()> {
        self.readable |= ready.read;
        self.ended |= ready.ended;
        if !self.made && ready.write {
            poller::made(&self.socket)?;
            self.made = true;
        }
        Ok(())
    }

    /// Reads what has come, up to about `most` unused bytes; true if the other side has ended its sending and all
    /// of it has been read.
    ///
    /// # Errors
    ///
    /// The system's: the connection is lost.
    pub fn fill(&mut self, piece: &mut [u8], most: usize) -> Result<bool> {
        while self.made && self.readable && self.input.len() < most {
            match poller::read(&self.socket, piece, &mut self.input, self.ended)? {
                ReadOutcome::Bytes => {}
                ReadOutcome::Nothing => self.readable = false,
                ReadOutcome::End => return Ok(true),
            }
        }
        Ok(false)
    }

    /// Writes what is to go as far as the socket takes it; true if nothing is left.
    ///
    /// # Errors
    ///
    /// The system's: the connection is lost.
    pub fn flush(&mut self) -> Result<bool> {
        if !self.made || self.output.is_empty() {
            return Ok(self.output.is_empty());
        }
        let whole = poller::write(&self.socket, &self.output, &mut self.written).inspect_err(|_| {
            // What came before it broke is still to be read, and no edge may have told of it yet.
            (self.readable, self.ended) = (true, true);
        })?;
        if whole {
            poller::empty(&mut self.output);
            self.written = 0;
        } else if self.written > 256 * 1024 {
            self.output.drain(..self.written);
            self.written = 0;
        }
        Ok(whole)
    }

    /// Ends the sending; what the other side still says is read.
    ///
    /// # Errors
    ///
    /// The system's: the connection is lost.
    pub fn end(&self) -> Result<()> {
        rustix::net::shutdown(&self.socket, rustix::net::Shutdown::Write)
    }

    /// Whether more may stand in the socket: a fill stopped at its bound, or none has been made since it told so.
    pub fn is_readable(&self) -> bool {
        self.made && self.readable
    }

    /// Bytes that are still to go.
    pub fn unsent(&self) -> usize {
        self.output.len() - self.written
    }

    /// Whether the other side has sent nothing unread and has not ended.
    pub fn is_quiet(&self) -> bool {
        self.made && self.input.is_empty() && !self.ended && poller::is_quiet(&self.socket)
    }
}

impl AsFd for Connection {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.socket.as_fd()
    }
}

/// What a failed read or write of a connection says in a log line.
pub fn cause(error: Errno) -> &'static str {
    match error {
        Errno::CONNRESET => "reset",
        Errno::CONNREFUSED => "refused",
        Errno::TIMEDOUT => "silent",
        Errno::PIPE => "closed",
        Errno::HOSTUNREACH | Errno::NETUNREACH => "unreachable",
        Errno::MFILE | Errno::NFILE => "no-descriptors",
        _ => "error",
    }
}
