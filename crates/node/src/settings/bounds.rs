//! Times and ratios that the deployment sets.

use super::durations::{millis, optional_millis, optional_seconds, seconds};
use serde::Deserialize;
use std::time::Duration;

/// Times and ratios that the deployment sets, `schedule-bounds` in the file. There a name ends with the unit of its
/// number (`-ms`, `-s`); here times are durations. What is `None` by default has no value that is right everywhere.
/// Figures that no program reads yet are kept so that a file is checked completely.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case", default)]
pub struct Bounds {
    /// How long a machine must have run undisturbed and connected to count as in contact; 5 s by default.
    #[serde(rename = "contact-ms", deserialize_with = "millis")]
    pub stable_after: Duration,
    /// For how long a machine that is back still counts as lost; 4 s by default.
    #[serde(rename = "settle-s", deserialize_with = "seconds")]
    pub rejoin_hold_down: Duration,
    /// The time after which no request reaches a backend that was acknowledged as draining or gone; 4 s by default.
    #[serde(rename = "clearance-ms", deserialize_with = "millis")]
    pub drain_delay: Duration,
    /// The time from SIGTERM to SIGKILL, in which a process shuts down gracefully; 6 s by default.
    #[serde(rename = "courtesy-s", deserialize_with = "seconds")]
    pub shutdown_grace: Duration,
    /// The time after which an acknowledged configuration is in force everywhere; 4 s by default.
    #[serde(rename = "timetable-ms", deserialize_with = "millis")]
    pub configuration_delay: Duration,
    /// The retries that a service may receive, as a part of its requests; 0.2 by default.
    pub retry_ratio: f64,
    /// The window over which retries are counted; 10 s by default.
    #[serde(rename = "retry-window-s", deserialize_with = "seconds")]
    pub retry_window: Duration,
    /// The number of retries in a window beyond the ratio; 60 by default.
    pub retry_margin: f64,
    /// The window over which a tenant's requests are counted; 5 s by default.
    #[serde(rename = "quota-window-s", deserialize_with = "seconds")]
    pub quota_window: Duration,
    /// The part by which a quota may be exceeded; 0.1 by default.
    pub quota_excess: f64,
    /// The number of requests in a window beyond that part; 20 by default.
    pub quota_margin: f64,
    /// The factor by which a warming backend's request rate may be exceeded; 1.5 by default.
    #[serde(rename = "cold-excess")]
    pub slow_start_excess: f64,
    /// The number of requests in a second beyond that rate; 5 by default.
    #[serde(rename = "cold-margin")]
    pub slow_start_margin: f64,
    /// The time after which no request reaches a zone whose evacuation was acknowledged; 5 s by default.
    #[serde(rename = "evacuate-ms", deserialize_with = "millis")]
    pub evacuation_delay: Duration,
    /// The longest validity of a directory answer that clients heed; 5 s by default.
    #[serde(rename = "ttl_max_s", deserialize_with = "seconds")]
    pub max_directory_ttl: Duration,
    /// The deployment's `sealed-off`; `false` by default. No program reads it.
    #[serde(rename = "sealed-off")]
    pub is_sealed_off: bool,
    /// How far the list of machines that callers choose from lags behind; `None` by default.
    #[serde(rename = "roster-lag-s", deserialize_with = "optional_seconds")]
    pub max_endpoint_list_lag: Option<Duration>,
    /// The time after which the address of a backend that has ended may belong to another service; `None` by default.
    #[serde(rename = "readdress-s", deserialize_with = "optional_seconds")]
    pub address_reuse_delay: Option<Duration>,
    /// The time in which an operator's request has to be acknowledged; `None` by default.
    #[serde(rename = "receipt-ms", deserialize_with = "optional_millis")]
    pub operator_ack_timeout: Option<Duration>,
    /// The time after its last byte from which a request that was read counts as lost if its connection ends without
    /// a response; `None` by default.
    #[serde(rename = "missing-ms", deserialize_with = "optional_millis")]
    pub lost_request_timeout: Option<Duration>,
    /// The time after the first effect of a version from which a machine must not use an older one; `None` by
    /// default.
    #[serde(rename = "return-ms", deserialize_with = "optional_millis")]
    pub stale_version_grace_period: Option<Duration>,
    /// By how much the bounds of configuration and evacuation grow while the control plane is disturbed; `None` by
    /// default.
    #[serde(rename = "stretch-ms", deserialize_with = "optional_millis")]
    pub degraded_extension: Option<Duration>,
    /// The deployment's `recall-ms`; `None` by default. No program reads it.
    #[serde(rename = "recall-ms", deserialize_with = "optional_millis")]
    pub recall: Option<Duration>,
    /// The time after the end of a fault from which requests have to be served again; `None` by default.
    #[serde(rename = "recovery-s", deserialize_with = "optional_seconds")]
    pub recovery_time: Option<Duration>,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            stable_after: Duration::from_secs(5),
            rejoin_hold_down: Duration::from_secs(4),
            drain_delay: Duration::from_secs(4),
            shutdown_grace: Duration::from_secs(6),
            configuration_delay: Duration::from_secs(4),
            retry_ratio: 0.2,
            retry_window: Duration::from_secs(10),
            retry_margin: 60.0,
            quota_window: Duration::from_secs(5),
            quota_excess: 0.1,
            quota_margin: 20.0,
            slow_start_excess: 1.5,
            slow_start_margin: 5.0,
            evacuation_delay: Duration::from_secs(5),
            max_directory_ttl: Duration::from_secs(5),
            is_sealed_off: false,
            max_endpoint_list_lag: None,
            address_reuse_delay: None,
            operator_ack_timeout: None,
            lost_request_timeout: None,
            stale_version_grace_period: None,
            degraded_extension: None,
            recall: None,
            recovery_time: None,
        }
    }
}
