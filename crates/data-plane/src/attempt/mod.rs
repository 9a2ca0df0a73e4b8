//! Decides how a request and its attempts proceed, without doing any I/O.
//!
//! [`RequestLifecycle`] is the state machine that takes a request from its first byte to its single final response: it
//! is told of events and returns the [`NextStep`]. [`ResponseReader`] parses what a backend sends, and
//! [`ResponseClass`] classifies a response by its head. The server owns the sockets. `docs/control-responses.md` has
//! the table of states and the proof that the invariants hold.

mod lifecycle;
mod response_class;
mod response_reader;

pub use lifecycle::{NextStep, OverdueAttempt, RequestLifecycle, RequestState};
pub use response_class::{may_reuse_connection, ConnectionState, ResponseClass};
pub use response_reader::{
    InputState, ReadProgress, ResponseContext, ResponseFailure, ResponseReader, MAX_BUFFERED_RESPONSE_BYTES,
};
