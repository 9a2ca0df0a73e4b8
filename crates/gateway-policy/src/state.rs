//! What the decisions keep of each command, customer and backend. Nothing is decided here.

use crate::counters::{Sums, Tally};
use crate::interface::{Listed, Offer, Plan, Units};
use kitepass_time::{Duration, Timestamp};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;

/// A command's states. `Gateway::shift` alone changes them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    #[default]
    Held, // taken in; no leg out
    Asking, // its customer's controller or the counter is asked
    Out,    // its one leg is out
    Left,   // the client has gone while a leg is out
    Over,   // it has its final answer, or needs none, and no leg is out
}

#[derive(Default)]
pub struct Command {
    pub state: State,
    pub workload: usize,
    pub offer: Offer,
    pub until: Timestamp, // its answer is worth something
    pub legs: u32,
    pub ran: bool,                // a leg has ended that may have run;
    pub bound_to: Option<Listed>, // where the first such leg went,
    pub bound_at: Timestamp,      // and when
    pub booked: bool,             // its units are booked: by its customer's controller, or in the sum
}

#[derive(Default)]
pub struct Customer {
    pub terms: Rc<Plan>,
    pub width: f64,
    pub held: bool,                  // this gateway is its controller
    pub directive: (f64, Timestamp), // a controller's last ratio, and how long it holds
    pub counted: bool,               // its sum on the counter is all that tells of the others
    pub sparse: bool,                // so little of the store falls to this gateway that it tells nothing
    pub beat: Duration,              // time over which offers are set against the limit
    pub reserve: f64,                // units of the store left for what others draw unseen
    pub store: f64,                  // units thought to be in its store,
    pub as_of: Timestamp,            // and when that was reckoned
    pub demand: Tally,               // units offered here within about a period, the newest counting most
    pub period: Units,               // units here that are not in the sum yet,
    pub due: Timestamp,              // and when they go there
    pub slack: f64, // units not put into it since the last reading: it was full, or others drew
    pub sums: Sums, // that it was added to
    pub read: Option<Timestamp>, // when a total told of the others last,
    pub silent: i64, // and how many calls in a row have brought none
    pub told: Tally, // what the others were offered of late, by a reading or by peers,
    pub gone: Tally, // and by readings sent on
    pub untold: Units, // and what they are to be told
    pub ceiling: f64, // units left of this gateway's own share of the hard ceiling
    pub out: u32,   // legs
}

#[derive(Default)]
pub struct Backend {
    pub listed: Listed,
    pub good: Tally,                      // ends of legs that went well,
    pub bad: Tally,                       // and that went wrong
    pub slow: f64,                        // how much more time it takes than the fleet for the like
    pub out: BTreeMap<String, Timestamp>, // commands that have a leg out here, and since when
    pub credit: f64,                      // while it is cold: legs that it may have from here,
    pub as_of: Timestamp,                 // and when that was reckoned
}

#[derive(Default)]
pub struct Peers {
    pub untold: Vec<String>,         // customers of which they are to be told,
    pub telling: Duration,           // and after which time
    pub heard: Option<Timestamp>,    // when one was last heard
    pub marks: HashMap<u32, String>, // customers by the marks that they are told by
    pub newest: u16,                 // question to a controller
    /// Commands by what they wait for, each with what its call adds; no command where none waits for the call.
    pub waiting: HashMap<String, VecDeque<(String, Units)>>,
    pub lost: f64, // part of them that waited for nothing, of late
}
