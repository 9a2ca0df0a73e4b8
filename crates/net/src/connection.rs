//! A TCP connection with its input and output buffers.

use crate::buffer;
use crate::poller::{Poller, ReadyEvent};
use crate::socket::{self, ReadOutcome};
use kitepass_time::Duration;
use rustix::fd::{AsFd, BorrowedFd, OwnedFd};
use rustix::io::Result;
use std::net::SocketAddr;

pub use crate::socket::error_label;

/// Once more than this many bytes at the front of the output have been written, they are removed from the buffer even
/// if more output is pending.
const COMPACTION_THRESHOLD_BYTES: usize = 256 * 1024;

/// A connection registered with an edge-triggered [`Poller`]. The poller reports only changes, so the connection
/// remembers that the socket is readable until a read would block.
#[derive(Debug)]
pub struct Connection {
    socket: OwnedFd,
    /// Received bytes that have not been consumed.
    pub input: Vec<u8>,
    /// Bytes to send. The front may already have been written; [`Connection::unsent_bytes`] counts the rest.
    pub output: Vec<u8>,
    /// How many bytes at the front of the output have been written.
    written: usize,
    is_established: bool,
    is_readable: bool,
    /// The peer has closed its write side. Unread bytes may remain before the end of the stream.
    is_read_closed: bool,
}

impl Connection {
    /// Wraps an accepted socket that is already registered with the poller.
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

    /// Starts a non-blocking connect. Output that is queued in the meantime is sent once the connection is established.
    /// The connection fails when sent data stays unacknowledged for `user_timeout`.
    ///
    /// # Errors
    ///
    /// The operating system's error, for example if no file descriptor or local port is available.
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

    /// Sets the time after which the connection fails if sent data is unacknowledged.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    pub fn set_user_timeout(&self, user_timeout: Duration) -> Result<()> {
        socket::set_user_timeout(&self.socket, user_timeout)
    }

    /// Whether the connection is established.
    pub fn is_established(&self) -> bool {
        self.is_established
    }

    /// Updates the connection's state from a poller event.
    ///
    /// # Errors
    ///
    /// The reason why the connection could not be established.
    pub fn handle_event(&mut self, event: &ReadyEvent) -> Result<()> {
        self.is_readable |= event.is_readable;
        self.is_read_closed |= event.is_read_closed;
        if !self.is_established && event.is_writable {
            socket::connect_result(&self.socket)?;
            self.is_established = true;
        }
        Ok(())
    }

    /// Reads available bytes into the input buffer while it holds fewer than `max_input_bytes`. Returns true at the end
    /// of the stream: the peer has closed its write side and everything has been read. A single read returns at most as
    /// many bytes as `scratch` can hold.
    ///
    /// # Errors
    ///
    /// The operating system's error; the connection is lost.
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

    /// Does the same as [`Connection::read_available`], and in addition notices that the peer has closed its write side
    /// although the poller has not reported it yet. This takes one more system call if it has not.
    ///
    /// # Errors
    ///
    /// The operating system's error; the connection is lost.
    pub fn read_to_end(&mut self, scratch: &mut [u8], max_input_bytes: usize) -> Result<bool> {
        let is_end = self.read_available(scratch, max_input_bytes)?;
        if !is_end && self.is_established && !self.is_readable {
            self.is_readable = true;
            return self.read_available(scratch, max_input_bytes);
        }
        Ok(is_end)
    }

    /// Whether the peer has closed its write side, or the connection is lost, as far as the poller has reported it. Data
    /// that was received before may be unread.
    pub fn is_read_closed(&self) -> bool {
        self.is_read_closed
    }

    /// Writes as much output as the socket accepts. Returns true if nothing is left to send.
    ///
    /// # Errors
    ///
    /// The operating system's error; the connection is lost.
    pub fn flush(&mut self) -> Result<bool> {
        if !self.is_established || self.output.is_empty() {
            return Ok(self.output.is_empty());
        }
        let is_complete = match socket::write(&self.socket, &self.output, &mut self.written) {
            Ok(is_complete) => is_complete,
            Err(error) => {
                // Data received before the connection failed can still be read. Mark the socket as readable, because
                // the poller may not have reported it yet.
                self.is_readable = true;
                self.is_read_closed = true;
                return Err(error);
            }
        };
        if is_complete {
            buffer::clear_and_shrink(&mut self.output);
            self.written = 0;
        } else if self.written > COMPACTION_THRESHOLD_BYTES {
            self.output.drain(..self.written);
            self.written = 0;
        }
        Ok(is_complete)
    }

    /// Closes the write side. Data from the peer can still be read.
    ///
    /// # Errors
    ///
    /// The operating system's error; the connection is lost.
    pub fn shutdown_write(&self) -> Result<()> {
        rustix::net::shutdown(&self.socket, rustix::net::Shutdown::Write)
    }

    /// Whether unread bytes or the end of the stream may be pending: [`Connection::read_available`] stopped at its
    /// limit, or has not been called since the last readable event.
    pub fn is_readable(&self) -> bool {
        self.is_established && self.is_readable
    }

    /// How many output bytes have not been written to the socket.
    pub fn unsent_bytes(&self) -> usize {
        self.output.len() - self.written
    }

    /// Whether the connection is established and open, with no received data pending. An idle connection can be reused.
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
