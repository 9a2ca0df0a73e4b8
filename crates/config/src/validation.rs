//! What makes a call invalid together with what stands.

use crate::error::{LineInUseSnafu, SamePlaceSnafu, SharedKeySnafu, UnknownLineSnafu, ValidationError};
use crate::item::{Item, Kind};
use crate::item_store::ItemStore;
use crate::model::{host_key, read, HostKey, PermitsText, RouteText, Text};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// The items of a call that have an effect, by kind and name, over the whole that they come to.
struct MergeOutcome<'a> {
    whole: &'a ItemStore,
    news: BTreeMap<(Kind, &'a str), &'a Item>,
}

impl<'a> MergeOutcome<'a> {
    fn new(whole: &'a ItemStore, call: &'a [Item]) -> MergeOutcome<'a> {
        let mut news: BTreeMap<(Kind, &str), &Item> = BTreeMap::new();
        for item in call.iter().filter(|item| whole.is_newer(item)) {
            let prevailing = news.entry((item.kind, &*item.name)).or_insert(item);
            // As `ItemStore::take` does with one after the other.
            if prevailing.version < item.version {
                *prevailing = item;
            }
        }
        MergeOutcome { whole, news }
    }

    /// What the call newly sets.
    fn set(&self, kind: Kind) -> impl Iterator<Item = &'a Item> + '_ {
        self.news.values().copied().filter(move |item| item.kind == kind && item.is_set())
    }

    /// What stands, and the call leaves alone.
    fn untouched(&self, kind: Kind) -> impl Iterator<Item = &'a Item> + '_ {
        let left = move |item: &&Item| item.is_set() && !self.news.contains_key(&(kind, &*item.name));
        self.whole.items_of(kind).filter(left)
    }

    fn stands(&self, kind: Kind, name: &str) -> bool {
        let new = self.news.get(&(kind, name)).copied();
        new.or_else(|| self.whole.get(kind, name)).is_some_and(Item::is_set)
    }

    /// Services that stood, and that the call drops.
    fn dropped_lines(&self) -> BTreeSet<&'a str> {
        let dropped = self.news.values().filter(|item| item.kind == Kind::Service && !item.is_set());
        let stood = |name: &&str| self.whole.get(Kind::Service, name).is_some_and(Item::is_set);
        dropped.map(|item| &*item.name).filter(stood).collect()
    }
}

/// Judges a call, each item of which is right by itself, on the whole that it would come to. Only what the
/// call brings is blamed: a fault that stood already and that the call does not touch is let be, or nothing
/// could be put right. Items whose version is not above the known one have no effect, and are not judged.
///
/// # Errors
/// Where two customers would share a key, two itineraries a place, or an itinerary would name a service that
/// there is not.
pub fn validate(whole: &ItemStore, call: &[Item]) -> Result<(), ValidationError> {
    let merged = MergeOutcome::new(whole, call);
    judge_routes(&merged)?;
    judge_dropped_lines(&merged)?;
    judge_permits(&merged)
}

fn lines<'a>(route: &'a RouteText) -> impl Iterator<Item = &'a str> {
    let shares = route.share_list.iter().flatten().map(|share| &*share.line);
    shares.chain(route.line.as_deref())
}

fn judge_routes(merged: &MergeOutcome) -> Result<(), ValidationError> {
    let mut places: HashMap<(HostKey, Text), &Item> = HashMap::new();
    for item in merged.set(Kind::Route) {
        let Some(route) = read::<RouteText>(item, Kind::Route) else { continue };
        if let Some(line) = lines(&route).find(|line| !merged.stands(Kind::Service, line)) {
            return UnknownLineSnafu { name: item.name.clone(), line }.fail();
        }
        if let Some(other) = places.insert((host_key(route.depot.as_bytes()), route.lane_prefix), item) {
            return SamePlaceSnafu { name: item.name.clone(), other: other.name.clone() }.fail();
        }
    }
    if places.is_empty() {
        return Ok(());
    }
    for other in merged.untouched(Kind::Route) {
        let Some(route) = read::<RouteText>(other, Kind::Route) else { continue };
        if let Some(item) = places.get(&(host_key(route.depot.as_bytes()), route.lane_prefix)) {
            return SamePlaceSnafu { name: item.name.clone(), other: other.name.clone() }.fail();
        }
    }
    Ok(())
}

fn judge_dropped_lines(merged: &MergeOutcome) -> Result<(), ValidationError> {
    let dropped = merged.dropped_lines();
    if dropped.is_empty() {
        return Ok(());
    }
    for item in merged.untouched(Kind::Route) {
        let Some(route) = read::<RouteText>(item, Kind::Route) else { continue };
        let line = lines(&route).find_map(|line| dropped.get(line).copied());
        if let Some(line) = line {
            return LineInUseSnafu { line, name: item.name.clone() }.fail();
        }
    }
    Ok(())
}

fn judge_permits(merged: &MergeOutcome) -> Result<(), ValidationError> {
    let mut keys: HashMap<Text, &Item> = HashMap::new();
    for item in merged.set(Kind::Tenant) {
        for key in read::<PermitsText>(item, Kind::Tenant).into_iter().flat_map(|text| text.permits) {
            match keys.insert(key, item) {
                Some(other) if other.name != item.name => {
                    return SharedKeySnafu { name: item.name.clone(), other: other.name.clone() }.fail();
                }
                _ => {}
            }
        }
    }
    if keys.is_empty() {
        return Ok(());
    }
    for other in merged.untouched(Kind::Tenant) {
        for key in read::<PermitsText>(other, Kind::Tenant).into_iter().flat_map(|text| text.permits) {
            if let Some(item) = keys.get(&key) {
                return SharedKeySnafu { name: item.name.clone(), other: other.name.clone() }.fail();
            }
        }
    }
    Ok(())
}
