//! Decisions of the in-service gateway: quotas of a shared API, kept by gateways that share only a counter service.
//!
//! A host opens one [`Gateway`] per instance and reports events to it in order, each with the host's clock; the
//! gateway answers through the [`Host`] trait. Nothing here reads a clock, a socket or a global random source, so
//! a run repeats exactly for the same seed and events.
//!
//! "The article" in comments is "Distributed Rate Limiting at Scale: The Probabilistic Drop Architecture";
//! `docs/design.md` says which parts are the article's mechanism and which depart from it.
//!
//! - `dispatch`: the life of a request, from its arrival to its final answer;
//! - `quota`: a tenant's token bucket, demand, hard limit and drop ratio;
//! - `count`: the usage that gateways add up on the counter service;
//! - `peer_exchange`: usage updates and questions between gateways;
//! - `overload`: load shedding for the whole set of backends;
//! - `backend_selection`: the choice of a backend and what is learnt from each attempt;
//! - `interface`, `state`, `counters`, `latency`: the types that these work on; they decide nothing.

mod backend_selection;
mod count;
mod counters;
mod dispatch;
mod interface;
mod latency;
mod overload;
mod peer_exchange;
mod quota;
mod state;

pub use dispatch::Gateway;
pub use interface::{
    AttemptEnd, AttemptOutcome, BackendEntry, BackendStatus, GatewayConfig, Group, Host, Idempotency,
    IncomingRequest, Plan, QuotaDecision, QuotaRequest, Reading, SlowStart, Units, UsageUpdate, Workload,
};
pub use quota::excess;
