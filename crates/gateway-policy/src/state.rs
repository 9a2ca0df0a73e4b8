//! What the decisions keep of each request, tenant and backend. Nothing is decided here.

use crate::counters::{DecayingCount, Sums};
use crate::interface::{BackendEntry, Plan, QuotaRequest, Units};
use kitepass_time::{Duration, Timestamp};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;

/// A request's states. `Gateway::set_state` alone changes them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RequestState {
    #[default]
    Queued, // taken in; no attempt out
    AwaitingQuota, // its tenant's controller or the counter is asked
    InFlight,      // its one attempt is out
    Abandoned,     // the client has gone while an attempt is out
    Finished,      // it has its final answer, or needs none, and no attempt is out
}

#[derive(Default)]
pub struct PendingRequest {
    pub state: RequestState,
    pub workload: usize,
    pub quota: QuotaRequest,
    pub deadline: Timestamp, // its answer is worth something
    pub attempts: u32,
    pub may_have_run: bool,                  // an attempt has ended that may have run;
    pub first_backend: Option<BackendEntry>, // where the first such attempt went,
    pub first_sent_at: Timestamp,            // and when
    pub is_counted: bool, // its units are booked: by its tenant's controller, or in the sum
}

#[derive(Default)]
pub struct Tenant {
    pub plan: Rc<Plan>,
    pub gateways: f64,
    pub is_controlled: bool,         // this gateway is its controller
    pub directive: (f64, Timestamp), // a controller's last ratio, and how long it holds
    pub is_counted: bool,            // its sum on the counter is all that tells of the others
    pub is_sparse: bool, // so little of the token bucket falls to this gateway that it tells nothing
    pub interval: Duration, // time over which offers are set against the limit
    pub reserve: f64,    // units of the token bucket left for what others draw unseen
    pub tokens: f64,     // units thought to be in its token bucket,
    pub updated_at: Timestamp, // and when that was reckoned
    pub demand: DecayingCount, // units offered here within about a period, the newest counting most
    pub unreported: Units, // units here that are not in the sum yet,
    pub report_at: Timestamp, // and when they go there
    pub unfilled: f64,   // units not put into it since the last reading: it was full, or others drew
    pub sums: Sums,      // that it was added to
    pub read_at: Option<Timestamp>, // when a total notified of the others last,
    pub missed: i64,     // and how many calls in a row have brought none
    pub peer_offered: DecayingCount, // what the others were offered of late, by a reading or by peers,
    pub peer_sent: DecayingCount, // and by readings forwarded
    pub untold_usage: Units, // and what they are to be notified
    pub hard_tokens: f64, // units left of this gateway's own share of the hard limit
    pub in_flight: u32,  // attempts
}

#[derive(Default)]
pub struct Backend {
    pub entry: BackendEntry,
    pub successes: DecayingCount,               // ends of attempts that went well,
    pub failures: DecayingCount,                // and that went wrong
    pub slowdown: f64,                          // how much more time it takes than the fleet for the like
    pub in_flight: BTreeMap<String, Timestamp>, // requests that have an attempt out here, and since when
    pub credit: f64,           // while it is warming up: attempts that it may have from here,
    pub updated_at: Timestamp, // and when that was reckoned
}

#[derive(Default)]
pub struct Peers {
    pub untold_tenants: Vec<String>,   // tenants of which they are to be notified,
    pub interval: Duration,            // and after which time
    pub heard_at: Option<Timestamp>,   // when one was last heard
    pub by_hash: HashMap<u32, String>, // tenants by the marks that they are notified by
    pub last_question: u16,            // query to a controller
    /// Requests by what they wait for, each with what its call adds; no request where none waits for the call.
    pub waiting: HashMap<String, VecDeque<(String, Units)>>,
    pub loss_rate: f64, // part of them that waited for nothing, of late
}
