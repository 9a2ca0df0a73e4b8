//! What a host tells the decision module, and the trait through which the module gives its orders.

use kitepass_time::{Duration, Timestamp};
use std::rc::Rc;

/// What a gateway is told once, at its start.
#[derive(Clone, Debug, Default)]
pub struct Charter {
    /// How many gateways serve the same customers, this one included, and this one's number among them.
    pub gateways: u32,
    pub me: u32,
    pub workloads: Vec<Workload>,
    pub plans: Vec<Rc<Plan>>,
    /// How long a call to the quota counter may take; none where there is no counter.
    pub counter: Option<Duration>,
    /// Units of the largest command.
    pub largest: f64,
    pub most_legs: u32,
    /// How many messages of its peers a gateway takes in each second; 0 where there are none.
    pub peer_messages: f64,
    /// The longest stay-away that clients heed; none if they are given no advice.
    pub longest_advice: Option<Duration>,
    pub cold_start: ColdStart,
}

impl ColdStart {
    /// The share of its capacity that a backend has at least.
    pub fn warmth(&self, started: Option<Timestamp>, now: Timestamp) -> f64 {
        let Some(started) = started else { return 1.0 };
        let age = (now - started).over(self.warm_within).max(0.0);
        (self.least + (1.0 - self.least) * age).min(1.0)
    }
}

/// How a backend comes up, and what makes it fall over.
#[derive(Clone, Copy, Debug, Default)]
pub struct ColdStart {
    /// The least share of its full capacity that a backend starts with.
    pub least: f64,
    pub warm_within: Duration,
    /// Sent more than this multiple of its present capacity for `window`, it falls over.
    pub multiple: f64,
    pub window: Duration,
}

#[derive(Clone, Debug)]
pub struct Workload {
    pub name: String,
    pub repeats: Repeats,
    pub contract: Duration,
    /// Share of the value that an answer after the contract time still earns.
    pub late_share: f64,
    pub value: f64,
}

/// What running a command again would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeats {
    Repeatable,
    /// The group's backends drop repeats for the memory time.
    Tagged {
        group: Group,
        memory: Duration,
    },
    OnceOnly,
}

impl Repeats {
    /// Whether a backend drops repeats of what may have run at another.
    pub fn dropped(self, ran: &Listed, here: &Listed) -> bool {
        match self {
            Repeats::Tagged { group: Group::Zone, .. } => here.zone == ran.zone,
            Repeats::Tagged { group: Group::Cell, .. } => here.cell == ran.cell,
            _ => true,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Debug, Default)]
pub struct Plan {
    pub name: String,
    /// Units a second, and the units that the store holds; no such quota at rate 0.
    pub rate: f64,
    pub store: f64,
    /// Legs that a customer may have out at once; 0 for no such quota.
    pub legs_out: u32,
    /// The hard ceiling's units a second and depth; none at rate 0.
    pub ceiling_rate: f64,
    pub ceiling_depth: f64,
}

/// One line of the list of backends.
#[derive(Clone, Debug, Default)]
pub struct Listed {
    pub id: String,
    pub zone: String,
    pub cell: i64,
    pub standing: Standing,
    /// Its size beside the others'.
    pub size: f64,
    /// Its last start, if that is not long ago.
    pub started: Option<Timestamp>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Standing {
    Live,
    Draining,
    #[default]
    Gone,
}

/// A command as it comes in.
#[derive(Clone, Debug)]
pub struct Asked<'a> {
    pub id: &'a str,
    pub customer: &'a str,
    pub workload: &'a str,
    pub plan: &'a str,
    pub outer_limit: Timestamp,
    pub units: f64,
    /// Through how many gateways this customer's commands come, 0 if it is not told, and the number of the
    /// first of them; the others follow, counted round.
    pub width: u32,
    pub first: u32,
}

/// How a leg ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    Settled,
    Error,
    TurnedAway,
    Silent,
    Unreachable,
    Broken,
    CalledOff,
    Unsent,
}

impl Ending {
    /// The ending proves that the leg had no effect.
    pub fn never_ran(self) -> bool {
        matches!(self, Ending::TurnedAway | Ending::Unreachable | Ending::Unsent)
    }
}

/// The end of a leg.
#[derive(Clone, Debug)]
pub struct LegEnd<'a> {
    pub command: &'a str,
    pub backend: &'a str,
    pub ending: Ending,
    /// The command has its final answer already.
    pub over: bool,
    pub took: Duration,
    /// The true units of the command, where they are settled by its answer.
    pub true_units: Option<f64>,
}

/// Units that a customer was offered, and of these the units that went out of its store.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Units {
    pub offered: f64,
    pub sent: f64,
}

impl Units {
    /// Both in one number, set apart by more than may be sent.
    pub fn packed(self, apart: f64) -> f64 {
        self.offered * apart + self.sent
    }

    pub fn unpacked(number: f64, apart: f64) -> Units {
        let offered = (number / apart).round();
        Units { offered, sent: number - offered * apart }
    }

    pub fn add(&mut self, more: Units) {
        self.offered += more.offered;
        self.sent += more.sent;
    }
}

/// What a gateway tells its peers of a customer.
#[derive(Clone, Debug, PartialEq)]
pub struct News {
    /// What stands for the customer's id.
    pub mark: u32,
    pub units: Units,
}

/// A command's units, offered to its customer's quota.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Offer {
    pub customer: String,
    /// Its place among the charter's plans.
    pub plan: usize,
    pub width: u32,
    pub units: f64,
}

/// What came of the draw against a customer's ratio.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Verdict {
    pub beyond: bool,
    /// The ratio that was drawn against.
    pub ratio: f64,
}

/// What a call to the counter has brought.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Total {
    Of(f64),
    /// The total of a call that had been told as unknown: the counter answers however late.
    Late(f64),
    /// No answer in time, or none that tells: the amount may have been added.
    Unknown,
    /// The amount was surely not added.
    NotAdded,
}

impl Total {
    pub fn known(self) -> Option<f64> {
        match self {
            Total::Of(total) | Total::Late(total) => Some(total),
            Total::Unknown | Total::NotAdded => None,
        }
    }
}

/// How the module gives its orders; they take effect in the order given.
pub trait Orders {
    fn leg(&mut self, command: &str, backend: &str, allow: Duration);
    fn bounce(&mut self, command: &str, retry_in: Option<Duration>);
    fn scrap(&mut self, command: &str);
    fn count(&mut self, name: &str, amount: f64, keep: Duration);
    /// Tells every peer, in as many messages as it returns; they may be late or lost.
    fn tell(&mut self, news: &[News]) -> usize;
    /// Asks one peer, or answers a peer's question; either may be late or lost.
    fn ask(&mut self, peer: u32, question: u16, offer: &Offer);
    fn answer(&mut self, peer: u32, question: u16, verdict: Verdict);
    fn wake(&mut self, token: &str, after: Duration);
}
