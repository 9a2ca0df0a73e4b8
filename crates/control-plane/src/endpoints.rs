//! The backends there are, as the platform lists them, turned into items: one an item, under its call-sign.
//!
//! An item's value has its service, address, district, slots, whether it is closing, and for how long it stays
//! cold from when the item came. Only what changed becomes news: a cold time that merely runs down does not.

use bytes::Bytes;
use kitepass_config::{Item, ItemStore, Kind};
use kitepass_time::{Duration, Timestamp};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};

/// A cold time that differs by no more from what was told is the same one.
const SLACK: Duration = Duration::from_micros(700_000);
/// Backends taken at most. Danger: a list that never ends.
const MOST: usize = 50_000;

/// A line of the platform's list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    pub call_sign: String,
    pub line: String,
    pub address: String,
    pub zone: String,
    pub berths: u64,
    pub closing: bool,
    pub cold_ms: u64,
}

/// One page of the list: its entries, and the token of the next.
pub fn page(body: &[u8]) -> Option<(Vec<Endpoint>, Option<String>)> {
    let whole: Value = serde_json::from_slice(body).ok()?;
    let mut entries = Vec::new();
    for (zone, list) in whole.get("backends")?.as_object()? {
        for line in list.as_array()? {
            let text = |name: &str| line.get(name).and_then(Value::as_str).map(str::to_owned);
            let number = |name: &str| line.get(name).and_then(Value::as_f64).unwrap_or(0.0).max(0.0) as u64;
            let zone = text("district").unwrap_or_else(|| zone.clone());
            let closing = text("standing").is_some_and(|standing| standing != "open");
            let (berths, cold_ms) = (number("berths").max(1), number("cold-left-ms"));
            let (call_sign, address) = (text("call-sign")?, text("address")?);
            entries.push(Endpoint {
                call_sign,
                line: text("line")?,
                address,
                zone,
                berths,
                closing,
                cold_ms,
            });
        }
    }
    let next = match whole.get("next-token") {
        Some(Value::String(token)) if !token.is_empty() => Some(token.clone()),
        _ => None,
    };
    (entries.len() <= MOST).then_some((entries, next))
}

/// What the holder of the duty keeps of its readings.
#[derive(Default)]
pub struct EndpointList {
    number: u64,
    cold: BTreeMap<String, Timestamp>,
    missing: BTreeSet<String>,
}

impl EndpointList {
    pub fn start_term(&mut self, term: u64) {
        *self = EndpointList { number: term << 32, ..EndpointList::default() };
    }

    /// The news of a whole reading, as items of editions above all that are known.
    pub fn update(&mut self, now: Timestamp, entries: Vec<Endpoint>, item_store: &ItemStore) -> Vec<Item> {
        // Danger: terms begin anew when the whole core restarts, while backends are kept on disk: what an earlier
        // term wrote would stay for ever. Editions go on above whatever is known.
        self.number = self.number.max(item_store.highest_version(Kind::Backend));
        let known = item_store.items_of(Kind::Backend).filter(|item| item.value.is_some()).count();
        // Danger: a platform that has just come up may list nothing; that is no word that all backends are gone.
        if entries.is_empty() && known > 1 {
            return Vec::new();
        }
        let mut news = Vec::new();
        let mut seen = BTreeSet::new();
        for entry in &entries {
            seen.insert(entry.call_sign.as_str());
            let until = now + Duration::from_micros(entry.cold_ms as i64 * 1000);
            let told = self.cold.get(&entry.call_sign).copied().unwrap_or(now);
            // What was told and is over is as warm as what is not cold.
            let (was, is) = (told.max(now), until);
            let off = if is > was { is - was } else { was - is };
            let cold = entry.cold_ms;
            let item = item_store.get(Kind::Backend, &entry.call_sign);
            let same = item.and_then(|item| item.value.as_deref()).is_some_and(|value| {
                let (mut was, mut is): (Value, Value) =
                    (serde_json::from_slice(value).unwrap_or_default(), value_of(entry, 0));
                let was_cold = was["cold-ms"].as_u64().unwrap_or(0) > 0;
                (was["cold-ms"], is["cold-ms"]) = (0.into(), 0.into());
                was == is && off < SLACK && (was_cold == (cold > 0))
            });
            if !same {
                self.cold.insert(entry.call_sign.clone(), until);
                news.push((entry.call_sign.clone(), Some(value_of(entry, cold))));
            }
        }
        // One that is missing once may have slipped between two pages that were read one after the other.
        let gone: BTreeSet<String> = item_store
            .items_of(Kind::Backend)
            .filter(|item| item.value.is_some() && !seen.contains(&*item.name))
            .map(|item| item.name.to_string())
            .collect();
        for call_sign in gone.intersection(&self.missing) {
            news.push((call_sign.clone(), None));
            self.cold.remove(call_sign);
        }
        self.missing = gone;
        news.into_iter()
            .map(|(name, value)| {
                self.number += 1;
                let value = value.map(|value| Bytes::from(value.to_string()));
                Item { kind: Kind::Backend, name: name.into(), version: self.number, value }
            })
            .collect()
    }
}

fn value_of(entry: &Endpoint, cold_ms: u64) -> Value {
    json!({"line": entry.line, "address": entry.address, "district": entry.zone,
        "berths": entry.berths, "closing": entry.closing, "cold-ms": cold_ms})
}

#[cfg(test)]
mod tests {
    use super::*;

    fn entry(name: &str, cold_ms: u64) -> Endpoint {
        Endpoint {
            call_sign: name.into(),
            line: "l".into(),
            address: "10.0.0.1:80".into(),
            zone: "d".into(),
            berths: 2,
            closing: false,
            cold_ms,
        }
    }

    #[test]
    fn only_what_changed_is_news_and_what_is_missing_twice_is_gone() {
        let at = |millis: i64| Timestamp::from_micros(millis * 1000);
        let (mut roster, mut item_store) = (EndpointList::default(), ItemStore::new());
        let mut read = |now, entries: &[Endpoint], item_store: &mut ItemStore| {
            let news = roster.update(at(now), entries.to_vec(), item_store);
            for item in &news {
                assert!(item_store.merge(item.clone()));
            }
            news.len()
        };
        assert_eq!(read(0, &[entry("a", 3000), entry("b", 0)], &mut item_store), 2);
        assert_eq!(read(700, &[entry("a", 2300), entry("b", 0)], &mut item_store), 0);
        assert_eq!(read(1400, &[entry("a", 1600), entry("b", 3000)], &mut item_store), 1); // cold again
        assert_eq!(read(4600, &[entry("a", 0), entry("b", 0)], &mut item_store), 2);
        assert_eq!(read(5300, &[entry("a", 0), entry("b", 0)], &mut item_store), 0);
        let mut closing = entry("a", 0);
        closing.closing = true;
        assert_eq!(read(6000, &[closing, entry("b", 0)], &mut item_store), 1);
        assert_eq!(read(6700, &[entry("b", 0)], &mut item_store), 0);
        assert_eq!(read(7400, &[entry("b", 0)], &mut item_store), 1);
        assert!(item_store.get(Kind::Backend, "a").unwrap().value.is_none());
        // A stalled list is no empty one, and an empty one not at once a true one.
        item_store.merge(Item {
            kind: Kind::Backend,
            name: "c".into(),
            version: 1,
            value: Some(Bytes::from("{}")),
        });
        assert_eq!(read(8000, &[], &mut item_store), 0);
        // What a higher term wrote in an earlier life of the core is overwritten all the same.
        let old = Some(Bytes::from("{}"));
        item_store.merge(Item { kind: Kind::Backend, name: "b".into(), version: 99 << 32, value: old });
        assert_eq!(read(8700, &[entry("b", 0)], &mut item_store), 1);
    }

    #[test]
    fn pages_are_read_whole_or_not_at_all() {
        let body = br#"{"backends":{"d":[{"line":"l","address":"10.0.0.1:80","district":"d","edition":"v1","berths":6,
            "standing":"closing","cold-left-ms":12.5,"call-sign":"i-1","new":1}]},"next-token":"p-50"}"#;
        let (entries, next) = page(body).unwrap();
        assert!(entries[0].closing && entries[0].cold_ms == 12 && entries[0].berths == 6);
        assert_eq!(next.as_deref(), Some("p-50"));
        assert_eq!(page(br#"{"backends":{},"next-token":null}"#), Some((vec![], None)));
        assert_eq!(page(&body[..80]), None);
        assert_eq!(page(br#"{"backends":{"d":[{"line":"l"}]}}"#), None);
    }
}
