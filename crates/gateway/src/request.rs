//! The accepted requests, each from its arrival to its final response.

use crate::parsed_request::ParsedRequest;
use crate::poll::ClientKey;
use kitepass_gateway_policy::AttemptOutcome;
use kitepass_time::Timestamp;
use slotmap::{Key, KeyData, SlotMap};
use std::collections::HashMap;
use std::rc::Rc;

slotmap::new_key_type! {
    /// A request's key in [`Requests`].
    pub(crate) struct RequestKey;
}

/// The id by which the policy knows a request.
pub(crate) fn id_from_key(key: RequestKey) -> String {
    key.data().as_ffi().to_string()
}

/// The key of a request id; `None` if the text is not an id.
pub(crate) fn key_from_id(id: &str) -> Option<RequestKey> {
    id.parse().ok().map(|ffi| KeyData::from_ffi(ffi).into())
}

/// The state of a request, changed only by [`Requests::set_state`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum State {
    /// The request waits for an attempt.
    Queued,
    /// An attempt is in flight.
    InFlight,
    /// The client has disconnected; an attempt is still in flight.
    Abandoned,
    /// The request was answered or abandoned, and no attempt is in flight.
    Finished,
}

/// A request in progress.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) client: ClientKey,
    pub(crate) parsed: Rc<ParsedRequest>,
    /// When the response must have been sent.
    pub(crate) deadline: Timestamp,
    /// How many attempts have been started.
    pub(crate) attempts: u32,
    /// How the last attempt ended.
    pub(crate) last_outcome: Option<AttemptOutcome>,
    state: State,
}

impl Request {
    /// A queued request that has had no attempt.
    pub(crate) fn new(client: ClientKey, parsed: ParsedRequest, deadline: Timestamp) -> Request {
        Request {
            client,
            parsed: Rc::new(parsed),
            deadline,
            attempts: 0,
            last_outcome: None,
            state: State::Queued,
        }
    }

    /// The request's state.
    pub(crate) fn state(&self) -> State {
        self.state
    }
}

/// All requests in progress.
#[derive(Default)]
pub(crate) struct Requests {
    requests: SlotMap<RequestKey, Request>,
    /// Keys of the requests that still need a response, by trace id.
    open_by_trace_id: HashMap<Box<[u8]>, RequestKey>,
}

impl Requests {
    /// Adds a request and reserves its trace id.
    pub(crate) fn insert(&mut self, request: Request) -> RequestKey {
        let trace_id = request.parsed.trace_id().into();
        let key = self.requests.insert(request);
        self.open_by_trace_id.insert(trace_id, key);
        key
    }

    /// The request with a trace id, if it still needs a response.
    pub(crate) fn open_request(&self, trace_id: &[u8]) -> Option<&Request> {
        self.get(*self.open_by_trace_id.get(trace_id)?)
    }

    /// The request with a key, unless it is finished.
    pub(crate) fn get(&self, key: RequestKey) -> Option<&Request> {
        self.requests.get(key)
    }

    /// Mutable access to the request with a key, unless it is finished.
    pub(crate) fn get_mut(&mut self, key: RequestKey) -> Option<&mut Request> {
        self.requests.get_mut(key)
    }

    /// Changes a request's state. A finished request is removed; an abandoned one releases its trace id.
    pub(crate) fn set_state(&mut self, key: RequestKey, state: State) {
        if let (State::Abandoned | State::Finished, Some(request)) = (state, self.requests.get(key)) {
            let trace_id = request.parsed.trace_id();
            if self.open_by_trace_id.get(trace_id) == Some(&key) {
                self.open_by_trace_id.remove(trace_id);
            }
        }
        if state == State::Finished {
            self.requests.remove(key);
        } else if let Some(request) = self.requests.get_mut(key) {
            request.state = state;
        }
    }

    /// Whether no request is in progress.
    pub(crate) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }
}

#[cfg(test)]
mod tests;
