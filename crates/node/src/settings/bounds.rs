//! Time limits and ratios of a deployment.

use super::durations::{millis, optional_millis, optional_seconds, seconds};
use serde::Deserialize;
use std::time::Duration;

/// Time limits and ratios of a deployment: the table `schedule-bounds` of the settings file, whose time settings have
/// their unit as a suffix (`-ms`, `-s`). Fields that are `None` by default have no value that suits every deployment.
/// Some fields are not used by any program; they are parsed so that the whole file is validated.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case", default)]
pub struct Bounds {
    /// The time for which a machine must run without disturbance and stay connected until it counts as in contact; 5 s
    /// by default.
    #[serde(rename = "contact-ms", deserialize_with = "millis")]
    pub stable_after: Duration,
    /// The time for which a machine that has returned still counts as lost; 4 s by default.
    #[serde(rename = "settle-s", deserialize_with = "seconds")]
    pub rejoin_hold_down: Duration,
    /// The time after which a backend receives no more requests, counted from the acknowledgement that it is draining
    /// or gone; 4 s by default.
    #[serde(rename = "clearance-ms", deserialize_with = "millis")]
    pub drain_delay: Duration,
    /// The time for a graceful shutdown, from SIGTERM to SIGKILL; 6 s by default.
    #[serde(rename = "courtesy-s", deserialize_with = "seconds")]
    pub shutdown_grace: Duration,
    /// The time after which an acknowledged configuration is active on all nodes; 4 s by default.
    #[serde(rename = "timetable-ms", deserialize_with = "millis")]
    pub configuration_delay: Duration,
    /// The maximum ratio of retries to requests of a service; 0.2 by default.
    pub retry_ratio: f64,
    /// The window over which retries are counted; 10 s by default.
    #[serde(rename = "retry-window-s", deserialize_with = "seconds")]
    pub retry_window: Duration,
    /// The number of retries per window allowed in addition to the ratio; 60 by default.
    pub retry_margin: f64,
    /// The window over which a tenant's requests are counted; 5 s by default.
    #[serde(rename = "quota-window-s", deserialize_with = "seconds")]
    pub quota_window: Duration,
    /// The fraction by which a quota may be exceeded; 0.1 by default.
    pub quota_excess: f64,
    /// The number of requests per window allowed in addition to that fraction; 20 by default.
    pub quota_margin: f64,
    /// The factor by which the request rate of a backend in slow start may be exceeded; 1.5 by default.
    #[serde(rename = "cold-excess")]
    pub slow_start_excess: f64,
    /// The number of requests per second allowed in addition to that factor; 5 by default.
    #[serde(rename = "cold-margin")]
    pub slow_start_margin: f64,
    /// The time after which a zone receives no more requests, counted from the acknowledgement of its evacuation; 5 s
    /// by default.
    #[serde(rename = "evacuate-ms", deserialize_with = "millis")]
    pub evacuation_delay: Duration,
    /// The maximum validity of a directory response that clients honor; 5 s by default.
    #[serde(rename = "ttl_max_s", deserialize_with = "seconds")]
    pub max_directory_ttl: Duration,
    /// The setting `sealed-off`; `false` by default. Not used by any program.
    #[serde(rename = "sealed-off")]
    pub is_sealed_off: bool,
    /// The time by which the list of machines that callers choose from may lag behind; `None` by default.
    #[serde(rename = "roster-lag-s", deserialize_with = "optional_seconds")]
    pub max_endpoint_list_lag: Option<Duration>,
    /// The time after which the address of a terminated backend may be reused by another service; `None` by default.
    #[serde(rename = "readdress-s", deserialize_with = "optional_seconds")]
    pub address_reuse_delay: Option<Duration>,
    /// The time within which an operator's request must be acknowledged; `None` by default.
    #[serde(rename = "receipt-ms", deserialize_with = "optional_millis")]
    pub operator_ack_timeout: Option<Duration>,
    /// The time, counted from the last byte of a request, after which the request counts as lost if its connection
    /// closes without a response; `None` by default.
    #[serde(rename = "missing-ms", deserialize_with = "optional_millis")]
    pub lost_request_timeout: Option<Duration>,
    /// The time for which a machine may still use an older version after a newer one first took effect; `None` by
    /// default.
    #[serde(rename = "return-ms", deserialize_with = "optional_millis")]
    pub stale_version_grace_period: Option<Duration>,
    /// The time by which `configuration_delay` and `evacuation_delay` are extended while the control plane is
    /// disturbed; `None` by default.
    #[serde(rename = "stretch-ms", deserialize_with = "optional_millis")]
    pub degraded_extension: Option<Duration>,
    /// The setting `recall-ms`; `None` by default. Not used by any program.
    #[serde(rename = "recall-ms", deserialize_with = "optional_millis")]
    pub recall: Option<Duration>,
    /// The time within which requests must be served again after a fault has ended; `None` by default.
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
