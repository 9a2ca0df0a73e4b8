//! kitepass: quotas for a shared API, kept by gateways that share nothing but a counter.

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
pub use interface::*;
pub use quota::excess;
