//! Decision logic of the in-service gateway: enforces a shared API's quotas across gateways that share only a counter
//! service.
//!
//! A host opens one [`Gateway`] per instance and passes it events in order, each with the host's current time; the
//! gateway acts through the [`Host`] trait. Nothing here reads a clock, a socket or a global random number generator,
//! so the same seed and events always produce the same actions.
//!
//! "The article" in comments refers to "Distributed Rate Limiting at Scale: The Probabilistic Drop Architecture";
//! `docs/design.md` lists which parts follow the article and which differ from it.
//!
//! - `dispatch`: the request lifecycle, from arrival to the final response;
//! - `quota`: a tenant's token bucket, demand, hard limit and drop ratio;
//! - `count`: the gateways' shared usage sums on the counter service;
//! - `peer_exchange`: usage updates and questions between gateways;
//! - `overload`: load shedding across all backends;
//! - `backend_selection`: selection of a backend, and statistics from the outcome of each attempt;
//! - `interface`, `state`, `counters`, `latency`: data types without decisions.

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
    AttemptEnd, AttemptOutcome, BackendEntry, BackendStatus, GatewayConfig, Host, Idempotency,
    IncomingRequest, Plan, QuotaDecision, QuotaRequest, Reading, Scope, SlowStart, Usage, UsageUpdate,
    Workload,
};
pub use quota::excess;
