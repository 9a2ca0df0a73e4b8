//! Items as records on disk, and limits as the count takes them.

use super::*;

/// Takes a tenant's limit up.
pub(super) fn learn(terms: &mut BTreeMap<String, RateLimit>, item: &Item) {
    if item.kind != Kind::Tenant {
        return;
    }
    match Tenant::of(item) {
        Some(tenant) => {
            terms.insert(item.name.to_string(), RateLimit { rate: tenant.rate, surge: tenant.surge });
        }
        None => _ = terms.remove(&*item.name),
    }
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
