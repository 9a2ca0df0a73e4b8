//! The requests that a gateway has accepted, each from its arrival to its final answer.

use crate::poll::ClientKey;
use crate::request_head::RequestHead;
use kitepass_gateway_policy::AttemptOutcome;
use kitepass_time::Timestamp;
use slotmap::{Key, KeyData, SlotMap};
use std::collections::HashMap;
use std::rc::Rc;

slotmap::new_key_type! {
    /// A request's key in [`Requests`].
    pub(crate) struct RequestKey;
}

/// The id that the policy has for a request.
pub(crate) fn id(key: RequestKey) -> String {
    key.data().as_ffi().to_string()
}

/// The key of a request's id; `None` for text that is no id.
pub(crate) fn key(id: &str) -> Option<RequestKey> {
    id.parse().ok().map(|ffi| KeyData::from_ffi(ffi).into())
}

/// A request's state. Only `Requests::set_state` changes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum State {
    /// It waits for an attempt.
    Queued,
    /// An attempt is in flight.
    InFlight,
    /// It needs no answer any more, and an attempt is still in flight.
    Abandoned,
    /// It has its answer or needs none, and no attempt is in flight.
    Finished,
}

/// A request under way.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) client: ClientKey,
    pub(crate) head: Rc<RequestHead>,
    /// When its answer must have been sent.
    pub(crate) deadline: Timestamp,
    /// How many attempts have been begun.
    pub(crate) attempts: u32,
    /// How the last attempt ended.
    pub(crate) last_outcome: Option<AttemptOutcome>,
    state: State,
}

impl Request {
    /// A queued request without attempts.
    pub(crate) fn new(client: ClientKey, head: RequestHead, deadline: Timestamp) -> Request {
        Request {
            client,
            head: Rc::new(head),
            deadline,
            attempts: 0,
            last_outcome: None,
            state: State::Queued,
        }
    }

    /// Its state.
    pub(crate) fn state(&self) -> State {
        self.state
    }
}

/// All requests under way.
#[derive(Default)]
pub(crate) struct Requests {
    all: SlotMap<RequestKey, Request>,
    /// The requests that are still to be answered, by their trace ids.
    open: HashMap<Box<[u8]>, RequestKey>,
}

impl Requests {
    /// Adds a request and opens its trace id.
    pub(crate) fn insert(&mut self, request: Request) -> RequestKey {
        let trace = request.head.trace().into();
        let key = self.all.insert(request);
        self.open.insert(trace, key);
        key
    }

    /// The request that is still to be answered under a trace id.
    pub(crate) fn open_request(&self, trace: &[u8]) -> Option<&Request> {
        self.get(*self.open.get(trace)?)
    }

    /// The request of a key, until it is finished.
    pub(crate) fn get(&self, key: RequestKey) -> Option<&Request> {
        self.all.get(key)
    }

    /// The request of a key, to be changed.
    pub(crate) fn get_mut(&mut self, key: RequestKey) -> Option<&mut Request> {
        self.all.get_mut(key)
    }

    /// Changes a request's state. A finished request is removed, and an abandoned one no longer holds its
    /// trace id.
    pub(crate) fn set_state(&mut self, key: RequestKey, to: State) {
        if let (State::Abandoned | State::Finished, Some(request)) = (to, self.all.get(key)) {
            let trace = request.head.trace();
            if self.open.get(trace) == Some(&key) {
                self.open.remove(trace);
            }
        }
        if to == State::Finished {
            self.all.remove(key);
        } else if let Some(request) = self.all.get_mut(key) {
            request.state = to;
        }
    }

    /// Whether no request is under way.
    pub(crate) fn is_empty(&self) -> bool {
        self.all.is_empty()
    }
}

#[cfg(test)]
mod tests;
