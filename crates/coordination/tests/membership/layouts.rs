//! All small layouts of replicas over regions and zones, and the losses of their failure domains.

use kitepass_coordination::membership::{Replica, ReplicaSet};
use std::collections::BTreeSet;

/// The number of replicas in each zone, by region.
pub(super) type Layout = Vec<Vec<usize>>;

const MAX_REGIONS: usize = 3;

/// All ways to write `sum` as a sum of positive integers in descending order, none above `max`.
fn integer_partitions(sum: usize, max: usize) -> Vec<Vec<usize>> {
    if sum == 0 {
        return vec![vec![]];
    }
    let first = |part: usize| {
        integer_partitions(sum - part, part).into_iter().map(move |rest| [vec![part], rest].concat())
    };
    (1..=max.min(sum)).flat_map(first).collect()
}

/// All layouts of this number of replicas over 1 to 3 regions and 2 to 6 zones. Layouts that differ only in the names of
/// regions and zones are listed once.
pub(super) fn layouts(replicas: usize) -> Vec<Layout> {
    let mut all = Vec::new();
    for regions in
        integer_partitions(replicas, replicas).into_iter().filter(|regions| regions.len() <= MAX_REGIONS)
    {
        let mut partial: Vec<Layout> = vec![vec![]];
        for region in regions {
            let zones = integer_partitions(region, region);
            let extended = |layout: &Layout| {
                let extend = |zones: &Vec<usize>| [layout.clone(), vec![zones.clone()]].concat();
                zones.iter().map(extend).collect::<Vec<Layout>>()
            };
            partial = partial.iter().flat_map(extended).collect();
        }
        all.extend(partial);
    }
    all.iter_mut().for_each(|layout| layout.sort());
    all.retain(|layout| (2..=6).contains(&layout.iter().map(Vec::len).sum::<usize>()));
    all.sort();
    all.dedup();
    all
}

fn replica(region: usize, zone: usize, n: usize) -> Replica {
    let (region, zone) = (format!("r{region}"), format!("r{region}z{zone}"));
    Replica { node_id: format!("{zone}s{n}"), address: String::new(), zone, region, replica_id: 1 }
}

pub(super) fn replica_set(layout: &Layout) -> ReplicaSet {
    let mut replicas = Vec::new();
    for (region, zones) in layout.iter().enumerate() {
        for (zone, number) in zones.iter().enumerate() {
            replicas.extend((0..*number).map(|n| replica(region, zone, n)));
        }
    }
    replicas.sort();
    ReplicaSet { replicas, version: 1 }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum FailureDomain {
    Machine,
    Zone,
    Region,
}

/// The loss of a failure domain, with the nodes lost at the same time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Loss {
    pub(super) domain: FailureDomain,
    node_ids: BTreeSet<String>,
}

impl Loss {
    /// Whether the replica's node is lost.
    pub(super) fn affects(&self, replica: &Replica) -> bool {
        self.node_ids.contains(&replica.node_id)
    }
}

/// Every loss of a machine, a zone or a region.
pub(super) fn losses(replicas: &[Replica]) -> BTreeSet<Loss> {
    let losses_in = |name_of: fn(&Replica) -> &str, domain: FailureDomain| {
        let names: BTreeSet<&str> = replicas.iter().map(name_of).collect();
        let loss = |lost: &str| {
            let lost = replicas.iter().filter(|replica| name_of(replica) == lost);
            Loss { domain, node_ids: lost.map(|replica| replica.node_id.clone()).collect() }
        };
        names.into_iter().map(loss).collect::<Vec<Loss>>()
    };
    let mut losses = losses_in(|replica| &replica.node_id, FailureDomain::Machine);
    losses.extend(losses_in(|replica| &replica.zone, FailureDomain::Zone));
    losses.extend(losses_in(|replica| &replica.region, FailureDomain::Region));
    losses.into_iter().collect()
}
