//! kitepass: quotas for a shared API, kept by gateways that share nothing but a counter.

// Until the issue "Readable code 2" has reached this crate.
#![allow(missing_docs, unreachable_pub, clippy::missing_errors_doc, clippy::missing_panics_doc)]
#![allow(clippy::too_many_arguments, clippy::too_many_lines, clippy::wildcard_imports)]

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
