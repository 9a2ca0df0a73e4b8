//! A soak: the control plane and the data plane as processes on loopback, for minutes or hours, under signals, restarts, backend
//! faults and configuration changes that a seed draws. Clients, backends, the platform's list and the operator are stand-ins by
//! the published protocol.
//!
//! - [`plan`]: what is done and when, by seed.
//! - [`topology`]: the processes, their addresses and settings files.
//! - [`processes`]: starts, signals and reaps them; none survives the soak.
//! - [`stand_ins`]: backends, the platform's list, clients, the operator.
//! - [`history`]: all that was done and seen, as it is written to disk.
//! - [`checker`]: judges a history, and nothing else.
//! - [`run`]: plays a plan. [`report`]: the findings and figures.

pub mod checker;
pub mod cli;
pub mod error;
pub mod history;
pub mod http_stream;
pub mod plan;
pub mod processes;
pub mod report;
pub mod resources;
pub mod run;
pub mod stand_ins;
pub mod topology;
