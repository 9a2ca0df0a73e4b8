//! All decisions of kitepass. A host opens one [`Gateway`] an instance and tells it in order what happens,
//! each time with its clock and an [`Orders`] that carries out its orders. Types in and the trait are in
//! `interface.rs`; docs/design.md tells which parts are the article's mechanism and which depart from it.

use crate::clock::{Moment, Pace, Span};
use crate::interface::*;
use crate::record::{Backend, Command, Customer, Peers, State};
use crate::tally::{hash, Tally};
use oorandom::Rand64;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::mem::{replace, take};
use std::rc::Rc;

const PERIOD: Span = Span::from_secs(1); // the article's, and the stay-away that a bounce advises
const KEPT: Span = Span::from_secs(60); // time without use after which a customer is forgotten
const NEAR: f64 = 0.5; // part of the quota up to which a customer is calm
const CALM: i64 = 4; // periods to one count of a calm customer
const FEW: f64 = 0.9; // part of a period's messages up to which all peers are told of all
const LATELY: i64 = 2; // periods for which what is known of the others counts
const SUM: i64 = CALM * LATELY; // periods for which a sum runs on under one name
const SPARSE: f64 = 0.25; // part of the largest command: whose part of a store holds less cannot be counted
const HELD: f64 = 0.2; // part of a store held back from what others draw unseen, where a sum tells of them
const POOL: f64 = 0.3; // part of a sparse customer's store that may be borrowed, as often as it fills
const CROWDED: f64 = 4.0; // one over the part of questions lost from which on fewer are asked
const PATIENCE: i64 = 8; // parts of the contract time, one of which a controller has to answer
const ADVICE: i64 = 3; // parts of the time left for a retry, one of which a bounce advises to wait
const OVERDUE: f64 = 6.0; // mean deviations past the mean after which a leg is overdue
const QUEUE: f64 = 0.8; // times of an idle backend that legs may be out for beside those
const ABREAST: f64 = 3.0; // legs a backend may have from all gateways, more is an overload
const FIRST: f64 = 0.25; // part of its share of a hard ceiling that a gateway starts with, and never fills
const COLD_SHARE: f64 = 0.5; // share of what tips a cold backend over that is used at most
const MEMORY: Span = Span::from_secs(5); // how long a backend's good and bad ends count
const NEWEST: f64 = 0.0625; // weight of the newest in running means

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
        Gateway {
            chance: Rand64::new(u128::from(seed)),
            opened: now,
            backends: BTreeMap::new(),
            commands: HashMap::new(),
            customers: HashMap::new(),
            paces: charter.workloads.iter().map(|w| Pace::expecting(w.contract / 4, w.contract)).collect(),
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

    /// How much is kept: commands, customers, backends, and calls and questions that are waited for.
    pub fn kept(&self) -> [usize; 4] {
        [self.commands.len(), self.customers.len(), self.backends.len(), self.peers.waiting.len()]
    }

    /// Changes of the list of backends; a whole list also tells what is gone.
    pub fn roster(&mut self, whole: bool, lines: &[Listed]) {
        self.backends.values_mut().filter(|_| whole).for_each(|b| b.listed.standing = Standing::Gone);
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
            return self.wait(asked.id, question, Units::default());
        }
        self.decide(now, asked.id, asks && controls, orders);
    }

    /// The draw against the customer's ratio; what is beyond the part here may borrow what others leave.
    fn decide(&mut self, now: Moment, id: &str, controls: bool, orders: &mut impl Orders) {
        let offer = self.commands[id].offer.clone();
        let verdict = self.draw(now, &offer, controls, orders);
        let Customer { sparse, ref terms, .. } = self.customers[&offer.customer];
        let asks = self.customers[&offer.customer].is_unsure(offer.units, verdict.beyond);
        let time = self.charter.counter.is_some_and(|patience| self.commands[id].until - now > patience * 2);
        let fills = PERIOD.times(terms.store / terms.rate / PERIOD.secs()).max(PERIOD);
        if !(asks && time && self.affords()) {
            return self.admit(now, id, verdict.beyond, orders);
        }
        if !sparse {
            return self.add_up(now, &offer.customer, Some((id, offer.units)), orders);
        }
        let name = format!("{}/.{}", offer.customer, now.micros() / fills.micros());
        orders.count(&name, offer.units, fills * 2);
        self.wait(id, name, Units::default());
    }

    /// Adds what was offered and sent here since the last time to a customer's sum; with it the units of a
    /// command that goes only if the total allows it, lest several gateways give what all see in the store.
    fn add_up(&mut self, now: Moment, customer: &str, waits: Option<(&str, f64)>, orders: &mut impl Orders) {
        let (key, (id, units), number) = (customer, waits.unwrap_or_default(), now.among(PERIOD * SUM).0);
        let Some(customer) = self.customers.get_mut(key) else { return };
        customer.period.sent += units;
        if customer.sums.begin(number) {
            // The last one is read once more, as no one adds to it any longer; without it nothing is known.
            let last = format!("{key}.{}", number - 1);
            customer.read = customer.read.filter(|_| customer.sums.knows(number - 1));
            if customer.read.is_some() {
                orders.count(&last, 0.0, PERIOD * SUM * 2);
                self.peers.waiting.entry(last).or_default().push_back(Default::default());
            }
        }
        customer.due = Moment::default();
        let (name, added) = (format!("{key}.{number}"), take(&mut customer.period));
        orders.count(&name, added.packed(apart(&customer.terms)), PERIOD * SUM * 2);
        self.wait(id, name, added);
    }

    /// Whether one more question is asked: fewer where many stay without an answer, lest they crowd all out.
    fn affords(&mut self) -> bool {
        self.chance.rand_float() < (2.0 - CROWDED * self.peers.lost).max(NEWEST)
    }

    fn wait(&mut self, id: &str, answer: String, added: Units) {
        self.peers.waiting.entry(answer).or_default().push_back((id.to_owned(), added));
        self.shift(id, State::Asking);
    }

    /// What waited first for an answer, which has come, or has not.
    fn next(&mut self, answer: &str, lost: bool) -> Option<(String, Units)> {
        let next = self.peers.waiting.get_mut(answer).and_then(VecDeque::pop_front)?;
        self.peers.waiting.retain(|_, waiting| !waiting.is_empty());
        self.peers.lost += (f64::from(lost) - self.peers.lost) * NEWEST;
        Some(next)
    }

    /// What a command waited for has been answered; or not, and the part here decides.
    fn resume(&mut self, now: Moment, answer: &str, verdict: Option<Verdict>, orders: &mut impl Orders) {
        let Some((id, _)) = self.next(answer, verdict.is_none()) else { return };
        let Some(command) = self.commands.get_mut(&id) else { return };
        command.booked = verdict.is_some();
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
            Some(("period", id)) if self.customers.get(id).is_some_and(|c| c.is_due(now)) => {
                self.add_up(now, id, None, orders);
            }
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
            // starts with the part that a full one lacks: an earlier life of this gateway may have spent all
            // that it had, and both together are no more than the share.
            let filled = FIRST * terms.ceiling_depth + terms.ceiling_rate * (now - self.opened).secs();
            let ceiling = filled.min((1.0 - FIRST) * terms.ceiling_depth) / width;
            let store = terms.store * if hears { NEAR } else { 1.0 / width };
            let alone = self.charter.peer_messages <= 0.0 && width > 1.0 && terms.rate > 0.0;
            let sparse = alone && store < SPARSE * self.charter.largest;
            let (counted, as_of) = (alone && !sparse, now);
            let beat = PERIOD / if counted { CALM } else { 1 };
            let mut met = Customer { terms, width, beat, store, as_of, ceiling, ..Customer::default() };
            met.reserve = (HELD * met.terms.store).min(NEAR * self.charter.largest) * f64::from(counted);
            (met.counted, met.sparse) = (counted, sparse);
            self.customers.insert(id.to_owned(), met);
        }
        let customer = self.customers.get_mut(id).expect("just met");
        // A counter that leaves most calls unanswered is silent for all, also those that seldom call.
        customer.silent = if customer.counted && self.peers.lost > NEAR { LATELY } else { customer.silent };
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
        customer.period.offered += offer.units;
        let ratio = customer.ratio(offer.units, telling);
        self.time(now, id, orders);
        self.note(id, Units { offered: offer.units, sent: 0.0 }, orders);
        Verdict { beyond: chance < ratio, ratio }
    }

    /// Has what was offered here go to the counter at the period's end. Calls have a price: later if all is
    /// calm, and sooner only where much is sent in a beat or little is left, unless calls are lost.
    fn time(&mut self, now: Moment, id: &str, orders: &mut impl Orders) {
        let (calm, largest) = (self.many || self.hears(now), self.charter.largest);
        let counts = |c: &&mut Customer| !c.sparse && c.width > 1.0 && c.terms.rate > 0.0;
        let Some(c) = self.customers.get_mut(id).filter(counts) else { return };
        let (limit, low) = (c.terms.rate * c.beat.secs(), NEAR * c.terms.store);
        let usual = c.demand.last() + c.theirs() < NEAR * limit;
        let calm = calm || c.share(false) >= 1.0 && c.silent == 0 && c.store > low && usual;
        let often = c.counted && c.silent == 0 && (limit > NEAR * largest || c.store < low);
        let quarters = if often { 1 } else { CALM };
        let after = PERIOD / CALM * if calm { CALM * CALM } else { quarters };
        if self.charter.counter.is_some() && (c.due <= now || now + after < c.due) {
            c.due = now + after;
            orders.wake(&format!("period.{id}"), after);
        }
    }

    pub fn counted(&mut self, now: Moment, name: &str, total: Total, orders: &mut impl Orders) {
        let (hears, Some((id, number))) = (self.hears(now), name.rsplit_once('.')) else { return };
        let late = matches!(total, Total::Late(_)); // its command has gone on, others may wait by that name
        if let Some(customer) = id.strip_suffix('/').filter(|_| !late).and_then(|id| self.customers.get(id)) {
            let pool = POOL * customer.terms.store.max(customer.terms.rate * PERIOD.secs());
            let verdict = |total| Verdict { beyond: total > pool, ratio: 0.0 };
            return self.resume(now, name, total.known().map(verdict), orders);
        }
        let next = if late { None } else { self.next(name, total.known().is_none()) };
        let ((command, added), number) = (next.unwrap_or_default(), number.parse().unwrap_or(0));
        let Some(customer) = self.customers.get_mut(id) else { return };
        customer.reckon(now, hears);
        match total {
            Total::NotAdded if customer.silent < LATELY => customer.period.add(added),
            Total::NotAdded => {} // in a silence each keeps to its part, and does not tell of it later
            _ => customer.sums.add(number, added),
        }
        // A controller reads what went by others' parts; reading it, these would be too bold.
        match total.known().filter(|_| customer.held || !self.many) {
            Some(total) => customer.learn(now, number, total, hears),
            None => customer.silent += 1,
        }
        let (store, lacks, full) = (customer.store, customer.reserve(false), customer.terms.store);
        let full = full * customer.share(false);
        self.time(now, id, orders);
        let Some(waits) = self.commands.get_mut(&command) else { return };
        waits.booked = true;
        let beyond = store < (waits.offer.units + lacks).min(full); // a full one gives a command of any size
        self.shift(&command, State::Held);
        self.admit(now, &command, beyond, orders);
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
        // Units that are in the sum and do not go must not keep others from going.
        let unsent = if command.booked && command.legs == 0 { command.offer.units } else { 0.0 };
        if let Some(c) = self.customers.get_mut(&command.offer.customer).filter(|c| c.counted) {
            c.period.sent -= unsent;
        }
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
        let (expected, overdue) =
            (self.paces[command.workload].mean, self.paces[command.workload].past(OVERDUE));
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
        if first && (customer.counted || !booked) {
            customer.store -= units;
            customer.period.sent += units * f64::from(!booked); // what was asked for is in the sum already
            self.note(&id, Units { offered: 0.0, sent: units }, orders);
        }
        true
    }

    /// The article's ratio for the fleet, over an idle backend's time: legs wanted against settled and room.
    fn pressure(&mut self, now: Moment, workload: usize) -> f64 {
        let time = self.paces.iter().map(|p| p.idle).max().unwrap_or(PERIOD).over(PERIOD);
        let overdue = self.paces[workload].past(OVERDUE);
        let (mut live, mut out) = (0.0, 0.0);
        for b in self.backends.values_mut() {
            // Legs lost at a backend that answers nothing are no load on the others: all count by its record.
            let faith = b.trust(now, overdue, 0.0);
            out += faith * b.out.values().filter(|sent| now - **sent <= overdue).count() as f64;
            live += if b.is_live() { faith } else { 0.0 };
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
        let (usual, overdue) =
            (self.paces[command.workload].mean, self.paces[command.workload].past(OVERDUE));
        let repeats = self.charter.workloads[command.workload].repeats;
        let fits = |b: &Listed| command.bound_to.as_ref().is_none_or(|ran| repeats.dropped(ran, b));
        let (mut worth, mut able, mut out) = (0.0, 0.0, 0.0);
        for b in self.backends.values().filter(|b| b.is_live()) {
            let warmth = cold_start.warmth(b.listed.started, now);
            worth += b.listed.size / b.slow.exp2() * warmth;
            able += b.listed.size * warmth;
            out += 1.0 + b.out.len() as f64; // room for one more each, by its share
        }
        let taken = self.warm.at(now, cold_start.window) / able;
        let (mut odds, mut sum) = (Vec::new(), 0.0);
        for (id, b) in self.backends.iter_mut().filter(|(_, b)| b.is_live() && fits(&b.listed)) {
            let warmth = cold_start.warmth(b.listed.started, now);
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
            pace.learn(end.took.min(pace.past(OVERDUE) / 2), NEWEST);
        }
        if went_well {
            pace.learn(end.took, NEWEST);
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
        if went_well && cold_start.warmth(b.listed.started, now) >= 1.0 {
            let ratio = end.took.over(usual).log2().clamp(-1.0, 6.0);
            b.slow += (ratio - b.slow) / b.good.last().clamp(1.0, 8.0);
        }
        if b.listed.standing == Standing::Gone && b.out.is_empty() {
            self.backends.remove(end.backend); // the list may bring no news for long
        }
    }
}

impl Customer {
    /// Brings the store, the share of the ceiling and the demand up to now.
    fn reckon(&mut self, now: Moment, hears: bool) {
        let terms = self.terms.clone();
        let past = now - replace(&mut self.as_of, now);
        let (share, part) = (self.share(hears), self.part());
        // By a reading the others draw what they sent on of late, at most their part of the limit.
        let theirs =
            (terms.rate * past.secs() + self.store.max(0.0)) * (1.0 - part) * f64::from(share >= 1.0);
        let drawn = (self.gone.last() - self.gone.at(now, PERIOD * LATELY)).min(theirs).max(0.0);
        let filled = self.store + terms.rate * share * past.secs();
        self.store = (filled - drawn).max(self.store.min(0.0)).min(terms.store * share);
        self.slack = (self.slack + filled - self.store).min(terms.store);
        let ceiling = self.ceiling * self.width + terms.ceiling_rate * past.secs();
        self.ceiling = ceiling.min((1.0 - FIRST) * terms.ceiling_depth) / self.width;
        self.demand.at(now, self.beat);
        self.told.at(now, PERIOD * LATELY);
    }

    /// The article's ratio for one command: (actual - limit) / actual, never below zero.
    fn ratio(&self, units: f64, telling: Option<Span>) -> f64 {
        let (terms, share) = (&self.terms, self.share(telling.is_some()));
        let out = 1.0 + f64::from(self.out) / share;
        let legs_ratio = if terms.legs_out > 0 { excess(out, f64::from(terms.legs_out)) } else { 0.0 };
        // A full store, or share of one, gives a command of any size.
        if terms.rate <= 0.0 || self.store >= terms.store * share {
            return legs_ratio;
        }
        let others = self.theirs() * f64::from(share >= 1.0);
        // What peers may have sent on since they told is no longer in the store.
        let store = self.store - telling.map_or(0.0, |telling| others.min(terms.rate) * telling.secs());
        // What the store cannot hold is beyond the quota: chance is too coarse where commands are large.
        if store < units + self.reserve(telling.is_some()) {
            return 1.0;
        }
        excess(self.demand.last() + others, terms.rate * share * self.beat.secs() + store).max(legs_ratio)
    }

    /// Books units sent on inside the quota; below zero, units given back.
    fn spend(&mut self, units: f64) {
        self.store -= units;
        self.period.sent += units;
    }

    /// Takes in what a total tells of the others: its growth since the last one.
    fn learn(&mut self, now: Moment, number: i64, total: f64, hears: bool) {
        let (all, (running, since)) = (Units::unpacked(total, apart(&self.terms)), now.among(PERIOD * SUM));
        let Some(grown) = self.sums.read(number, all) else { return };
        // A counter that has lost its counts shows less than before: it is read on from there.
        let drawn = if grown.offered < 0.0 { 0.0 } else { grown.sent };
        // The last sum's end is read just before the new one: what is left of the slack is for that.
        let slack = if number == running { self.slack } else { self.slack.min(drawn) };
        self.slack -= slack;
        let lately = (PERIOD * LATELY).over(self.read.map_or(PERIOD, |read| now - read)).min(1.0);
        // What peers tell is newer than a reading.
        if !hears {
            self.told.add(now, PERIOD * LATELY, grown.offered.max(0.0) * lately);
            self.gone.add(now, PERIOD * LATELY, drawn * lately);
            // A first reading: of a customer that is offered more than its limit nothing is left, else what
            // the sum lacks of it. After a silence, in which each kept to its part, the rest fills again.
            let (store, filled) = (self.terms.store, self.terms.rate * since.secs());
            let left =
                if all.offered > store + filled { 0.0 } else { store - (all.sent - NEAR * filled).max(0.0) };
            self.store = match self.read {
                None => left - self.period.sent,
                Some(_) if self.silent >= LATELY => self.store,
                // What went beyond the quota has not drawn on it.
                Some(_) => (self.store + slack - drawn).max(self.store.min(0.0)).min(store),
            };
        }
        self.read = if number == running { Some(now) } else { self.read };
        self.silent = 0;
    }

    /// Whether the counter is asked before a command goes: each of the others may send as much as it, and as
    /// this gateway sent since the last count; what is beyond a part is not known to be beyond the whole.
    fn is_unsure(&self, units: f64, beyond: bool) -> bool {
        let unseen = (self.width - 1.0) * (units + self.period.sent.max(0.0));
        let counted = if beyond { self.read.is_none() } else { self.store < units + unseen };
        self.sparse && beyond || self.counted && counted
    }

    fn is_due(&self, now: Moment) -> bool {
        self.due != Moment::default() && now >= self.due && self.period.offered > 0.0
    }

    /// Units of the store that are left for what others draw unseen.
    fn reserve(&self, hears: bool) -> f64 {
        self.reserve * f64::from(self.share(hears) >= 1.0)
    }

    /// What the others were offered of late in a beat.
    fn theirs(&self) -> f64 {
        self.told.last() * self.beat.over(PERIOD * LATELY)
    }

    /// The part of the quota that this gateway may give: all of it with a current reading or told by peers.
    /// Guards against a silent or crowded counter; hurts a customer that moves here just then.
    fn share(&self, hears: bool) -> f64 {
        f64::max(self.part(), f64::from(self.read.is_some() && self.silent < LATELY || hears))
    }

    /// This gateway's part of the quota.
    fn part(&self) -> f64 {
        (1.0 / self.width).max(f64::from(self.held))
    }
}

impl Backend {
    fn is_live(&self) -> bool {
        self.listed.standing == Standing::Live
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

/// The article's ratio.
fn excess(actual: f64, limit: f64) -> f64 {
    ((actual - limit) / actual.max(f64::EPSILON)).clamp(0.0, 1.0)
}

/// One amount carries offered and sent units, set apart by far more than a period can send on.
fn apart(terms: &Plan) -> f64 {
    10f64.powf((2.5 * (terms.rate * (PERIOD * SUM).secs() + terms.store)).max(1.0).log10().ceil())
}
