//! A connection: its socket, and the bytes that have come and that are to be sent.

use crate::buffer;
use crate::poller::{Poller, ReadyEvent};
use crate::socket::{self, ReadOutcome};
use kitepass_time::Duration;
use rustix::fd::{AsFd, BorrowedFd, OwnedFd};
use rustix::io::Result;
use std::net::SocketAddr;

pub use crate::socket::error_label;

/// So many bytes of the output's front that have been written are removed, though more are to be sent.
const MAX_WRITTEN_BYTES: usize = 256 * 1024;

/// A connection under an edge-triggered [`Poller`]: the poller tells of changes alone, so that what a socket is ready
/// for is remembered until a read or write says otherwise.
#[derive(Debug)]
pub struct Connection {
    socket: OwnedFd,
    /// What has come and has not been used.
    pub input: Vec<u8>,
    /// What is to be sent. Its front may have been written already; [`Connection::unsent_bytes`] counts the rest.
    pub output: Vec<u8>,
    /// How many bytes of the output have been written.
    written: usize,
    is_established: bool,
    is_readable: bool,
    /// The peer has ended its sending; unread bytes may precede the end.
    is_read_closed: bool,
}

impl Connection {
    /// A connection that a listener accepted and that is watched already.
    pub fn from_accepted(socket: OwnedFd) -> Connection {
        Connection {
            socket,
            input: Vec::new(),
            output: Vec::new(),
            written: 0,
            is_established: true,
            is_readable: true,
            is_read_closed: false,
        }
    }

    /// Starts a connection. What is put into its output meanwhile is sent once it is established. It fails when
    /// bytes sent on it are unacknowledged for `user_timeout`.
    ///
    /// # Errors
    ///
    /// The system's, for want of descriptors or ports.
    pub fn connect(
        poller: &Poller,
        address: &SocketAddr,
        token: u64,
        user_timeout: Duration,
    ) -> Result<Connection> {
        let socket = poller.connect(address, token)?;
        socket::set_user_timeout(&socket, user_timeout)?;
        Ok(Connection { is_established: false, is_readable: false, ..Connection::from_accepted(socket) })
    }

    /// From now on it fails when bytes sent on it are unacknowledged for this time.
    ///
    /// # Errors
    ///
    /// The system's.
    pub fn set_user_timeout(&self, user_timeout: Duration) -> Result<()> {
        socket::set_user_timeout(&self.socket, user_timeout)
    }

    /// Whether the connection is established.
    pub fn is_established(&self) -> bool {
        self.is_established
    }

    /// Takes an event of the socket into account.
    ///
    /// # Errors
    ///
    /// Why the connection could not be established.
    pub fn handle_event(&mut self, event: &ReadyEvent) -> Result<()> {
        self.is_readable |= event.is_readable;
        self.is_read_closed |= event.is_read_closed;
        if !self.is_established && event.is_writable {
            socket::connect_result(&self.socket)?;
            self.is_established = true;
        }
        Ok(())
    }

    /// Reads what has come into the input, as long as that has fewer than `max_input_bytes`. True if the peer has
    /// ended its sending and all has been read. `scratch` bounds a single read.
    ///
    /// # Errors
    ///
    /// The system's: the connection is lost.
    pub fn read_available(&mut self, scratch: &mut [u8], max_input_bytes: usize) -> Result<bool> {
        while self.is_readable() && self.input.len() < max_input_bytes {
            match socket::read(&self.socket, scratch, &mut self.input, self.is_read_closed)? {
                ReadOutcome::Bytes => {}
                ReadOutcome::WouldBlock => self.is_readable = false,
                ReadOutcome::EndOfStream => return Ok(true),
            }
        }
        Ok(false)
    }

    /// Writes the output as far as the socket takes it; true if nothing is left.
    ///
    /// # Errors
    ///
    /// The system's: the connection is lost.
    pub fn flush(&mut self) -> Result<bool> {
        if !self.is_established || self.output.is_empty() {
            return Ok(self.output.is_empty());
        }
        let is_complete = match socket::write(&self.socket, &self.output, &mut self.written) {
            Ok(is_complete) => is_complete,
            Err(error) => {
                // What came before the connection broke is still to be read, and no edge may have told of it yet.
                self.is_readable = true;
                self.is_read_closed = true;
                return Err(error);
            }
        };
        if is_complete {
            buffer::clear_and_shrink(&mut self.output);
            self.written = 0;
        } else if self.written > MAX_WRITTEN_BYTES {
            self.output.drain(..self.written);
            self.written = 0;
        }
        Ok(is_complete)
    }

    /// Ends the sending; what the peer still sends is read.
    ///
    /// # Errors
    ///
    /// The system's: the connection is lost.
    pub fn shutdown_write(&self) -> Result<()> {
        rustix::net::shutdown(&self.socket, rustix::net::Shutdown::Write)
    }

    /// Whether the socket may hold unread bytes or the end: [`Connection::read_available`] stopped at its bound, or has not been
    /// called since an event told of it.
    pub fn is_readable(&self) -> bool {
        self.is_established && self.is_readable
    }

    /// How many bytes are still to be sent.
    pub fn unsent_bytes(&self) -> usize {
        self.output.len() - self.written
    }

    /// Whether the peer has neither sent anything that is not used nor ended its sending.
    pub fn is_idle(&self) -> bool {
        let may_be_idle = self.is_established && self.input.is_empty() && !self.is_read_closed;
        may_be_idle && socket::is_idle(&self.socket)
    }
}

impl AsFd for Connection {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.socket.as_fd()
    }
}
