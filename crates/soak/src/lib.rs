//! A soak test: runs the control plane and the data plane as processes on loopback for minutes or hours, under signals,
//! restarts, backend faults and configuration changes drawn from a seed. Clients, backends, the platform API and the
//! operator are stand-ins that speak the published protocols.
//!
//! - [`plan`]: the steps and their times, generated from the seed.
//! - [`topology`]: the processes, their addresses and their settings files.
//! - [`processes`]: starts, signals and reaps the processes; none outlives the soak test.
//! - [`stand_ins`]: the backends, the platform API, the clients and the operator.
//! - [`history`]: the record of everything done and observed, as stored on disk.
//! - [`checker`]: checks a history against the rules; it has no other input.
//! - [`run`]: executes a plan.
//! - [`report`]: the findings and statistics.

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
