//! The configuration of the load balancer, without any I/O: its items and their merge ([`Ledger`]), the
//! operator's calls and what makes them invalid ([`read_call`], [`validation`]), their JSON form ([`read_back`]),
//! typed readings ([`Route`], [`Tenant`], [`Line`], [`Limits`]) and what the data plane routes by ([`View`]).

mod change_request;
mod error;
mod item;
mod item_store;
mod model;
mod routing_table;
mod validation;
mod version_history;

pub use change_request::{read_back, read_back_as_call, read_call, Checker};
pub use error::Refusal;
pub use item::{Item, Kind};
pub use item_store::{piece_digest, Ledger, Piece, BUCKETS};
pub use model::{Limits, Line, Mail, Route, Tenant};
pub use routing_table::View;
pub use validation::judge;
pub use version_history::{record, record_key, unrecord, Entry, Merged, Verdict, Version, REMEMBERED};
