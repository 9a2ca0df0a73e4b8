//! A seed played whole, judged, and, if it fails, shortened.

use crate::coverage::Tally;
use crate::digest::digest;
use crate::history::{judge, Fault, Rule};
use crate::scenario::{Script, Trouble, MILLI, SECOND};
use crate::simulation::World;
use std::cell::RefCell;
use std::collections::BTreeSet;

/// Once troubles are over, all is whole again within this.
pub const WHOLE: i64 = 12 * SECOND;
/// A read is answered within this in a calm time.
const READ: i64 = 2 * SECOND;
/// Seeds of a shortening that are played at most.
const MOST_PLAYS: usize = 400;

pub struct Outcome {
    pub faults: Vec<Fault>,
    pub tally: Tally,
    /// Microseconds from the end of all troubles until all was whole.
    pub whole: Option<i64>,
    /// Of the history and the traffic; 0 for a run that ended by a panic.
    pub digest: u64,
}

impl Outcome {
    pub fn rules(&self) -> BTreeSet<Rule> {
        self.faults.iter().map(|fault| fault.rule).collect()
    }
}

thread_local! {
    /// Where this thread panicked last, if [`note_panics`] was called.
    static PANICKED: RefCell<String> = const { RefCell::new(String::new()) };
}

/// From now on a panic is told by the seed's faults alone.
pub fn note_panics() {
    std::panic::set_hook(Box::new(|info| PANICKED.set(info.to_string().replace('\n', " "))));
}

/// Plays a script to its end. A process that panics ends it, as a fault.
pub fn play(script: &Script, tells: bool) -> Outcome {
    std::panic::catch_unwind(|| play_out(script, tells)).unwrap_or_else(|_| {
        let fault = Fault { rule: Rule::Panicked, at: 0, what: PANICKED.take() };
        Outcome { faults: vec![fault], tally: Tally::default(), whole: None, digest: 0 }
    })
}

fn play_out(script: &Script, tells: bool) -> Outcome {
    let mut world = World::new(script);
    world.tells = tells;
    world.run_to(script.until);
    world.calm();
    let (calm, mut whole) = (world.now, None);
    // Callers end what they have under way meanwhile.
    while world.now < calm + WHOLE {
        world.run(100 * MILLI);
        match world.unsettled() {
            None if whole.is_none() => whole = Some(world.now - calm),
            Some(_) => whole = None,
            None => {}
        }
    }
    if let Some(why) = world.unsettled() {
        world.late(format!("not whole {} s after the last trouble: {why}", WHOLE / SECOND));
    }
    let reads = world.read_back();
    world.run(READ);
    let unread = reads
        .iter()
        .filter(|read| !matches!(world.verdict(**read), Some(crate::history::Verdict::Confirmed)));
    let unread = unread.count();
    if unread > 0 {
        world.late(format!("{unread} of {} reads in the calm were not answered", reads.len()));
    }
    world.note_zones();
    let mut tally = std::mem::take(&mut world.tally);
    if let Some(whole) = whole {
        tally.most("ms-until-whole", whole as u64 / 1000);
    }
    let digest = digest(&world.history, &world.traffic);
    Outcome { faults: judge(&world.history), tally, whole, digest }
}

/// Leaves out troubles one by one, as long as it breaks one of the same rules.
pub fn shorten(script: &Script, rules: &BTreeSet<Rule>) -> Script {
    let mut short = script.clone();
    let fails = |script: &Script| play(script, false).rules().intersection(rules).next().is_some();
    let mut plays = 0;
    // From the end first: what came after the fault had no part in it.
    let mut piece = short.troubles.len().div_ceil(2).max(1);
    loop {
        let (mut at, mut any) = (short.troubles.len(), false);
        while at > 0 && plays < MOST_PLAYS {
            let begin = at.saturating_sub(piece);
            let mut next = short.clone();
            next.troubles.drain(begin..at);
            plays += 1;
            if fails(&next) {
                (short, any) = (next, true);
            }
            at = begin;
        }
        if plays >= MOST_PLAYS || piece == 1 && !any {
            return short;
        }
        piece = if any { piece } else { (piece / 2).max(1) };
        piece = piece.min(short.troubles.len().max(1));
    }
}

/// A script of no troubles but these, on a layout.
pub fn script(seed: u64, layout: crate::scenario::Layout, troubles: Vec<(i64, Trouble)>) -> Script {
    let ways = crate::scenario::Ways { callers: 0, ..crate::scenario::Ways::calm() };
    Script { seed, layout, ways, troubles, until: i64::MAX / 4 }
}
