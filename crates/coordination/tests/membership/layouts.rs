//! All small layouts of replicas over regions and zones, and what may be lost of them at once.

use kitepass_coordination::membership::{Replica, ReplicaSet};
use std::collections::BTreeSet;

/// How many replicas each zone of each region has.
pub(super) type Layout = Vec<Vec<usize>>;

const MAX_REGIONS: usize = 3;

/// All ways to write a number as a sum of parts in descending order, none above `most`.
fn partitions(sum: usize, most: usize) -> Vec<Vec<usize>> {
    if sum == 0 {
        return vec![vec![]];
    }
    let first =
        |part: usize| partitions(sum - part, part).into_iter().map(move |rest| [vec![part], rest].concat());
    (1..=most.min(sum)).flat_map(first).collect()
}

/// All layouts of so many replicas over 1 to 3 regions and 2 to 6 zones, up to the names of regions and zones.
pub(super) fn layouts(replicas: usize) -> Vec<Layout> {
    let mut all = Vec::new();
    for regions in partitions(replicas, replicas).into_iter().filter(|regions| regions.len() <= MAX_REGIONS) {
        let mut open: Vec<Layout> = vec![vec![]];
        for region in regions {
            let zones = partitions(region, region);
            let extended = |layout: &Layout| {
                let extend = |zones: &Vec<usize>| [layout.clone(), vec![zones.clone()]].concat();
                zones.iter().map(extend).collect::<Vec<Layout>>()
            };
            open = open.iter().flat_map(extended).collect();
        }
        all.extend(open);
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

/// Nodes that may be lost at once.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Loss {
    pub(super) domain: FailureDomain,
    node_ids: BTreeSet<String>,
}

impl Loss {
    pub(super) fn has(&self, replica: &Replica) -> bool {
        self.node_ids.contains(&replica.node_id)
    }
}

/// Each loss of a machine, a zone or a region.
pub(super) fn losses(replicas: &[Replica]) -> BTreeSet<Loss> {
    let losses_of = |place: fn(&Replica) -> &str, domain: FailureDomain| {
        let places: BTreeSet<&str> = replicas.iter().map(place).collect();
        let loss = |lost: &str| {
            let lost = replicas.iter().filter(|replica| place(replica) == lost);
            Loss { domain, node_ids: lost.map(|replica| replica.node_id.clone()).collect() }
        };
        places.into_iter().map(loss).collect::<Vec<Loss>>()
    };
    let mut losses = losses_of(|replica| &replica.node_id, FailureDomain::Machine);
    losses.extend(losses_of(|replica| &replica.zone, FailureDomain::Zone));
    losses.extend(losses_of(|replica| &replica.region, FailureDomain::Region));
    losses.into_iter().collect()
}
