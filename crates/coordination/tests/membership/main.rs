//! Exhaustive tests of changes of the replica set: all replica sets of 3 to 9 replicas over 1 to 3 regions and 2 to 6
//! zones, all steps to a next replica set, and every loss of a machine, a zone or a region with its disks during each step;
//! then the repair, and every second loss.

use kitepass_coordination::membership::{JointReplicaSets, Replica, ReplicaObservations, ReplicaSet};
use layouts::{layouts, losses, replica_set, FailureDomain, Layout, Loss};
use std::collections::{BTreeMap, BTreeSet};
use steps::{steps, Step, StepKind};

mod layouts;
mod steps;

type Names = BTreeSet<String>;

fn all_layouts() -> impl Iterator<Item = Layout> {
    (3..=9).flat_map(layouts)
}

fn names<'a>(replicas: impl IntoIterator<Item = &'a Replica>) -> Names {
    replicas.into_iter().map(Replica::name).collect()
}

fn names_without(replicas: &[Replica], loss: &Loss) -> Names {
    names(replicas.iter().filter(|replica| !loss.affects(replica)))
}

/// Whether the remaining replicas span more than one region and more than one zone, if all replicas together do.
fn is_spread(replicas: &[Replica], remaining: &Names) -> bool {
    let is_spread_over = |domain_of: fn(&Replica) -> &String| {
        let domains: BTreeSet<&String> = replicas.iter().map(domain_of).collect();
        let remaining = replicas.iter().filter(|replica| remaining.contains(&replica.name()));
        domains.len() == 1 || remaining.map(domain_of).collect::<BTreeSet<&String>>().len() > 1
    };
    is_spread_over(|replica| &replica.region) && is_spread_over(|replica| &replica.zone)
}

/// The quorums of a replica set: whether each subset of its replicas, given as a bit mask, is one.
struct Quorums {
    write: Vec<bool>,
    read: Vec<bool>,
    lease: Vec<bool>,
}

impl Quorums {
    fn of(replica_set: &ReplicaSet) -> Quorums {
        let replicas = &replica_set.replicas;
        let subset =
            |bits: usize| names((0..replicas.len()).filter(|n| bits >> n & 1 == 1).map(|n| &replicas[n]));
        let subsets: Vec<Names> = (0..1usize << replicas.len()).map(subset).collect();
        Quorums {
            write: subsets.iter().map(|subset| replica_set.is_write_quorum(subset)).collect(),
            read: subsets.iter().map(|subset| replica_set.is_read_quorum(subset)).collect(),
            lease: subsets.iter().map(|subset| replica_set.is_lease_quorum(subset)).collect(),
        }
    }

    /// Whether every quorum of one kind intersects every quorum of the other.
    fn intersect(one: &[bool], other: &[bool]) -> bool {
        let all = one.len() - 1;
        // Every superset of a quorum is a quorum, so it is enough to check each quorum against its complement, which is the
        // largest set that does not intersect it.
        (0..one.len()).all(|set| !one[set] || !other[all & !set])
    }
}

/// In every replica set, each read quorum intersects each write quorum, and any two lease quorums intersect. This also
/// holds after disks were lost, because a replica whose disk is lost is not asked and does not respond. Writes stop exactly
/// after those losses that leave no majority, or only replicas of one zone or one region of several.
#[test]
fn quorums_intersect_and_writes_stop_after_exactly_the_expected_losses() {
    let (mut replica_sets, mut stopping_losses) = (0, BTreeMap::<FailureDomain, usize>::new());
    for layout in all_layouts() {
        let replica_set = replica_set(&layout);
        replica_sets += 1;
        let quorums = Quorums::of(&replica_set);
        assert!(
            Quorums::intersect(&quorums.write, &quorums.read),
            "{layout:?}: a read quorum misses a write"
        );
        assert!(
            Quorums::intersect(&quorums.lease, &quorums.lease),
            "{layout:?}: two lease quorums do not intersect"
        );
        for loss in losses(&replica_set.replicas) {
            let rest = names_without(&replica_set.replicas, &loss);
            let takes_writes = replica_set.is_write_quorum(&rest);
            let is_majority = rest.len() * 2 > replica_set.replicas.len();
            let expected = is_majority && is_spread(&replica_set.replicas, &rest);
            assert_eq!(takes_writes, expected, "{layout:?} without {loss:?}");
            // All confirmed writes can be read, unless more than half of the replicas are lost.
            let is_half = rest.len() * 2 >= replica_set.replicas.len();
            assert_eq!(replica_set.is_read_quorum(&rest), is_half, "{layout:?} without {loss:?}");
            *stopping_losses.entry(loss.domain).or_default() += usize::from(!takes_writes);
        }
    }
    println!("replica sets={replica_sets} losses after which writes stop: {stopping_losses:?}");
    assert!(replica_sets > 300, "{replica_sets}");
}

/// A step from one replica set to the next, with the joint replica sets in between.
struct Transition<'a> {
    layout: &'a Layout,
    step: &'a Step,
    current: &'a ReplicaSet,
    next: ReplicaSet,
    joint: JointReplicaSets,
}

/// The numbers of cases that were checked.
#[derive(Default)]
struct Checked {
    steps: BTreeMap<StepKind, usize>,
    losses_during_steps: usize,
    second_losses: usize,
    /// The number of losses that the current set tolerates but the next one does not.
    no_longer_tolerated: BTreeMap<StepKind, usize>,
}

/// For every replica set and every step from it: the step can be completed after any one loss that both sets tolerate. After
/// the repair, the set contains the lost replicas under new names and tolerates the same losses as before.
#[test]
fn every_step_tolerates_a_loss_and_another_one_after_the_repair() {
    let mut checked = Checked::default();
    for layout in all_layouts() {
        let (current, mut repaired_sets) = (replica_set(&layout), BTreeSet::new());
        for step in &steps(&current) {
            let Some(next) = current.successor(&step.observations) else {
                assert!(step.kind == StepKind::Leaving, "{layout:?}: no step for {:?}", step.kind);
                continue;
            };
            *checked.steps.entry(step.kind).or_default() += 1;
            let joint = JointReplicaSets { current: current.clone(), incoming: Some(next.clone()) };
            let transition = Transition { layout: &layout, step, current: &current, next, joint };
            transition.check_step();
            transition.check_losses(&mut checked, &mut repaired_sets);
        }
    }
    let Checked { steps, losses_during_steps, second_losses, no_longer_tolerated } = checked;
    println!("steps={steps:?} losses within a step={losses_during_steps} second losses={second_losses} no longer tolerated={no_longer_tolerated:?}");
    assert!(losses_during_steps > 100_000 && second_losses > 20_000, "{losses_during_steps} {second_losses}");
}

impl Transition<'_> {
    fn kind(&self) -> StepKind {
        self.step.kind
    }

    /// Whether the replica is lost and replaced by the step.
    fn is_replaced(&self, replica: &Replica) -> bool {
        self.kind().is_replacing() && !self.next.contains(&replica.name())
    }

    /// The replicas of both sets, except for a lost one that the step replaces.
    fn available(&self) -> Vec<Replica> {
        let current = self.current.replicas.iter().filter(|replica| !self.is_replaced(replica));
        current.chain(&self.next.replicas).cloned().collect()
    }

    fn check_step(&self) {
        let (layout, kind) = (self.layout, self.kind());
        assert_eq!(self.next.version, 2);
        let observations =
            ReplicaObservations { shutting_down: Names::new(), ..self.step.observations.clone() };
        let further = self.next.successor(&observations);
        assert_eq!(further.filter(|_| !kind.is_leaving()), None, "{layout:?}: another step follows {kind:?}");
        let in_force = JointReplicaSets { current: self.next.clone(), incoming: None };
        assert_eq!((self.joint.epoch(), in_force.epoch()), (3, 4));
        // The step can be completed if a majority of the current set remains, even if the lost replica was the only one in
        // its zone or region.
        // Where it was, and the successor is in none other than the rest, no write is protected against the next loss:
        // the set takes writes again once a replica joins elsewhere.
        let remaining = self.current.replicas.iter().filter(|replica| !self.is_replaced(replica));
        let available = names(&self.available());
        let both: Vec<Replica> = self.current.replicas.iter().chain(&self.next.replicas).cloned().collect();
        let may_lose_spread =
            matches!(kind, StepKind::ReplacingUnresponsiveElsewhere | StepKind::RemovingAbandoned);
        let keeps_spread = !may_lose_spread || is_spread(&both, &available);
        if self.current.is_lease_quorum(&names(remaining)) && keeps_spread {
            assert!(self.next.is_write_quorum(&available));
            assert!(
                self.joint.is_write_quorum(&available) && self.joint.is_read_quorum(&available),
                "{layout:?}: {kind:?} cannot be completed"
            );
        }
    }

    fn check_losses(&self, checked: &mut Checked, repaired_sets: &mut BTreeSet<Vec<String>>) {
        // A step that replaces a lost replica already follows a first loss. The next one is checked after the repair only.
        if self.kind().is_replacing() {
            return;
        }
        let available = self.available();
        for loss in losses(&available) {
            checked.losses_during_steps += 1;
            let remaining = names_without(&available, &loss);
            let is_tolerated = self.check_loss(&loss, &remaining, checked);
            if is_tolerated {
                self.check_repair(&loss, remaining, checked, repaired_sets);
            }
        }
    }

    /// Returns whether both sets tolerate the loss.
    fn check_loss(&self, loss: &Loss, remaining: &Names, checked: &mut Checked) -> bool {
        let (current, next) = (self.current, &self.next);
        let takes_writes = (current.is_write_quorum(remaining), next.is_write_quorum(remaining));
        let both: Vec<Replica> = current.replicas.iter().chain(&next.replicas).cloned().collect();
        let is_majority_of_both = current.is_lease_quorum(remaining) && next.is_lease_quorum(remaining);
        let joint_takes_writes = self.joint.is_write_quorum(remaining);
        assert_eq!(joint_takes_writes, is_majority_of_both && is_spread(&both, remaining));
        assert!(joint_takes_writes || takes_writes != (true, true));
        if takes_writes == (true, false) {
            *checked.no_longer_tolerated.entry(self.kind()).or_default() += 1;
            let is_joining = matches!(self.kind(), StepKind::Joining | StepKind::Filling);
            assert!(
                is_joining || self.also_stops_writes_to_current(loss),
                "{:?}: {:?} tolerates less: {loss:?}",
                self.layout,
                self.kind()
            );
        }
        takes_writes == (true, true)
    }

    /// Whether the current set, too, could not take writes after this loss if the replicas that are shutting down were
    /// gone. Losing the successor of a replica that shuts down is then no worse than losing that replica.
    fn also_stops_writes_to_current(&self, loss: &Loss) -> bool {
        let leaves = |replica: &Replica| {
            self.step.observations.shutting_down.contains(&replica.name()) || loss.affects(replica)
        };
        let rest = self.current.replicas.iter().filter(|replica| !leaves(replica));
        !self.current.is_write_quorum(&names(rest))
    }

    /// Completes the step, and then adds the lost replicas again with empty disks.
    fn check_repair(
        &self,
        loss: &Loss,
        remaining: Names,
        checked: &mut Checked,
        repaired_sets: &mut BTreeSet<Vec<String>>,
    ) {
        let next = &self.next;
        let rejoin = |replica: &Replica| {
            let replica_id = if loss.affects(replica) { 77 } else { replica.replica_id };
            Replica { replica_id, ..replica.clone() }
        };
        let complete: BTreeSet<Replica> = next.replicas.iter().map(rejoin).collect();
        let observations =
            ReplicaObservations { complete: complete.clone(), ..ReplicaObservations::default() };
        let repaired = next.successor(&observations).unwrap_or_else(|| next.clone());
        let replicas: BTreeSet<Replica> = repaired.replicas.iter().cloned().collect();
        assert_eq!(replicas, complete, "{:?}", self.layout);
        let joint = JointReplicaSets { current: next.clone(), incoming: Some(repaired.clone()) };
        assert!(joint.is_write_quorum(&remaining.into_iter().chain(names(&complete)).collect()));
        // Second losses depend only on the nodes, so they are checked once per set of nodes.
        let node_ids = next.replicas.iter().map(|replica| replica.node_id.clone()).collect();
        if repaired_sets.insert(node_ids) {
            check_second_losses(next, &repaired, checked);
        }
    }
}

/// Checks that the repaired set tolerates the same losses as the set before the first loss.
fn check_second_losses(next: &ReplicaSet, repaired: &ReplicaSet, checked: &mut Checked) {
    for loss in losses(&repaired.replicas) {
        checked.second_losses += 1;
        let remaining_of_repaired = names_without(&repaired.replicas, &loss);
        let remaining_of_next = names_without(&next.replicas, &loss);
        assert_eq!(
            repaired.is_write_quorum(&remaining_of_repaired),
            next.is_write_quorum(&remaining_of_next)
        );
        assert_eq!(repaired.is_read_quorum(&remaining_of_repaired), next.is_read_quorum(&remaining_of_next));
    }
}
