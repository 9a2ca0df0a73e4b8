//! The configuration of the load balancer. This crate performs no I/O.
//!
//! The configuration consists of versioned, named [`Item`]s such as routes, tenants and services. An [`ItemStore`]
//! stores and merges items and determines the differences between two replicas ([`Chunk`]).
//!
//! Operators send change requests as JSON, which are parsed ([`parse_change_request`]) and validated ([`validate`]),
//! and read the configuration as JSON ([`ConfigurationSnapshot`]). Data planes use typed items ([`Route`], [`Tenant`],
//! [`Service`], [`Limits`]) and route requests with a [`RoutingTable`].

mod change_request;
mod configuration;
mod error;
mod host;
mod item;
mod item_json;
mod item_store;
mod model;
mod record;
mod reservation;
mod routing_table;
mod validation;
mod version_history;

pub use change_request::{parse_change_request, SchemaValidator};
pub use configuration::ConfigurationSnapshot;
pub use error::ValidationError;
pub use host::{normalize_host, NormalizedHost};
pub use item::{Item, Kind};
pub use item_store::{chunk_digest, Chunk, ItemStore, BUCKET_COUNT};
pub use model::{Limits, RequestSafety, Route, Service, Tenant};
pub use record::{decode_record, encode_key, encode_record};
pub use reservation::{has_forgotten_reservation, reservations_are_current, Reservations};
pub use routing_table::RoutingTable;
pub use validation::validate;
pub use version_history::{ItemWithHistory, MergeOutcome, VersionDigest, VersionStatus, MAX_OLDER_VERSIONS};
