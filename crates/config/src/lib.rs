//! The configuration of the load balancer, without any I/O: its items and their merge ([`Ledger`]), the
//! operator's calls and what makes them invalid ([`read_call`], [`judge`]), their JSON form ([`read_back`]),
//! typed readings ([`Route`], [`Tenant`], [`Line`], [`Limits`]) and what the data plane routes by ([`View`]).

mod call;
mod item;
mod judge;
mod ledger;
mod past;
mod reading;
mod refusal;
mod view;

pub use call::{read_back, read_back_as_call, read_call, Checker};
pub use item::{Item, Kind};
pub use judge::judge;
pub use ledger::{piece_digest, Ledger, Piece, BUCKETS};
pub use past::{record, record_key, unrecord, Entry, Merged, Verdict, Version, REMEMBERED};
pub use reading::{Limits, Line, Mail, Route, Tenant};
pub use refusal::Refusal;
pub use view::View;
