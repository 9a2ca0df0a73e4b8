//! The requests that a gateway has taken, each from its intake to its final answer.

use crate::poll::ClientKey;
use crate::request_head::RequestHead;
use kitepass_gateway_policy::AttemptOutcome;
use kitepass_time::Timestamp;
use slotmap::{Key, KeyData, SlotMap};
use std::collections::HashMap;
use std::rc::Rc;

slotmap::new_key_type! {
    pub(crate) struct RequestKey;
}

/// What the policy calls a request.
pub(crate) fn id(key: RequestKey) -> String {
    key.data().as_ffi().to_string()
}

pub(crate) fn key(id: &str) -> Option<RequestKey> {
    id.parse().ok().map(|ffi| KeyData::from_ffi(ffi).into())
}

/// A request's states. `Requests::shift` alone changes them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum State {
    /// Taken; no attempt is out.
    Queued,
    /// Its attempt is out.
    InFlight,
    /// It needs no answer any more, and its attempt is still out.
    Abandoned,
    /// It has its answer or needs none, and no attempt is out.
    Finished,
}

#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) client: ClientKey,
    pub(crate) head: Rc<RequestHead>,
    pub(crate) deadline: Timestamp,
    pub(crate) attempts: u32,
    pub(crate) last_outcome: Option<AttemptOutcome>,
    state: State,
}

impl Request {
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

    pub(crate) fn state(&self) -> State {
        self.state
    }
}

#[derive(Default)]
pub(crate) struct Requests {
    all: SlotMap<RequestKey, Request>,
    /// Those that are to be answered, by their trace ids.
    open: HashMap<Box<[u8]>, RequestKey>,
}

impl Requests {
    pub(crate) fn insert(&mut self, request: Request) -> RequestKey {
        let trace = request.head.trace().into();
        let key = self.all.insert(request);
        self.open.insert(trace, key);
        key
    }

    /// The request that is open under a trace id.
    pub(crate) fn open_request(&self, trace: &[u8]) -> Option<&Request> {
        self.get(*self.open.get(trace)?)
    }

    pub(crate) fn get(&self, key: RequestKey) -> Option<&Request> {
        self.all.get(key)
    }

    pub(crate) fn get_mut(&mut self, key: RequestKey) -> Option<&mut Request> {
        self.all.get_mut(key)
    }

    /// Changes a request's state. One that is over is forgotten.
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

    pub(crate) fn is_empty(&self) -> bool {
        self.all.is_empty()
    }
}

#[cfg(test)]
mod tests;
