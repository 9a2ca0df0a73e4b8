//! Items as records on disk, and limits as the count takes them.

use super::*;

/// Takes a tenant's limit up.
pub(super) fn learn(terms: &mut BTreeMap<String, Terms>, item: &Item) {
    if item.kind != Kind::Tenant {
        return;
    }
    match Tenant::of(item) {
        Some(tenant) => {
            terms.insert(item.name.to_string(), Terms { rate: tenant.rate, surge: tenant.surge });
        }
        None => _ = terms.remove(&*item.name),
    }
}

pub(super) fn record(item: &Item) -> (Vec<u8>, Vec<u8>) {
    // Of a backend that is gone nothing is kept: an empty value takes its record away.
    if item.kind == Kind::Backend && item.value.is_none() {
        return (key(item), Vec::new());
    }
    let mut value = item.edition.to_be_bytes().to_vec();
    value.push(u8::from(item.value.is_some()));
    value.extend_from_slice(item.value.as_deref().unwrap_or_default());
    (key(item), value)
}

pub(super) fn key(item: &Item) -> Vec<u8> {
    let mut key = vec![item.kind as u8];
    key.extend_from_slice(item.name.as_bytes());
    key
}

pub(super) fn unrecord(key: &[u8], value: &[u8]) -> Option<Item> {
    let (kind, name) = key.split_first()?;
    let (edition, rest) = value.split_first_chunk::<8>()?;
    let (set, value) = rest.split_first()?;
    Some(Item {
        kind: Kind::from_u8(*kind)?,
        name: Arc::from(std::str::from_utf8(name).ok()?),
        edition: u64::from_be_bytes(*edition),
        value: (*set == 1).then(|| Bytes::copy_from_slice(value)),
    })
}

pub(super) fn record_vote((who, edition): &Vote) -> Vec<u8> {
    [&edition.to_be_bytes(), who.as_bytes()].concat()
}

/// A record of an earlier form reads as nobody's.
pub(super) fn unrecord_vote(value: &[u8]) -> Vote {
    let parts = value.split_first_chunk::<8>();
    let vote =
        parts.and_then(|(edition, who)| Some((str::from_utf8(who).ok()?, u64::from_be_bytes(*edition))));
    vote.map_or_else(Vote::default, |(who, edition)| (who.to_owned(), edition))
}
