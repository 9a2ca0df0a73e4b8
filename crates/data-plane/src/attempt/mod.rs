//! A request and its attempts, decided without input or output.
//!
//! [`RequestLifecycle`] is the state machine from a request's first byte to its one final response: it is told what
//! happened and returns the [`NextStep`]. [`ResponseReader`] parses what a backend sends and [`ResponseClass`] says
//! what a response means by its head. The sockets around them belong to the server. `docs/control-responses.md` has the
//! table of states and the argument for why it holds.

mod lifecycle;
mod response_class;
mod response_reader;

pub use lifecycle::{NextStep, RequestLifecycle, RequestState};
pub use response_class::{may_reuse_connection, ConnectionState, ResponseClass};
pub use response_reader::{
    InputState, ReadProgress, ResponseContext, ResponseFailure, ResponseReader, MAX_BUFFERED_RESPONSE_BYTES,
};
