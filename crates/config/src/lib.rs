//! The configuration of the load balancer, without any I/O.
//!
//! Its unit is the [`Item`]: a route, a tenant, a service and the like, with a name and a version. An [`ItemStore`] holds
//! and merges items, and finds out where two replicas differ ([`Chunk`]). Operators' changes are parsed
//! ([`parse_change_request`]), validated ([`validate`]) and read back ([`ConfigurationSnapshot`]) as JSON. Data planes use
//! the typed form of items ([`Route`], [`Tenant`], [`Service`], [`Limits`]) and route by a [`RoutingTable`].

mod change_request;
mod configuration;
mod error;
mod host;
mod item;
mod item_json;
mod item_store;
mod model;
mod record;
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
pub use routing_table::RoutingTable;
pub use validation::validate;
pub use version_history::{ItemWithHistory, MergeOutcome, VersionDigest, VersionStatus, MAX_OLDER_VERSIONS};
