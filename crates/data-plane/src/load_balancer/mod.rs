//! Which backend a leg goes to. No input or output.
//!
//! Each backend has a cost: its usual time as seen from here, distance and queue included, times how many legs are
//! out there already. A few are drawn, mostly near ones, and the cheapest goes; a draw keeps gateways that know the
//! same from all running to one backend.

use kitepass_config::{Item, Kind};
use kitepass_time::{Duration, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// Weight of the newest time in a backend's usual one.
const NEWEST: f64 = 0.2;
/// What one more leg out adds to a backend's cost.
const CROWD: f64 = 0.6;
/// A service that nothing is known of takes so long.
const UNKNOWN: Duration = Duration::from_micros(100_000);
/// Time to another region and back, for one that nothing is known of.
const FAR: Duration = Duration::from_micros(110_000);
/// What another zone's bytes are worth in time.
const NEXT_DOOR: f64 = 1.1;
/// Backends drawn of the near ones that a connection rests to, of all near ones, and of all.
const DRAWN: [usize; 3] = [2, 2, 1];
/// What a new connection is worth in time, beside its way there and back.
const HANDSHAKE: Duration = Duration::from_micros(20_000);
/// A backend that failed is left alone for so long at first, and twice as long each time, up to the most.
const BARRED: Duration = Duration::from_micros(400_000);
const BARRED_MOST: Duration = Duration::from_micros(6_400_000);
/// One that was full is left alone for so long.
const FULL: Duration = Duration::from_micros(80_000);
/// Of the bound on a cold backend the part that is used.
const COLD_USED: f64 = 0.5;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Settled,
    /// An answer that says that it did not run: full, draining, or past its time there.
    TurnedAway,
    /// Somebody else has the address.
    Elsewhere,
    /// Its own failure, which may have run.
    Failed,
    /// Never reached.
    Unreached,
    /// Broken off, spoilt or silent.
    Broken,
    /// Left by this gateway, or by its client.
    Left,
}

#[derive(Debug)]
pub struct Backend {
    pub call_sign: Arc<str>,
    pub line: Arc<str>,
    pub address: SocketAddr,
    pub zone: Arc<str>,
    closing: bool,
    cold_until: Timestamp,
    pace: Option<Duration>,
    out: u32,
    fails: u32,
    barred: Timestamp,
    last_cold: Option<Timestamp>,
    /// How many gateways go before this one at it while it is cold, and by which list of stations.
    before: (u64, usize),
}

/// What a leg needs.
pub struct Need<'a> {
    pub line: &'a Arc<str>,
    /// Sets of provinces that each bind; an empty one does not.
    pub homes: [&'a [Arc<str>]; 2],
    /// Backends that had a leg of this request.
    pub had: &'a [Arc<str>],
    /// Whether a connection rests to a backend: a new one costs a way there and back, and a slot for a moment.
    pub rests: &'a dyn Fn(&Arc<str>) -> bool,
}

pub struct Pick {
    backends: BTreeMap<Arc<str>, Backend>,
    lines: BTreeMap<Arc<str>, Vec<Arc<str>>>,
    paces: BTreeMap<Arc<str>, Duration>,
    zone: Arc<str>,
    region: Arc<str>,
    node_id: Arc<str>,
    regions: BTreeMap<String, String>,
    evacuated: BTreeSet<Arc<str>>,
    node_ids: Vec<String>,
    /// Which list of stations this is.
    listed: u64,
    chance: oorandom::Rand64,
    /// Requests a second that a cold backend of a service bears.
    cold_rates: BTreeMap<Arc<str>, f64>,
}

impl Pick {
    pub fn new(seed: u64, node_id: &str, zone: &str, regions: &BTreeMap<String, String>) -> Pick {
        let region = regions.get(zone).map_or("", String::as_str).into();
        Pick {
            backends: BTreeMap::new(),
            lines: BTreeMap::new(),
            paces: BTreeMap::new(),
            zone: zone.into(),
            region,
            node_id: node_id.into(),
            regions: regions.clone(),
            evacuated: BTreeSet::new(),
            node_ids: Vec::new(),
            listed: 1,
            chance: oorandom::Rand64::new(u128::from(seed)),
            cold_rates: BTreeMap::new(),
        }
    }

    /// The stations of live gateways, in order.
    pub fn live(&mut self, node_ids: Vec<String>) {
        self.node_ids = node_ids;
        self.listed += 1;
    }

    pub fn cold_rates(&mut self, rates: impl Iterator<Item = (Arc<str>, f64)>) {
        self.cold_rates = rates.collect();
    }

    /// Zones to which nothing may go. Danger: one that comes back may have turned cold shortly before, and the list
    /// tells late: its backends count as cold for a while.
    pub fn evacuated(&mut self, now: Timestamp, zones: &BTreeSet<Arc<str>>) {
        let back: BTreeSet<Arc<str>> = self.evacuated.difference(zones).cloned().collect();
        for backend in self.backends.values_mut().filter(|b| back.contains(&b.zone)) {
            backend.cold_until = backend.cold_until.max(now + Duration::from_micros(4_000_000));
        }
        self.evacuated = zones.clone();
    }

    /// Takes in an item of the list of backends.
    pub fn learn(&mut self, now: Timestamp, item: &Item) {
        if item.kind != Kind::Backend {
            return;
        }
        let value = item.value.as_deref().and_then(|v| serde_json::from_slice::<serde_json::Value>(v).ok());
        let read = value.as_ref().and_then(|value| {
            let text = |name: &str| value[name].as_str();
            let address: SocketAddr = text("address")?.parse().ok()?;
            Some((Arc::<str>::from(text("line")?), address, Arc::<str>::from(text("district")?)))
        });
        let Some((line, address, zone)) = read else {
            if let Some(backend) = self.backends.remove(&item.name) {
                self.unline(&backend);
            }
            return;
        };
        let value = value.unwrap_or_default();
        let closing = value["closing"].as_bool().unwrap_or(false);
        let cold = Duration::from_micros(value["cold-ms"].as_i64().unwrap_or(0).clamp(0, 600_000) * 1000);
        let cold_until = if cold > Duration::ZERO { now + cold } else { Timestamp::default() };
        if let Some(backend) = self.backends.get_mut(&item.name) {
            if backend.address == address && backend.line == line {
                (backend.closing, backend.cold_until) = (closing, cold_until);
                return;
            }
            let old = self.backends.remove(&item.name).expect("found above");
            self.unline(&old);
        }
        self.lines.entry(line.clone()).or_default().push(item.name.clone());
        let backend = Backend {
            call_sign: item.name.clone(),
            line,
            address,
            zone,
            closing,
            cold_until,
            pace: None,
            out: 0,
            fails: 0,
            barred: Timestamp::default(),
            last_cold: None,
            before: (0, 0),
        };
        self.backends.insert(item.name.clone(), backend);
    }

    fn unline(&mut self, backend: &Backend) {
        if let Some(line) = self.lines.get_mut(&backend.line) {
            line.retain(|call_sign| *call_sign != backend.call_sign);
        }
    }

    pub fn get(&self, call_sign: &str) -> Option<&Backend> {
        self.backends.get(call_sign)
    }

    pub fn len(&self) -> usize {
        self.backends.len()
    }

    pub fn is_empty(&self) -> bool {
        self.backends.is_empty()
    }

    pub fn province_of(&self, zone: &str) -> &str {
        self.regions.get(zone).map_or("", String::as_str)
    }

    /// A service's usual time.
    pub fn pace(&self, line: &Arc<str>) -> Duration {
        self.paces.get(line).copied().unwrap_or(UNKNOWN)
    }

    /// Whether a zone's backend may be used at all for these homes.
    fn fits(&self, backend: &Backend, need: &Need) -> bool {
        let region = self.province_of(&backend.zone);
        !backend.closing
            && !self.evacuated.contains(&backend.zone)
            && !need.had.contains(&backend.call_sign)
            && need.homes.iter().all(|homes| homes.is_empty() || homes.iter().any(|home| **home == *region))
    }

    fn cost(&self, now: Timestamp, backend: &Backend, rests: bool) -> f64 {
        let far = *self.region != *self.province_of(&backend.zone);
        let usual =
            backend.pace.unwrap_or_else(|| self.pace(&backend.line) + if far { FAR } else { Duration::ZERO });
        let door = if backend.zone == self.zone { 1.0 } else { NEXT_DOOR };
        let barred = if backend.barred > now { 1e6 + (backend.barred - now).secs() * 1e3 } else { 0.0 };
        let way = HANDSHAKE + if far { FAR } else { Duration::ZERO };
        let opening = if rests { Duration::ZERO } else { way };
        usual.secs() * (1.0 + CROWD * f64::from(backend.out)) * door + opening.secs() + barred
    }

    /// Draws a backend for a leg, which is out there from now on.
    pub fn pick(&mut self, now: Timestamp, need: &Need) -> Option<Arc<str>> {
        self.rank_cold(now, need.line);
        let draws: [u64; 5] = std::array::from_fn(|_| self.chance.rand_u64());
        let mut draws = draws.into_iter();
        let known = self.lines.get(need.line)?;
        let (mut resting, mut near, mut all) = (Vec::new(), Vec::new(), Vec::new());
        for call_sign in known {
            let backend = &self.backends[call_sign];
            if !self.fits(backend, need) || backend.cold_until > now && !self.takes_cold(now, backend) {
                continue;
            }
            all.push(call_sign);
            if *self.province_of(&backend.zone) == *self.region && backend.barred <= now {
                near.push(call_sign);
                if (need.rests)(call_sign) {
                    resting.push(call_sign);
                }
            }
        }
        // One that failed lately is tried only where there is no other.
        if all.iter().any(|c| self.backends[*c].barred <= now) {
            all.retain(|c| self.backends[*c].barred <= now);
        }
        let [of_resting, of_near, of_all] = DRAWN;
        let of_all = if near.is_empty() { of_near + of_all } else { of_all };
        let mut drawn: Vec<&Arc<str>> = Vec::new();
        for (from, times) in [(&resting, of_resting), (&near, of_near), (&all, of_all)] {
            for _ in 0..times.min(from.len()) {
                let draw = draws.next().unwrap_or_default();
                drawn.push(from[(draw % from.len() as u64) as usize]);
            }
        }
        let cost = |c: &Arc<str>| self.cost(now, &self.backends[c], (need.rests)(c));
        let best = drawn.into_iter().min_by(|a, b| cost(a).total_cmp(&cost(b)))?.clone();
        let backend = self.backends.get_mut(&best).expect("drawn from these");
        backend.out += 1;
        if backend.cold_until > now {
            backend.last_cold = Some(now);
        }
        Some(best)
    }

    /// Whether this gateway may send a request to a cold backend now. Danger: all gateways together, each with a
    /// little, push it over; so only few may, chosen alike by all without talk, each at its part of the rate.
    fn takes_cold(&self, now: Timestamp, backend: &Backend) -> bool {
        let rate = self.cold_rates.get(&backend.line).copied().unwrap_or(0.0) * COLD_USED;
        let few = (rate.floor() as usize).min(3);
        if few == 0 || self.node_ids.is_empty() || backend.before.0 != self.listed {
            return false;
        }
        let gap = few as f64 / rate; // seconds between two of one gateway
        backend.before.1 < few && backend.last_cold.is_none_or(|last| (now - last).secs() >= gap)
    }

    /// Ranks this gateway among all for the cold backends of a service, once for each list of stations.
    fn rank_cold(&mut self, now: Timestamp, line: &Arc<str>) {
        let Some(known) = self.lines.get(line) else { return };
        for call_sign in known {
            let Some(backend) = self.backends.get_mut(call_sign) else { continue };
            if backend.cold_until <= now || backend.before.0 == self.listed {
                continue;
            }
            let score = |node_id: &str| {
                let text = node_id.bytes().chain(backend.call_sign.bytes());
                text.fold(0xcbf2_9ce4_8422_2325u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3))
            };
            let own = score(&self.node_id);
            let before = self.node_ids.iter().filter(|s| ***s != *self.node_id && score(s) < own).count();
            backend.before = (self.listed, before);
        }
    }

    /// A leg has ended.
    pub fn ended(&mut self, now: Timestamp, call_sign: &str, end: End, took: Duration) {
        let Some(backend) = self.backends.get_mut(call_sign) else { return };
        backend.out = backend.out.saturating_sub(1);
        let learn = |pace: &mut Duration, took: Duration| *pace = *pace + (took - *pace).times(NEWEST);
        match end {
            End::Settled => {
                backend.fails = 0;
                backend.barred = Timestamp::default();
                learn(backend.pace.get_or_insert(took), took);
                if *backend.zone == *self.zone {
                    learn(self.paces.entry(backend.line.clone()).or_insert(took), took);
                }
            }
            End::Failed => {}
            End::TurnedAway => {
                backend.barred = backend.barred.max(now + FULL);
                if let Some(pace) = &mut backend.pace {
                    *pace = pace.times(1.2);
                }
            }
            End::Elsewhere => backend.barred = now + BARRED_MOST,
            End::Unreached | End::Broken => {
                // One that cannot be reached has nothing to say: it is left alone for longer.
                let first = if end == End::Unreached { BARRED * 3 } else { BARRED };
                let span = first * (1 << backend.fails.min(4));
                backend.fails += 1;
                backend.barred = now + span.min(BARRED_MOST);
            }
            End::Left => {}
        }
    }

    /// A backend says itself that it leaves.
    pub fn closes(&mut self, now: Timestamp, call_sign: &str) {
        if let Some(backend) = self.backends.get_mut(call_sign) {
            backend.barred = backend.barred.max(now + Duration::from_micros(200_000));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use bytes::Bytes;
    use rstest::rstest;

    const CURRENT: Timestamp = Timestamp::from_micros(1_000_000_000);

    fn pick(node_id: &str) -> Pick {
        let regions = [("a1", "a"), ("a2", "a"), ("b1", "b")].map(|(d, p)| (d.to_owned(), p.to_owned()));
        let mut pick = Pick::new(7, node_id, "a1", &regions.into());
        pick.live((0..12).map(|n| format!("g{n}")).collect());
        pick.cold_rates([("l".into(), 6.7)].into_iter());
        pick
    }

    fn learn(pick: &mut Pick, name: &str, zone: &str, closing: bool, cold_ms: u32) {
        let value = format!(
            r#"{{"line":"l","address":"10.0.0.1:80","district":"{zone}","closing":{closing},"cold-ms":{cold_ms}}}"#
        );
        let value = Some(Bytes::from(value));
        pick.learn(CURRENT, &Item { kind: Kind::Backend, name: name.into(), version: 1, value });
    }

    fn go(pick: &mut Pick, homes: &[Arc<str>], had: &[Arc<str>], resting: &str) -> Option<String> {
        let rests = |c: &Arc<str>| **c == *resting;
        let need = Need { line: &"l".into(), homes: [homes, &[]], had, rests: &rests };
        pick.pick(CURRENT, &need).map(|call_sign| call_sign.to_string())
    }

    /// Where nothing may go nothing goes: a closing or cold backend, an evacuated zone, one that had the request,
    /// and one that is not at home.
    #[rstest]
    #[case::open(false, 0, &[], &[], &[], true)]
    #[case::closing(true, 0, &[], &[], &[], false)]
    #[case::evacuated(false, 0, &["a2"], &[], &[], false)]
    #[case::had(false, 0, &[], &[], &["x"], false)]
    #[case::not_at_home(false, 0, &[], &["b"], &[], false)]
    #[case::at_home(false, 0, &[], &["b", "a"], &[], true)]
    fn only_what_fits_is_picked(
        #[case] closing: bool,
        #[case] cold_ms: u32,
        #[case] evacuated: &[&str],
        #[case] homes: &[&str],
        #[case] had: &[&str],
        #[case] goes: bool,
    ) {
        let arcs = |names: &[&str]| names.iter().map(|name| Arc::from(*name)).collect::<Vec<Arc<str>>>();
        let mut pick = pick("g0");
        learn(&mut pick, "x", "a2", closing, cold_ms);
        pick.evacuated(CURRENT, &arcs(evacuated).into_iter().collect());
        assert_eq!(go(&mut pick, &arcs(homes), &arcs(had), "").is_some(), goes);
    }

    /// All gateways together, each by itself: a cold backend gets no more than it bears in any second.
    #[test]
    fn a_cold_backend_gets_little_from_all_gateways_together() {
        let mut gateways: Vec<Pick> = (0..12).map(|n| pick(&format!("g{n}"))).collect();
        let (mut sent, line) = (Vec::new(), "l".into());
        for gateway in &mut gateways {
            learn(gateway, "x", "a1", false, 60_000);
        }
        for millis in 0..20_000i64 {
            let now = CURRENT + Duration::from_micros(millis * 1000);
            let need = Need { line: &line, homes: [&[], &[]], had: &[], rests: &|_| false };
            sent.extend(gateways.iter_mut().filter_map(|g| g.pick(now, &need)).map(|_| millis));
        }
        for end in 1_000..20_000 {
            let within = sent.iter().filter(|at| (end - 1_000..end).contains(*at)).count() as f64;
            assert!(within <= 6.7, "{within} in the second before {end}");
        }
        assert!(sent.len() > 40, "{}", sent.len());
    }

    /// A failed backend is left alone, near goes before far, and a resting connection before a new one.
    #[test]
    fn the_cheap_go_first() {
        let mut pick = pick("g0");
        ["x", "y"].into_iter().for_each(|name| learn(&mut pick, name, "a1", false, 0));
        learn(&mut pick, "far", "b1", false, 0);
        let count = |pick: &mut Pick, name: &str, resting: &str| {
            let went: Vec<String> = (0..200)
                .filter_map(|_| {
                    let went = go(pick, &[], &[], resting)?;
                    pick.ended(CURRENT, &went, End::Left, Duration::ZERO);
                    Some(went)
                })
                .collect();
            went.iter().filter(|w| *w == name).count()
        };
        assert_eq!(count(&mut pick, "far", ""), 0);
        assert_eq!(count(&mut pick, "y", "y"), 200);
        pick.ended(CURRENT, "y", End::Unreached, Duration::ZERO);
        assert_eq!(count(&mut pick, "x", "y"), 200);
        // Of two that are out of reach the far one is better than none.
        pick.ended(CURRENT, "x", End::Unreached, Duration::ZERO);
        assert_eq!(count(&mut pick, "far", ""), 200);
    }
}
