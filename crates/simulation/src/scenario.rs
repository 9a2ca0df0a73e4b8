//! What a seed brings, drawn before anything runs: the layout, the troubles with their moments, the operators' ways.

use crate::rng::Rng;
use std::fmt::{self, Display};

pub const MILLI: i64 = 1_000;
pub const SECOND: i64 = 1_000_000;
/// Nothing befalls the system before then: it is founded by then.
pub const FOUNDED: i64 = 5 * SECOND;

/// Which machines there are, and what lies between them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Layout {
    /// The district of each seat, and the province by the district.
    pub replicas: Vec<usize>,
    pub regions: Vec<usize>,
    pub gates: usize,
    /// Seats that every process is told of at first; the first of them is the founder.
    pub first: Vec<usize>,
    /// Microseconds between two districts, one way.
    pub delay: i64,
    /// Up to so much more is drawn for each word.
    pub jitter: i64,
    /// Microseconds that a sync takes, least and most.
    pub disk: (i64, i64),
    /// What was not synced survives a loss of power each put by itself.
    pub loose: bool,
}

impl Layout {
    /// Six seats, two in each of three regions, each in a zone of its own.
    pub fn six() -> Layout {
        Layout {
            replicas: vec![0, 1, 2, 3, 4, 5],
            regions: vec![0, 0, 1, 1, 2, 2],
            gates: 6,
            first: vec![0, 2, 4],
            delay: 900,
            jitter: 2_000,
            disk: (300, 4_000),
            loose: false,
        }
    }

    /// Three to nine seats over one to three regions and two to six zones.
    pub fn drawn(chance: &mut Rng) -> Layout {
        let replicas = chance.among(3, 10) as usize;
        let regions = chance.among(1, 4) as usize;
        let zones = chance.among(regions.max(2) as i64, replicas.min(6) as i64 + 1) as usize;
        // Each zone has a seat and each region a zone; the rest falls where it may.
        let regions =
            (0..zones).map(|zone| if zone < regions { zone } else { chance.below(regions) }).collect();
        let mut places: Vec<usize> = (0..replicas)
            .map(|replica| if replica < zones { replica } else { chance.below(zones) })
            .collect();
        places.sort();
        let mut first: Vec<usize> = (0..replicas).collect();
        while first.len() > 3 {
            first.remove(chance.below(first.len()));
        }
        Layout {
            replicas: places,
            regions,
            gates: chance.among(2, 9) as usize,
            first,
            delay: [200, 900, 55_000][chance.below(3)],
            jitter: [500, 5_000, 60_000][chance.below(3)],
            disk: [(300, 4_000), (1_000, 20_000)][chance.below(2)],
            loose: false,
        }
    }

    pub fn majority(&self) -> usize {
        self.replicas.len() / 2 + 1
    }

    /// The seats in the same district or province as this one, or itself alone.
    pub fn like(&self, replica: usize, domain: FailureDomain) -> Vec<usize> {
        let (zone, region) = (self.replicas[replica], self.regions[self.replicas[replica]]);
        let within = |other: &usize| match domain {
            FailureDomain::Replica => *other == replica,
            FailureDomain::Zone => self.replicas[*other] == zone,
            FailureDomain::Region => self.regions[self.replicas[*other]] == region,
        };
        (0..self.replicas.len()).filter(within).collect()
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureDomain {
    Replica,
    Zone,
    Region,
}

/// Which way a cut goes, seen from the side that is named.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    Both,
    /// Nobody hears it.
    Out,
    /// It hears nobody.
    In,
}

/// What befalls. Seats are positions of the layout: whatever machine stands there then. Spans are microseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    Kill {
        replicas: Vec<usize>,
        power: bool,
        back: i64,
    },
    /// All machines lose power, gateways too.
    Dark {
        back: i64,
    },
    /// Disks are lost, within what is to be borne; at times all others lose power at once, gateways too.
    DiskLost {
        replica: usize,
        domain: FailureDomain,
        others: bool,
        back: i64,
    },
    Freeze {
        replica: usize,
        span: i64,
    },
    Partition {
        side: Vec<usize>,
        way: Direction,
        gates: bool,
        silent: bool,
        span: i64,
    },
    /// Whoever does the duty is cut off.
    CutSteward {
        way: Direction,
        silent: bool,
        span: i64,
    },
    Reset {
        a: usize,
        b: usize,
    },
    SlowLink {
        a: usize,
        b: usize,
        extra: i64,
        span: i64,
    },
    SlowDisks {
        replicas: Vec<usize>,
        extra: i64,
        span: i64,
    },
    DiskHangs {
        replica: usize,
        span: i64,
    },
    DiskRefuses {
        replica: usize,
        span: i64,
    },
    /// SIGTERM, and another life later.
    Leave {
        replica: usize,
        back: i64,
    },
    /// The machine goes for good; another comes in its district with an empty disk.
    Replace {
        replica: usize,
        leaves: bool,
        back: i64,
    },
    /// Whoever confirms a change next falls at that moment.
    FallAtAnswer {
        power: bool,
        back: i64,
    },
    /// A process falls so many events later.
    FallAtEvent {
        replica: usize,
        events: u32,
        power: bool,
        back: i64,
    },
    /// A gateway's process begins anew.
    GateFalls {
        gate: usize,
    },
    /// Answers are lost on their way to the operators.
    AnswersLost {
        percent: u64,
        span: i64,
    },
}

impl Fault {
    pub fn name(&self) -> &'static str {
        match self {
            Fault::Kill { power: false, .. } => "kill",
            Fault::Kill { power: true, .. } => "power",
            Fault::Dark { .. } => "dark",
            Fault::DiskLost { others: true, .. } => "disks-lost-and-dark",
            Fault::DiskLost { domain: FailureDomain::Replica, .. } => "disk-lost",
            Fault::DiskLost { domain: FailureDomain::Zone, .. } => "disks-lost-zone",
            Fault::DiskLost { domain: FailureDomain::Region, .. } => "disks-lost-region",
            Fault::Freeze { .. } => "freeze",
            Fault::Partition { way: Direction::Both, .. } => "cut",
            Fault::Partition { way: Direction::Out, .. } => "cut-mute",
            Fault::Partition { way: Direction::In, .. } => "cut-deaf",
            Fault::CutSteward { .. } => "cut-steward",
            Fault::Reset { .. } => "reset",
            Fault::SlowLink { .. } => "slow-link",
            Fault::SlowDisks { .. } => "slow-disks",
            Fault::DiskHangs { .. } => "disk-hangs",
            Fault::DiskRefuses { .. } => "disk-refuses",
            Fault::Leave { .. } => "leave",
            Fault::Replace { leaves: true, .. } => "replace-leaving",
            Fault::Replace { leaves: false, .. } => "replace-lost",
            Fault::FallAtAnswer { .. } => "fall-at-answer",
            Fault::FallAtEvent { .. } => "fall-at-event",
            Fault::GateFalls { .. } => "gate-falls",
            Fault::AnswersLost { .. } => "answers-lost",
        }
    }
}

impl Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "trouble={} what={:?}", self.name(), format!("{self:?}"))
    }
}

/// How operators behave. Parts in a hundred.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Workload {
    pub callers: usize,
    /// Microseconds between two calls of one, at most.
    pub pause: i64,
    pub races: u64,
    pub resends: u64,
    /// Versions below the newest, used or not.
    pub old: u64,
    pub zones: u64,
    pub reads: u64,
    pub answers_lost: u64,
}

impl Workload {
    /// Each version is used once, and the newest is above all others.
    pub fn without_rivals(self) -> Workload {
        Workload { races: 0, old: 0, ..self }
    }

    pub fn calm() -> Workload {
        Workload {
            callers: 3,
            pause: 600_000,
            races: 0,
            resends: 5,
            old: 3,
            zones: 5,
            reads: 15,
            answers_lost: 0,
        }
    }

    pub fn eager() -> Workload {
        Workload {
            callers: 8,
            pause: 400_000,
            races: 25,
            resends: 15,
            old: 10,
            zones: 8,
            reads: 15,
            answers_lost: 10,
        }
    }
}

/// A whole seed.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub seed: u64,
    pub layout: Layout,
    pub workload: Workload,
    pub faults: Vec<(i64, Fault)>,
    /// Troubles are over by then, and operators begin nothing new.
    pub until: i64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plan {
    Calm,
    /// Point A: cuts.
    Cuts,
    /// Point B: races.
    Races,
    /// Point C: losses, one after another.
    Losses,
    /// Point D: away while hundreds of changes are made.
    Away,
    /// Disks that are slow, hang and refuse, with kills.
    Disks,
    All,
}

impl Plan {
    pub const ALL: [Plan; 7] =
        [Plan::Calm, Plan::Cuts, Plan::Races, Plan::Losses, Plan::Away, Plan::Disks, Plan::All];

    pub fn name(self) -> &'static str {
        match self {
            Plan::Calm => "calm",
            Plan::Cuts => "cuts",
            Plan::Races => "races",
            Plan::Losses => "losses",
            Plan::Away => "away",
            Plan::Disks => "disks",
            Plan::All => "all",
        }
    }

    pub fn named(name: &str) -> Option<Plan> {
        Plan::ALL.into_iter().find(|plan| plan.name() == name)
    }

    /// Weights of [`KINDS`], and the pause between two troubles, least and most.
    fn weights(self) -> ([u32; KINDS], (i64, i64)) {
        // kill, power, all, disk, freeze, cut, steward, reset, slow link, slow disk, hangs, refuses, leave, replace, at
        // answer, at event, gate, answers
        match self {
            Plan::Calm => ([0; KINDS], (SECOND, 2 * SECOND)),
            Plan::Cuts => {
                ([1, 0, 0, 0, 1, 12, 6, 3, 2, 0, 0, 0, 1, 0, 1, 0, 1, 1], (300 * MILLI, 9 * SECOND))
            }
            Plan::Races => {
                ([2, 2, 1, 0, 2, 4, 2, 4, 3, 2, 1, 0, 1, 0, 4, 4, 1, 3], (200 * MILLI, 3 * SECOND))
            }
            Plan::Losses => {
                ([1, 2, 1, 9, 1, 1, 1, 1, 0, 1, 0, 0, 3, 8, 2, 2, 1, 1], (2 * SECOND, 9 * SECOND))
            }
            Plan::Away => ([2, 2, 1, 3, 2, 2, 1, 2, 1, 1, 1, 1, 1, 1, 2, 4, 2, 1], (SECOND, 8 * SECOND)),
            Plan::Disks => {
                ([4, 4, 2, 2, 1, 0, 0, 1, 0, 8, 4, 4, 1, 0, 3, 4, 0, 1], (300 * MILLI, 4 * SECOND))
            }
            Plan::All => ([3, 3, 2, 3, 2, 4, 2, 3, 2, 3, 2, 2, 2, 2, 3, 4, 2, 2], (200 * MILLI, 5 * SECOND)),
        }
    }

    pub fn scenario(self, seed: u64) -> Scenario {
        let chance = &mut Rng::new(seed, 1);
        let layout = if seed.is_multiple_of(2) {
            Layout { delay: [200, 900, 55_000][chance.below(3)], ..Layout::six() }
        } else {
            Layout::drawn(chance)
        };
        let workload = match self {
            Plan::Calm => Workload::calm(),
            Plan::Races => Workload::eager(),
            Plan::Away => Workload { callers: 8, pause: 150_000, races: 5, ..Workload::calm() },
            _ => Workload { races: 6, answers_lost: 4, ..Workload::calm() },
        };
        let lasts = match self {
            Plan::Away => 60,
            Plan::Losses => 90,
            _ => 45,
        };
        let until = FOUNDED + lasts * SECOND;
        let (weights, pause) = self.weights();
        let mut faults = Vec::new();
        let mut at = FOUNDED + chance.among(0, SECOND);
        while at < until && weights.iter().any(|weight| *weight > 0) {
            faults.push((at, draw(self, &layout, &weights, chance)));
            at += chance.among(pause.0, pause.1);
            // At times they are pressed together.
            if chance.percent(15) {
                at -= chance.among(0, pause.0);
            }
        }
        faults.sort_by_key(|(at, _)| *at);
        Scenario { seed, layout, workload, faults, until }
    }
}

const KINDS: usize = 18;

fn draw(plan: Plan, layout: &Layout, weights: &[u32; KINDS], chance: &mut Rng) -> Fault {
    let all = layout.replicas.len();
    let mut left = chance.below(weights.iter().sum::<u32>() as usize) as u32;
    let mut kind = 0;
    while left >= weights[kind] {
        left -= weights[kind];
        kind += 1;
    }
    let replica = chance.below(all);
    let other = (replica + 1 + chance.below(all - 1)) % all;
    let back = match chance.below(4) {
        0 => chance.among(20 * MILLI, 300 * MILLI),
        3 if plan == Plan::Away => chance.among(15 * SECOND, 40 * SECOND),
        3 => chance.among(3 * SECOND, 12 * SECOND),
        _ => chance.among(300 * MILLI, 3 * SECOND),
    };
    let span = match chance.below(4) {
        0 => chance.among(50 * MILLI, SECOND),
        1 => 20 * SECOND,
        _ => chance.among(SECOND, 8 * SECOND),
    };
    let some = |chance: &mut Rng| {
        let part = chance.among(15, 70) as u64;
        let mut some: Vec<usize> = (0..all).filter(|_| chance.percent(part)).collect();
        if some.is_empty() {
            some.push(replica);
        }
        some
    };
    let way = [Direction::Both, Direction::Both, Direction::Out, Direction::In][chance.below(4)];
    let silent = chance.percent(40);
    match kind {
        0 => Fault::Kill { replicas: vec![replica], power: false, back },
        1 => Fault::Kill { replicas: some(chance), power: true, back },
        2 => {
            let back = back.min(3 * SECOND);
            if chance.percent(50) {
                Fault::Dark { back }
            } else {
                Fault::Kill { replicas: (0..all).collect(), power: false, back }
            }
        }
        3 => {
            let domain =
                [FailureDomain::Replica, FailureDomain::Zone, FailureDomain::Region][chance.below(3)];
            Fault::DiskLost { replica, domain, others: chance.percent(40), back: back.min(4 * SECOND) }
        }
        4 => Fault::Freeze { replica, span: span.min(8 * SECOND) },
        5 => {
            let side = match chance.below(3) {
                0 => vec![replica],
                1 => vec![replica, other],
                _ => some(chance),
            };
            Fault::Partition { side, way, gates: chance.percent(50), silent, span }
        }
        6 => Fault::CutSteward { way, silent, span },
        7 => Fault::Reset { a: replica, b: other },
        8 => Fault::SlowLink { a: replica, b: other, extra: chance.among(20 * MILLI, 2 * SECOND), span },
        9 => {
            let extra = [200 * MILLI, 800 * MILLI, 3_500 * MILLI][chance.below(3)];
            Fault::SlowDisks { replicas: some(chance), extra, span }
        }
        10 => Fault::DiskHangs { replica, span: span.min(8 * SECOND) },
        11 => Fault::DiskRefuses { replica, span: span.min(8 * SECOND) },
        12 => Fault::Leave { replica, back },
        13 => Fault::Replace { replica, leaves: chance.percent(50), back: back.min(3 * SECOND) },
        14 => Fault::FallAtAnswer { power: chance.percent(60), back },
        15 => Fault::FallAtEvent {
            replica,
            events: chance.below(60) as u32,
            power: chance.percent(60),
            back: back.min(4 * SECOND),
        },
        16 => Fault::GateFalls { gate: chance.below(layout.gates) },
        _ => Fault::AnswersLost { percent: 50, span },
    }
}
