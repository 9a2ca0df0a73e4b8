//! Leases during changes of the replica set: at most one process holds the lease of a role at any time.

use kitepass_time::Timestamp;
use model::Model;
use partition::{Partition, Safeguard};
use std::collections::BTreeMap;

mod model;
mod partition;

const ROLE: &str = "coordinator";

fn at(millis: i64) -> Timestamp {
    Timestamp::from_micros(millis * 1000)
}

#[test]
fn at_most_one_process_holds_the_lease_during_replica_set_changes() {
    let mut counts: BTreeMap<&str, u64> = BTreeMap::new();
    let seeds = std::env::var("KITEPASS_SEEDS").ok().and_then(|text| text.parse().ok());
    for seed in 0..seeds.unwrap_or(250) {
        let mut model = Model::new(seed);
        assert_eq!(model.run(40_000), None, "seed {seed}: two processes hold the lease");
        model.counts().iter().for_each(|(what, n)| *counts.entry(*what).or_default() += n);
    }
    println!("{counts:?}");
    assert!(counts["held"] > 20_000 && counts["epochs"] > 1_500 && counts["lost disks"] > 500, "{counts:?}");
}

/// Mutation test: in a partition during a change of the replica set, two processes hold the lease if any one of the
/// safeguards is disabled.
#[test]
fn disabling_any_safeguard_allows_two_lease_holders() {
    for (safeguard, candidate_epoch, voter_epoch, restarts) in [
        (Safeguard::RequestEpoch, 2, 3, false),
        (Safeguard::Fence, 2, 2, false),
        (Safeguard::RenewalsOnly, 2, 4, false),
        (Safeguard::JointQuorum, 3, 3, false),
        (Safeguard::PersistedVoteReplicaSet, 2, 4, true),
    ] {
        let partition = Partition { disabled: None, candidate_epoch, voter_epoch, restarts };
        let outcome = partition.run();
        assert_eq!(
            (outcome.most_holders, outcome.is_held_at_end),
            (1, true),
            "with all safeguards: {partition:?}"
        );
        let partition = Partition { disabled: Some(safeguard), ..partition };
        assert_eq!(partition.run().most_holders, 2, "{partition:?}");
    }
}
