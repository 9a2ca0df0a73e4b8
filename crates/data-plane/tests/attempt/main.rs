//! A request's way, [`kitepass_data_plane::attempt`], tried in all orders of what may happen to it.

// Until the issue "Readable code 2" has reached this crate.
#![allow(missing_docs, unreachable_pub, clippy::missing_errors_doc, clippy::missing_panics_doc)]
#![allow(clippy::too_many_arguments, clippy::too_many_lines, clippy::wildcard_imports)]

mod calls;
mod model;
mod reading;
