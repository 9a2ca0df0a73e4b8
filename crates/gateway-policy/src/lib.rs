//! kitepass: quotas for a shared API, kept by gateways that share nothing but a counter.

mod choice;
mod count;
mod interface;
mod latency;
mod peers;
mod pick;
mod pressure;
mod quota;
mod record;
mod tally;

pub use choice::Gateway;
pub use interface::*;
pub use quota::excess;
