//! Items as records on disk, and limits as the count takes them.

use super::*;

/// Takes a tenant's limit up.
pub(super) fn learn(rate_limit: &mut BTreeMap<String, RateLimit>, item: &Item) {
    if item.kind != Kind::Tenant {
        return;
    }
    match Tenant::from_item(item) {
        Some(tenant) => {
            rate_limit.insert(item.name.to_string(), RateLimit { rate: tenant.rate, burst: tenant.burst });
        }
        None => _ = rate_limit.remove(&*item.name),
    }
}

pub(super) fn record_vote((who, version): &Vote) -> Vec<u8> {
    [&version.to_be_bytes(), who.as_bytes()].concat()
}

/// A record of an earlier form reads as nobody's.
pub(super) fn unrecord_vote(value: &[u8]) -> Vote {
    let parts = value.split_first_chunk::<8>();
    let vote =
        parts.and_then(|(version, who)| Some((str::from_utf8(who).ok()?, u64::from_be_bytes(*version))));
    vote.map_or_else(Vote::default, |(who, version)| (who.to_owned(), version))
}
