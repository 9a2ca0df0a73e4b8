//! kitepass: quotas for a shared API, kept by gateways that share nothing but a counter.

mod choice;
mod clock;
mod count;
mod interface;
mod peers;
mod pick;
mod pressure;
mod quota;
mod record;
mod tally;

pub use choice::Gateway;
pub use clock::{Moment, Span};
pub use interface::*;
pub use quota::excess;
