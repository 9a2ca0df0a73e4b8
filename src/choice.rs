//! All decisions of kitepass. A host opens one [`Gateway`] an instance, tells it in order what happens, each
//! time with its clock and an [`Orders`] that carries out what it orders: `roster`, `command`, `leg_ended`,
//! `client_left`, `counted`, `told`, `asked`, `answered`, `woken`. Types in and the trait: `interface.rs`.
//! docs/design.md tells which parts are the article's mechanism and which depart from it.

use crate::clock::{Moment, Span};
use crate::interface::*;
use crate::tally::Tally;
use oorandom::Rand64;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::mem::{replace, take};
use std::rc::Rc;

const PERIOD: Span = Span::from_secs(1); // the article's, and the stay-away that a bounce advises
const KEPT: Span = Span::from_secs(60); // time without use after which a customer is forgotten
const NEAR: f64 = 0.5; // part of the quota up to which a customer is calm
const CALM: i64 = 4; // counts to one of a calm customer; also, in a period, if nothing else tells of others
const FEW: f64 = 0.9; // part of a period's messages up to which all peers are told of all
const LATELY: i64 = 2; // periods for which what is known of the others counts
const POOL: f64 = 0.3; // part of a sparse customer's store that may be borrowed, as often as it fills
const CROWDED: f64 = 4.0; // one over the part of questions lost from which on fewer are asked
const PATIENCE: i64 = 8; // parts of the contract time, one of which a controller has to answer
const ADVICE: i64 = 3; // parts of the time left for a retry, one of which a bounce advises to wait
const OVERDUE: f64 = 6.0; // mean deviations past the mean after which a leg is overdue
const QUEUE: f64 = 0.8; // times of an idle backend that legs may be out for beside those
const ABREAST: f64 = 3.0; // legs a backend may have from all gateways, more is an overload
const COLD_SHARE: f64 = 0.5; // share of what tips a cold backend over that is used at most
const MEMORY: Span = Span::from_secs(5); // how long a backend's good and bad ends count
const NEWEST: f64 = 0.0625; // weight of the newest in running means

/// A command's states. `shift` alone changes them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    #[default]
    Held, // taken in; no leg out
    Asking, // its customer's controller is asked for its draw
    Out,    // its one leg is out
    Left,   // the client has gone while a leg is out
    Over,   // it has its final answer, or needs none, and no leg is out
}

#[derive(Default)]
struct Command {
    state: State,
    workload: usize,
    offer: Offer,
    until: Moment, // its answer is worth something
    legs: u32,
    ran: bool,                // a leg has ended that may have run;
    bound_to: Option<Listed>, // where the first such leg went,
    bound_at: Moment,         // and when
    booked: bool,             // its customer's controller has booked it
}

#[derive(Default)]
struct Customer {
    terms: Rc<Plan>,
    width: f64,
    held: bool,                        // this gateway is its controller
    directive: (f64, Moment),          // a controller's last ratio, and how long it holds
    sparse: bool,                      // the part here holds less than two of the largest commands
    beat: Span,                        // from one count to the next: a fresh one is all that tells of others
    store: f64,                        // units thought to be in its store,
    as_of: Moment,                     // and when that was reckoned
    demand: Tally,                     // units offered here within about a period, the newest counting most
    period: Units,                     // units here in the period that runs, if one does,
    presumed: f64,                     // and units taken off the store for the others
    closed: Option<(i64, Units, f64)>, // the closed period while its count is out, with its two sums
    others: Option<Units>,             // what the others had in the last period read, if any was
    silent: i64,                       // calls in a row that brought no total
    told: Tally,                       // what peers told of late that they were offered,
    untold: Units,                     // and what they are to be told
    ceiling: f64,                      // units left of this gateway's own share of the hard ceiling
    out: u32,                          // legs
}

#[derive(Default)]
struct Backend {
    listed: Listed,
    good: Tally,                   // ends of legs that went well,
    bad: Tally,                    // and that went wrong
    slow: f64,                     // how much more time it takes than the fleet for the like
    out: BTreeMap<String, Moment>, // commands that have a leg out here, and since when
    credit: f64,                   // while it is cold: legs that it may have from here,
    as_of: Moment,                 // and when that was reckoned
}

struct Pace {
    contract: Span,
    mean: Span,
    deviation: Span,
    idle: Span, // the least that the mean has been, rising slowly
}

#[derive(Default)]
struct Peers {
    untold: Vec<String>,                        // customers of which they are to be told,
    telling: Span,                              // and after which time
    heard: Option<Moment>,                      // when one was last heard
    marks: HashMap<u32, String>,                // customers by the marks that they are told by
    newest: u16,                                // question to a controller
    waiting: HashMap<String, VecDeque<String>>, // commands by what they wait for
    lost: f64,                                  // part of them that waited for nothing, of late
}

pub struct Gateway {
    charter: Rc<Charter>,
    chance: Rand64,
    opened: Moment,
    backends: BTreeMap<String, Backend>,
    commands: HashMap<String, Command>,
    customers: HashMap<String, Customer>,
    paces: Vec<Pace>,
    wanted: Tally,  // legs asked for in about a period,
    settled: Tally, // and settled; settled in about
    warm: Tally,    // a window of the cold rule
    abroad: f64,    // legs out, on average,
    weight: f64,    // and weight of commands in an overload
    peers: Peers,
    many: bool, // peers may be asked, but are too many to be told of all
}

impl Gateway {
    pub fn open(charter: Rc<Charter>, seed: u64, now: Moment) -> Self {
        let pace = |w: &Workload| {
            let mean = w.contract / 4;
            Pace { contract: w.contract, mean, deviation: mean / 4, idle: mean }
        };
        Gateway {
            chance: Rand64::new(u128::from(seed)),
            opened: now,
            backends: BTreeMap::new(),
            commands: HashMap::new(),
            customers: HashMap::new(),
            paces: charter.workloads.iter().map(pace).collect(),
            wanted: Tally::default(),
            settled: Tally::default(),
            warm: Tally::default(),
            weight: 1.0,
            abroad: 0.0,
            peers: Peers { telling: PERIOD / 8, ..Peers::default() },
            many: charter.peer_messages > 0.0 && f64::from(charter.gateways) > charter.peer_messages * FEW,
            charter,
        }
    }

    /// Changes of the list of backends; a whole list also tells what is gone.
    pub fn roster(&mut self, whole: bool, lines: &[Listed]) {
        for backend in self.backends.values_mut().filter(|_| whole) {
            backend.listed.standing = Standing::Gone;
        }
        for line in lines {
            let known = self.backends.entry(line.id.clone()).or_default();
            if known.listed.started != line.started {
                // It has started, cold: old praise and blame are void, and not all gateways begin at once.
                let (credit, as_of) = (self.chance.rand_float(), line.started.unwrap_or_default());
                *known = Backend { credit, as_of, ..Backend::default() };
            }
            known.listed = line.clone();
        }
        self.backends.retain(|_, b| b.listed.standing != Standing::Gone || !b.out.is_empty());
    }

    pub fn command(&mut self, now: Moment, asked: &Asked, orders: &mut impl Orders) {
        let charter = self.charter.clone();
        let workload = charter.workloads.iter().position(|w| w.name == asked.workload);
        let plan = charter.plans.iter().position(|p| p.name == asked.plan);
        let (Some(workload), Some(plan)) = (workload, plan) else {
            return orders.bounce(asked.id, charter.longest_advice); // nobody has set terms for it
        };
        let width = if asked.width == 0 { charter.gateways } else { asked.width };
        let offer = Offer { customer: asked.customer.to_owned(), plan, width, units: asked.units };
        let Workload { contract, late_share, .. } = charter.workloads[workload];
        let until = if late_share > 0.0 { asked.outer_limit } else { asked.outer_limit.min(now + contract) };
        let command = Command { workload, offer: offer.clone(), until, ..Command::default() };
        self.commands.insert(asked.id.to_owned(), command);
        // Where peers may be asked but are too many to be told of all, one of a customer's draws for all.
        let controller = (asked.first + hash(asked.customer) as u32 % width) % charter.gateways;
        let (asks, controls) = (self.many && width > 1, controller == charter.me);
        if asks && !controls && self.affords() && until - now > contract / PATIENCE * 2 {
            let chance = self.chance.rand_float();
            // The article's directive: for a period, a controller that said no is asked only past its ratio.
            let (ratio, to) = self.know(now, &offer, orders).directive;
            if now < to && chance < ratio {
                return self.admit(now, asked.id, true, orders);
            }
            self.peers.newest = self.peers.newest.wrapping_add(1);
            let question = format!("asked.{}", self.peers.newest);
            orders.ask(controller, self.peers.newest, &offer);
            orders.wake(&question, contract / PATIENCE);
            return self.wait(asked.id, question);
        }
        self.decide(now, asked.id, asks && controls, orders);
    }

    /// The draw against the customer's ratio; what is beyond the part here may borrow what others leave.
    fn decide(&mut self, now: Moment, id: &str, controls: bool, orders: &mut impl Orders) {
        let offer = self.commands[id].offer.clone();
        let verdict = self.draw(now, &offer, controls, orders);
        let Customer { sparse, ref terms, .. } = self.customers[&offer.customer];
        let fills = PERIOD.times(terms.store / terms.rate / PERIOD.secs()).max(PERIOD);
        let time = self.charter.counter.is_some_and(|patience| self.commands[id].until - now > patience * 2);
        if !(verdict.beyond && sparse && time && self.affords()) {
            return self.admit(now, id, verdict.beyond, orders);
        }
        let name = format!("{}/.{}", offer.customer, now.micros() / fills.micros());
        orders.count(&name, offer.units, fills * 2);
        self.wait(id, name);
    }

    /// Whether one more question is asked: fewer where many stay without an answer, lest they crowd all out.
    fn affords(&mut self) -> bool {
        self.chance.rand_float() < (2.0 - CROWDED * self.peers.lost).max(NEWEST)
    }

    fn wait(&mut self, id: &str, answer: String) {
        self.peers.waiting.entry(answer).or_default().push_back(id.to_owned());
        self.shift(id, State::Asking);
    }

    /// What a command waited for has been answered; or not, and the part here decides.
    fn resume(&mut self, now: Moment, answer: &str, verdict: Option<Verdict>, orders: &mut impl Orders) {
        let Some(id) = self.peers.waiting.get_mut(answer).and_then(VecDeque::pop_front) else { return };
        self.peers.waiting.retain(|_, ids| !ids.is_empty());
        let Some(command) = self.commands.get_mut(&id) else { return };
        command.booked = verdict.is_some();
        self.peers.lost += (f64::from(verdict.is_none()) - self.peers.lost) * NEWEST;
        let customer = self.customers.get_mut(&command.offer.customer);
        if let (Some(customer), Some(Verdict { beyond: true, ratio })) = (customer, verdict) {
            customer.directive = (ratio, now + PERIOD);
        }
        self.shift(&id, State::Held);
        match verdict {
            Some(verdict) => self.admit(now, &id, verdict.beyond, orders),
            None => self.decide(now, &id, false, orders),
        }
    }

    /// The draw of a command against the fleet's ratio.
    fn admit(&mut self, now: Moment, id: &str, beyond: bool, orders: &mut impl Orders) {
        let workload = self.commands[id].workload;
        // In an overload the commands that are worth most for their time go first.
        let (value, time) = (self.charter.workloads[workload].value, self.paces[workload].mean.secs());
        let weight = value / time.max(f64::EPSILON);
        self.weight += (weight - self.weight) * NEWEST;
        let pressure = self.pressure(now, workload).powf(weight / self.weight);
        self.wanted.add(now, PERIOD, f64::from(!beyond));
        if beyond || self.chance.rand_float() < pressure {
            return self.give_up(id, orders);
        }
        self.advance(now, id, orders);
    }

    pub fn leg_ended(&mut self, now: Moment, end: &LegEnd, orders: &mut impl Orders) {
        self.judge(now, end);
        let Some(command) = self.commands.get_mut(end.command) else { return };
        if let Some(customer) = self.customers.get_mut(&command.offer.customer) {
            customer.out = customer.out.saturating_sub(1);
            customer.spend(end.true_units.map_or(0.0, |units| units - command.offer.units));
        }
        command.ran |= !end.ending.never_ran();
        if command.state != State::Out || end.over {
            return self.shift(end.command, State::Over);
        }
        command.bound_to = command.bound_to.take().filter(|_| command.ran);
        self.shift(end.command, State::Held);
        self.advance(now, end.command, orders);
    }

    pub fn client_left(&mut self, id: &str) {
        let out = self.commands.get(id).is_some_and(|command| command.state == State::Out);
        self.shift(id, if out { State::Left } else { State::Over });
    }

    fn shift(&mut self, id: &str, to: State) {
        if to == State::Over {
            self.commands.remove(id);
        } else if let Some(command) = self.commands.get_mut(id) {
            command.state = to;
        }
    }

    pub fn woken(&mut self, now: Moment, token: &str, orders: &mut impl Orders) {
        match token.split_once('.') {
            Some(("period", id)) => self.close_period(now, id, orders),
            Some(("read", name)) => orders.count(name, 0.0, PERIOD * 4),
            Some(("sweep", _)) => {
                // A customer is forgotten only once its share of a ceiling is whole again.
                self.customers.retain(|_, c| {
                    let idle = now - c.as_of;
                    idle < KEPT || c.out > 0 || c.terms.ceiling_rate * idle.secs() < c.terms.ceiling_depth
                });
                self.peers.marks.retain(|_, id| self.customers.contains_key(id));
                if !self.customers.is_empty() {
                    orders.wake("sweep.", KEPT);
                }
            }
            Some(("tell", _)) => self.tell(orders),
            Some(("asked", _)) => self.resume(now, token, None, orders),
            _ => {}
        }
    }

    fn know(&mut self, now: Moment, offer: &Offer, orders: &mut impl Orders) -> &mut Customer {
        let (hears, terms) = (self.hears(now), self.charter.plans[offer.plan].clone());
        if self.customers.is_empty() {
            orders.wake("sweep.", KEPT);
        }
        let (id, width) = (offer.customer.as_str(), f64::from(offer.width));
        if !self.customers.contains_key(id) {
            self.peers.marks.insert(hash(id) as u32, id.to_owned());
            // An unseen customer may pass its limit divided by the gateways. Its share of a hard ceiling
            // starts empty: a gateway cannot know whether an earlier life of its own has spent it.
            let ceiling = (terms.ceiling_rate * (now - self.opened).secs()).min(terms.ceiling_depth) / width;
            let store = terms.store * if hears { NEAR } else { 1.0 / width };
            let sparse = self.charter.peer_messages <= 0.0 && store < 2.0 * self.charter.largest;
            let beat = PERIOD / if self.charter.peer_messages > 0.0 || sparse { 1 } else { CALM };
            let unseen =
                Customer { terms, width, sparse, beat, store, as_of: now, ceiling, ..Customer::default() };
            self.customers.insert(id.to_owned(), unseen);
        }
        let customer = self.customers.get_mut(id).expect("just met");
        customer.reckon(now, hears);
        customer
    }

    /// Books offered units and draws against the customer's ratio, by the part here or as its controller.
    fn draw(&mut self, now: Moment, offer: &Offer, controls: bool, orders: &mut impl Orders) -> Verdict {
        let (id, chance) = (&offer.customer, self.chance.rand_float());
        let telling = self.hears(now).then_some(self.peers.telling);
        let customer = self.know(now, offer, orders);
        if controls && !customer.held {
            (customer.held, customer.store) = (true, customer.terms.store);
        }
        customer.demand.add(now, customer.beat, offer.units);
        if customer.period.offered <= 0.0 {
            orders.wake(&format!("period.{id}"), beat(now, id, customer.beat).1);
        }
        customer.period.offered += offer.units;
        let ratio = customer.ratio(offer.units, telling);
        self.note(id, Units { offered: offer.units, sent: 0.0 }, orders);
        Verdict { beyond: chance < ratio, ratio }
    }

    /// A customer's period has ended: its offered units go to the counter, if there are any.
    fn close_period(&mut self, now: Moment, id: &str, orders: &mut impl Orders) {
        let hears = self.hears(now);
        let Some(customer) = self.customers.get_mut(id) else { return };
        customer.reckon(now, hears);
        let (units, presumed) = (take(&mut customer.period), take(&mut customer.presumed));
        // Settled units may be given back: less than nothing waits for the next period.
        (customer.closed, customer.period.sent) = (None, units.sent.min(0.0));
        // Calls have a price, and a silent counter may be crowded: then all call in the same few periods.
        let (terms, usual) = (&customer.terms, customer.demand.last() / customer.part());
        let room = customer.store > NEAR * terms.store && customer.others.is_some();
        let calm = room && usual < NEAR * terms.rate * customer.beat.secs();
        let calm = calm || hears || self.many || customer.silent > 0 && customer.beat < PERIOD;
        let period = beat(now, id, customer.beat).0 - 1;
        let due = (!calm || period % CALM == 0) && units.offered > 0.0 && units.sent >= 0.0;
        let due = due && customer.width > 1.0 && customer.terms.rate > 0.0 && !customer.sparse;
        if let Some(patience) = self.charter.counter.filter(|_| due) {
            let name = format!("{id}.{period}");
            orders.count(&name, units.sent + units.offered * apart(&customer.terms), PERIOD * 4);
            // A controller reads what went by others' parts; reading it, these would be too bold.
            customer.closed = (customer.held || !self.many).then_some((period, units, presumed));
            // The total that the add brings lacks what others add later: where it matters it is read again.
            if !calm && customer.silent == 0 {
                orders.wake(&format!("read.{name}"), patience);
            }
        }
    }

    pub fn counted(&mut self, now: Moment, name: &str, total: Total, orders: &mut impl Orders) {
        let (hears, Some((id, period))) = (self.hears(now), name.rsplit_once('.')) else { return };
        let waits = !matches!(total, Total::Late(_)); // else its command has gone on, and others wait by that name
        if let Some(customer) = id.strip_suffix('/').filter(|_| waits).and_then(|id| self.customers.get(id)) {
            let pool = POOL * customer.terms.store.max(customer.terms.rate * PERIOD.secs());
            let verdict = |total| Verdict { beyond: total > pool, ratio: 0.0 };
            return self.resume(now, name, total.known().map(verdict), orders);
        }
        let Some(customer) = self.customers.get_mut(id) else { return };
        let Some((closed, own, presumed)) = customer.closed.filter(|c| c.0.to_string() == period) else {
            return;
        };
        customer.silent += 1;
        customer.others = customer.others.filter(|_| customer.silent < LATELY);
        let Some(total) = total.known() else { return };
        let offered = (total / apart(&customer.terms)).floor();
        let sent = total - offered * apart(&customer.terms);
        // A total under its own part is of a counter that lost its counts: the last reading stays.
        if offered + 0.5 < own.offered {
            return;
        }
        customer.reckon(now, hears);
        let others = Units { offered: offered - own.offered, sent: (sent - own.sent).max(0.0) };
        // What peers tell is newer than a reading.
        let store = customer.store + if hears { 0.0 } else { presumed - others.sent };
        customer.store = store.max(customer.store.min(0.0)).min(customer.terms.store);
        (customer.others, customer.silent) = (Some(others), 0);
        customer.closed = Some((closed, own, others.sent));
    }

    /// Notes units of which peers are to be told, where they are few.
    fn note(&mut self, id: &str, units: Units, orders: &mut impl Orders) {
        let told = self.charter.peer_messages > 0.0 && !self.many;
        let Some(customer) = self.customers.get_mut(id).filter(|c| told && c.width > 1.0) else { return };
        customer.untold.offered += units.offered;
        customer.untold.sent += units.sent;
        // What is not sent on waits for the next that is, unless there is room in the messages.
        let due = units.sent > 0.0 || self.peers.telling < PERIOD / 2;
        if due && !self.peers.untold.iter().any(|untold| untold == id) {
            if self.peers.untold.is_empty() {
                orders.wake("tell.", self.peers.telling);
            }
            self.peers.untold.push(id.to_owned());
        }
    }

    /// Peers are told what came since the last telling, as often as they can take it in.
    fn tell(&mut self, orders: &mut impl Orders) {
        let news = |id: String| {
            let customer = self.customers.get_mut(&id)?;
            Some(News { mark: hash(&id) as u32, units: take(&mut customer.untold) })
        };
        let news: Vec<_> = self.peers.untold.drain(..).filter_map(news).collect();
        let messages = orders.tell(&news) as f64 * f64::from(self.charter.gateways);
        let telling = Span::from_secs(1).times(messages / (FEW * self.charter.peer_messages));
        self.peers.telling = telling.max(PERIOD / 8);
    }

    pub fn told(&mut self, now: Moment, news: &[News]) {
        self.peers.heard = Some(now);
        for item in news {
            let known = self.peers.marks.get(&item.mark).and_then(|id| self.customers.get_mut(id));
            let Some(customer) = known else { continue };
            customer.reckon(now, true);
            customer.store = (customer.store - item.units.sent).max(customer.store.min(0.0));
            customer.told.add(now, PERIOD * LATELY, item.units.offered);
        }
    }

    fn hears(&self, now: Moment) -> bool {
        self.peers.heard.is_some_and(|heard| now - heard < PERIOD)
    }

    /// A peer asks whether a command of a customer that is controlled here may go.
    pub fn asked(&mut self, now: Moment, peer: u32, question: u16, offer: &Offer, orders: &mut impl Orders) {
        let known = offer.plan < self.charter.plans.len() && offer.width > 0;
        let Some(verdict) = known.then(|| self.draw(now, offer, true, orders)) else { return };
        if let Some(customer) = self.customers.get_mut(&offer.customer).filter(|_| !verdict.beyond) {
            customer.spend(offer.units);
        }
        orders.answer(peer, question, verdict);
    }

    pub fn answered(&mut self, now: Moment, number: u16, verdict: Verdict, orders: &mut impl Orders) {
        self.resume(now, &format!("asked.{number}"), Some(verdict), orders);
    }

    /// The final answer of a command given up: a bounce only where a retry is harmless, in time for one.
    fn give_up(&mut self, id: &str, orders: &mut impl Orders) {
        let command = &self.commands[id];
        let Workload { repeats, contract, .. } = self.charter.workloads[command.workload];
        let anywhere = matches!(repeats, Repeats::Repeatable | Repeats::Tagged { group: Group::All, .. });
        if command.bound_to.is_none() || anywhere {
            let advice = ((contract - self.paces[command.workload].mean) / ADVICE).max(Span::from_micros(1));
            orders.bounce(id, self.charter.longest_advice.map(|longest| longest.min(advice).min(PERIOD)));
        } else {
            orders.scrap(id);
        }
        self.shift(id, State::Over);
    }

    /// Sends a held command's next leg, or gives it up.
    fn advance(&mut self, now: Moment, id: &str, orders: &mut impl Orders) {
        let (charter, workload) = (self.charter.clone(), self.commands[id].workload);
        let (pressure, command) = (self.pressure(now, workload), &self.commands[id]);
        let workload = &charter.workloads[command.workload];
        let (expected, overdue) = (self.paces[command.workload].mean, self.paces[command.workload].overdue());
        let left = command.until - now;
        let barred = match (workload.repeats, &command.bound_to) {
            (Repeats::OnceOnly, Some(_)) => true,
            (Repeats::Tagged { memory, .. }, Some(_)) => now - command.bound_at >= memory,
            _ => false,
        };
        let spent = left <= expected || command.legs >= charter.most_legs;
        // A further leg must not feed an overload.
        if barred || spent || command.legs > 0 && self.chance.rand_float() < pressure {
            return self.give_up(id, orders);
        }
        let Some(backend) = self.pick(now, id).filter(|_| self.book(id, orders)) else {
            return self.give_up(id, orders);
        };
        // An overdue leg is left for a further one if there is time, and no overload to feed by work left.
        let again = workload.repeats != Repeats::OnceOnly && left - overdue > expected;
        let allow = if again && pressure == 0.0 { overdue } else { left };
        let command = self.commands.get_mut(id).expect("found above");
        command.legs += 1;
        let record = self.backends.get_mut(&backend).expect("picked from these");
        if command.bound_to.is_none() {
            (command.bound_at, command.bound_to) = (now, Some(record.listed.clone()));
        }
        record.out.insert(id.to_owned(), now);
        record.credit -= 1.0;
        orders.leg(id, &backend, allow);
        self.shift(id, State::Out);
    }

    /// Books a leg with its customer, and the units of a first one; false if a hard ceiling is in its way.
    fn book(&mut self, id: &str, orders: &mut impl Orders) -> bool {
        let command = &self.commands[id];
        let Offer { customer: id, units, .. } = command.offer.clone();
        let (first, booked) = (command.legs == 0, command.booked);
        let Some(customer) = self.customers.get_mut(&id) else { return false };
        // A hard ceiling holds whatever the others do: the whole command fits this gateway's own share.
        if first && customer.terms.ceiling_rate > 0.0 && customer.ceiling < units {
            return false;
        }
        customer.ceiling -= if first { units } else { 0.0 };
        customer.out += 1;
        if first && !booked {
            customer.spend(units);
            self.note(&id, Units { offered: 0.0, sent: units }, orders);
        }
        true
    }

    /// The article's ratio for the fleet, over an idle backend's time: legs wanted against settled and room.
    fn pressure(&mut self, now: Moment, workload: usize) -> f64 {
        let time = self.paces.iter().map(|p| p.idle).max().unwrap_or(PERIOD).over(PERIOD);
        let overdue = self.paces[workload].overdue();
        let (mut live, mut out) = (0.0, 0.0);
        for b in self.backends.values_mut() {
            // Legs lost at a backend that answers nothing are no load on the others: all count by its record.
            let faith = b.trust(now, overdue, 0.0);
            out += faith * b.out.values().filter(|sent| now - **sent <= overdue).count() as f64;
            live += if b.listed.standing == Standing::Live { faith } else { 0.0 };
        }
        let (wanted, settled) = (self.wanted.at(now, PERIOD), self.settled.at(now, PERIOD));
        let room = (ABREAST * live / f64::from(self.charter.gateways)).max(1.0) + QUEUE * time * settled;
        self.abroad += (out - self.abroad) * NEWEST;
        excess(time * wanted, time * settled + room - self.abroad)
    }

    /// Draws one backend, odds in step with the room that each is thought to have.
    fn pick(&mut self, now: Moment, id: &str) -> Option<String> {
        let cold_start = self.charter.cold_start;
        let command = &self.commands[id];
        let (usual, overdue) = (self.paces[command.workload].mean, self.paces[command.workload].overdue());
        let fits = |b: &Listed| match (self.charter.workloads[command.workload].repeats, &command.bound_to) {
            _ if b.standing != Standing::Live => false,
            (Repeats::Tagged { group: Group::Zone, .. }, Some(bound)) => b.zone == bound.zone,
            (Repeats::Tagged { group: Group::Cell, .. }, Some(bound)) => b.cell == bound.cell,
            _ => true,
        };
        let (mut worth, mut able, mut out) = (0.0, 0.0, 0.0);
        for b in self.backends.values().filter(|b| b.listed.standing == Standing::Live) {
            let warmth = b.warmth(now, &cold_start);
            worth += b.listed.size / b.slow.exp2() * warmth;
            able += b.listed.size * warmth;
            out += 1.0 + b.out.len() as f64; // room for one more each, by its share
        }
        let taken = self.warm.at(now, cold_start.window) / able;
        let (mut odds, mut sum) = (Vec::new(), 0.0);
        for (id, b) in self.backends.iter_mut().filter(|(_, b)| fits(&b.listed)) {
            let warmth = b.warmth(now, &cold_start);
            if warmth < 1.0 {
                // A cold backend falls over if all gateways together send too much: this one sends in step
                // with what warm ones of like size settle for it, or its part of what one core can do.
                let core = cold_start.window.over(usual) / f64::from(self.charter.gateways);
                let budget = COLD_SHARE * cold_start.multiple * warmth * core.max(b.listed.size * taken);
                let past = (now - b.as_of).over(cold_start.window).min(1.0);
                b.credit = (b.credit + budget * past).min(budget.max(1.0));
                b.as_of = now;
                if b.credit < 1.0 {
                    continue;
                }
            }
            let share = b.listed.size / b.slow.exp2() * warmth / worth;
            let room = (out * share - b.out.len() as f64).max(share);
            let bell: f64 = (0..3).map(|_| 2.0 * self.chance.rand_float() - 1.0).sum();
            sum += room * b.trust(now, overdue, bell);
            odds.push((id, sum));
        }
        let drawn = self.chance.rand_float() * sum;
        odds.into_iter().find(|(_, up_to)| drawn <= *up_to).map(|(id, _)| id.clone())
    }

    fn judge(&mut self, now: Moment, end: &LegEnd) {
        let Some(command) = self.commands.get(end.command) else { return };
        let (cold_start, went_well) = (self.charter.cold_start, end.ending == Ending::Settled);
        let pace = &mut self.paces[command.workload];
        let usual = pace.mean.max(Span::from_micros(1));
        if end.ending == Ending::Silent {
            // Lost answers are no sign of long ones: they move the usual time slowly.
            pace.learn(end.took.min(pace.overdue() / 2));
        }
        if went_well {
            pace.learn(end.took);
            self.settled.add(now, PERIOD, 1.0);
            self.warm.add(now, cold_start.window, 1.0);
        }
        let Some(b) = self.backends.get_mut(end.backend) else { return };
        b.out.remove(end.command);
        let (by, against) = if went_well { (&mut b.good, &mut b.bad) } else { (&mut b.bad, &mut b.good) };
        if !matches!(end.ending, Ending::CalledOff | Ending::Unsent) {
            by.add(now, MEMORY, 1.0);
            against.scale(0.5);
        }
        if went_well && b.warmth(now, &cold_start) >= 1.0 {
            let ratio = end.took.over(usual).log2().clamp(-1.0, 6.0);
            b.slow += (ratio - b.slow) / b.good.last().clamp(1.0, 8.0);
        }
    }
}

impl Customer {
    /// Brings the store, the share of the ceiling and the demand up to now.
    fn reckon(&mut self, now: Moment, hears: bool) {
        let terms = self.terms.clone();
        let past = now - replace(&mut self.as_of, now);
        let (share, part) = (self.share(hears), self.part());
        // By a current reading the others draw what they sent in its period, at most their part of the limit.
        let theirs = (terms.rate * self.beat.secs() + self.store.max(0.0)) * (1.0 - part);
        let others = self.others.filter(|_| !hears).map_or(0.0, |others| others.sent);
        let drawn = others.min(theirs) * past.over(self.beat);
        self.presumed += drawn;
        let filled = self.store + terms.rate * share * past.secs();
        self.store = (filled - drawn).max(self.store.min(0.0)).min(terms.store * share);
        let ceiling = self.ceiling * self.width + terms.ceiling_rate * past.secs();
        self.ceiling = ceiling.min(terms.ceiling_depth) / self.width;
        self.demand.at(now, self.beat);
        self.told.at(now, PERIOD * LATELY);
    }

    /// The article's ratio for one command: (actual - limit) / actual, never below zero.
    fn ratio(&self, units: f64, telling: Option<Span>) -> f64 {
        let (terms, share) = (&self.terms, self.share(telling.is_some()));
        let out = 1.0 + f64::from(self.out) / self.part();
        let legs_ratio = if terms.legs_out > 0 { excess(out, f64::from(terms.legs_out)) } else { 0.0 };
        // A full store, or share of one, gives a command of any size.
        if terms.rate <= 0.0 || self.store >= terms.store * share {
            return legs_ratio;
        }
        let (mut others, mut store) = (self.others.map_or(0.0, |others| others.offered), self.store);
        if let Some(telling) = telling {
            // What peers may have sent on since they told is no longer in the store.
            others = self.told.last() / LATELY as f64;
            store -= others.min(terms.rate) * telling.secs();
        }
        // What the store cannot hold is beyond the quota: chance is too coarse where commands are large.
        if store < units {
            return 1.0;
        }
        excess(self.demand.last() + others, terms.rate * share * self.beat.secs() + store).max(legs_ratio)
    }

    /// Books units sent on inside the quota; below zero, units given back.
    fn spend(&mut self, units: f64) {
        self.store -= units;
        self.period.sent += units;
    }

    /// The part of the quota that this gateway may give: all of it with a current reading or told by peers.
    /// Guards against a silent or crowded counter; hurts a customer that moves here just then.
    fn share(&self, hears: bool) -> f64 {
        f64::max(self.part(), f64::from(self.others.is_some() || hears))
    }

    /// This gateway's part of the quota.
    fn part(&self) -> f64 {
        (1.0 / self.width).max(f64::from(self.held))
    }
}

impl Backend {
    /// The share of its capacity that a backend has at least.
    fn warmth(&self, now: Moment, cold_start: &ColdStart) -> f64 {
        let Some(started) = self.listed.started else { return 1.0 };
        let age = (now - started).over(cold_start.warm_within).max(0.0);
        (cold_start.least + (1.0 - cold_start.least) * age).min(1.0)
    }

    /// Its chance of success, so many deviations from the posterior's mean; overdue legs weigh like failures.
    fn trust(&mut self, now: Moment, overdue: Span, deviations: f64) -> f64 {
        let late = self.out.values().filter(|sent| now - **sent > overdue).count() as f64;
        let good = 1.0 + self.good.at(now, MEMORY) * (-late).exp2();
        let all = good + self.bad.at(now, MEMORY) + late;
        let mean = good / all;
        (mean + deviations * (mean * (1.0 - mean) / (all + 1.0)).sqrt()).clamp(0.001, 1.0)
    }
}

impl Pace {
    fn learn(&mut self, took: Span) {
        let off = took - self.mean;
        self.mean = self.mean + off.times(NEWEST);
        self.idle = self.mean.min(self.idle + (self.mean - self.idle).times(NEWEST * NEWEST * NEWEST));
        self.deviation = self.deviation + (off.max(Span::ZERO - off) - self.deviation).times(NEWEST);
    }

    fn overdue(&self) -> Span {
        (self.mean + self.deviation.times(OVERDUE)).min(self.contract)
    }
}

/// The article's ratio.
fn excess(actual: f64, limit: f64) -> f64 {
    ((actual - limit) / actual.max(f64::EPSILON)).clamp(0.0, 1.0)
}

/// The number of a customer's period and what is left of it: alike at all gateways, but not for all
/// customers, so that neither calls nor ratios nor the clients they turn away come all at once.
fn beat(now: Moment, id: &str, period: Span) -> (i64, Span) {
    let phase = (hash(id) >> 32) as f64 / f64::from(u32::MAX);
    let since = (now - period.times(phase)).micros();
    let left = period.micros() - since.rem_euclid(period.micros());
    (since.div_euclid(period.micros()), Span::from_micros(left))
}

/// Tells ids apart, alike at all gateways.
fn hash(id: &str) -> u64 {
    let step = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3);
    id.bytes().fold(0xcbf2_9ce4_8422_2325, step)
}

/// One amount carries offered and sent units, set apart by far more than a period can send on.
fn apart(terms: &Plan) -> f64 {
    10f64.powf((10.0 * (terms.rate * PERIOD.secs() + terms.store)).max(1.0).log10().ceil())
}
