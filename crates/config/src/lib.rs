//! The configuration of the load balancer, without any I/O: its items and their merge ([`ItemStore`]), the
//! operator's calls and what makes them invalid ([`parse_change_request`], [`validation`]), their JSON form ([`to_configuration`]),
//! typed readings ([`Route`], [`Tenant`], [`Service`], [`Limits`]) and what the data plane routes by ([`RoutingTable`]).

// Until the issue "Readable code 2" has reached this crate.
#![allow(missing_docs, unreachable_pub, clippy::missing_errors_doc, clippy::missing_panics_doc)]
#![allow(clippy::too_many_arguments, clippy::too_many_lines, clippy::wildcard_imports)]

mod change_request;
mod error;
mod item;
mod item_store;
mod model;
mod routing_table;
mod validation;
mod version_history;

pub use change_request::{parse_change_request, to_change_request, to_configuration, SchemaValidator};
pub use error::ValidationError;
pub use item::{Item, Kind};
pub use item_store::{chunk_digest, Chunk, ItemStore, BUCKETS};
pub use model::{Limits, RequestSafety, Route, Service, Tenant};
pub use routing_table::RoutingTable;
pub use validation::validate;
pub use version_history::{
    decode_record, encode_key, encode_record, Entry, MergeOutcome, VersionDigest, VersionStatus,
    MAX_OLDER_VERSIONS,
};
