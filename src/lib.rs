//! kitepass: quotas for a shared API, kept by gateways that share nothing but a counter.

mod choice;
mod clock;
mod interface;
mod record;
mod tally;

pub use choice::Gateway;
pub use clock::{Moment, Span};
pub use interface::*;
