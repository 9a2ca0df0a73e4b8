//! Every replica set of 3 to 9 replicas over 1 to 3 regions and 2 to 6 zones, every step from it to the next one, and at
//! every phase of that step every loss of a machine, a zone or a region with its disks; then the repair, and a second
//! loss.

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
    names(replicas.iter().filter(|replica| !loss.has(replica)))
}

/// Whether the named replicas lie in more than one region and in more than one zone, where all of them do.
fn is_spread(replicas: &[Replica], left: &Names) -> bool {
    let is_spread_over = |place: fn(&Replica) -> &String| {
        let places: BTreeSet<&String> = replicas.iter().map(place).collect();
        let left = replicas.iter().filter(|replica| left.contains(&replica.name()));
        places.len() == 1 || left.map(place).collect::<BTreeSet<&String>>().len() > 1
    };
    is_spread_over(|replica| &replica.region) && is_spread_over(|replica| &replica.zone)
}

/// A replica set's quorums: whether each set of its replicas, by bits, is one.
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

    /// Whether each quorum of the one kind meets each of the other.
    fn intersect(one: &[bool], other: &[bool]) -> bool {
        let all = one.len() - 1;
        // What has a quorum in it is one too, so that the rest is the largest set that a set does not meet.
        (0..one.len()).all(|set| !one[set] || !other[all & !set])
    }
}

/// In every replica set: each read quorum meets each write quorum, and two lease quorums meet. This holds whatever disks
/// were lost, as a replica whose disk is gone neither responds nor is asked; and a lost machine leaves a write quorum, a lost
/// zone or region too, but where it has half of the replicas or more, or all but those of one place: exactly those
/// layouts stop.
#[test]
fn quorums_intersect_in_every_replica_set_and_what_a_loss_leaves_is_known() {
    let (mut replica_sets, mut stopped) = (0, BTreeMap::<FailureDomain, usize>::new());
    for layout in all_layouts() {
        let replica_set = replica_set(&layout);
        replica_sets += 1;
        let quorums = Quorums::of(&replica_set);
        assert!(Quorums::intersect(&quorums.write, &quorums.read), "{layout:?}: a reading misses a write");
        assert!(Quorums::intersect(&quorums.lease, &quorums.lease), "{layout:?}: two leases");
        for loss in losses(&replica_set.replicas) {
            let rest = names_without(&replica_set.replicas, &loss);
            let takes_writes = replica_set.is_write_quorum(&rest);
            let is_majority = rest.len() * 2 > replica_set.replicas.len();
            let expected = is_majority && is_spread(&replica_set.replicas, &rest);
            assert_eq!(takes_writes, expected, "{layout:?} without {loss:?}");
            // What was confirmed can be read, unless more than half is gone.
            let is_half = rest.len() * 2 >= replica_set.replicas.len();
            assert_eq!(replica_set.is_read_quorum(&rest), is_half, "{layout:?} without {loss:?}");
            *stopped.entry(loss.domain).or_default() += usize::from(!takes_writes);
        }
    }
    println!("replica sets={replica_sets} losses after which writes stop: {stopped:?}");
    assert!(replica_sets > 300, "{replica_sets}");
}

/// A step from one replica set to the next.
struct Transition<'a> {
    layout: &'a Layout,
    step: &'a Step,
    current: &'a ReplicaSet,
    next: ReplicaSet,
    joint: JointReplicaSets,
}

/// What was checked.
#[derive(Default)]
struct Checked {
    steps: BTreeMap<StepKind, usize>,
    losses_within_a_step: usize,
    second_losses: usize,
    /// Losses that the set before tolerates, and the one after does not.
    tolerated_no_more: BTreeMap<StepKind, usize>,
}

/// From every replica set by every step: at each phase each loss that both sets tolerate leaves the step able to end, and
/// after the repair the set has the replicas that were lost under new names and tolerates a second loss wherever it
/// tolerated the first.
#[test]
fn at_every_phase_of_every_step_one_loss_is_tolerated_and_another_after_the_repair() {
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
    let Checked { steps, losses_within_a_step, second_losses, tolerated_no_more } = checked;
    println!("steps={steps:?} losses within a step={losses_within_a_step} second losses={second_losses} tolerated no more={tolerated_no_more:?}");
    assert!(
        losses_within_a_step > 100_000 && second_losses > 20_000,
        "{losses_within_a_step} {second_losses}"
    );
}

impl Transition<'_> {
    fn kind(&self) -> StepKind {
        self.step.kind
    }

    /// Whether a replica is the one that is being replaced, and is lost.
    fn is_replaced(&self, replica: &Replica) -> bool {
        self.kind().is_replacing() && !self.next.contains(&replica.name())
    }

    /// The replicas of both sets that are not lost.
    fn alive(&self) -> Vec<Replica> {
        let current = self.current.replicas.iter().filter(|replica| !self.is_replaced(replica));
        current.chain(&self.next.replicas).cloned().collect()
    }

    fn check_step(&self) {
        let (layout, kind) = (self.layout, self.kind());
        assert_eq!(self.next.version, 2);
        let observations =
            ReplicaObservations { shutting_down: Names::new(), ..self.step.observations.clone() };
        let further = self.next.successor(&observations);
        assert_eq!(further.filter(|_| !kind.is_leaving()), None, "{layout:?}: {kind:?} goes on");
        let in_force = JointReplicaSets { current: self.next.clone(), incoming: None };
        assert_eq!((self.joint.epoch(), in_force.epoch()), (3, 4));
        // It ends wherever a majority is left and the next set itself takes writes, whatever places the lost replica had
        // alone.
        let left = self.current.replicas.iter().filter(|replica| !self.is_replaced(replica));
        if self.current.is_lease_quorum(&names(left)) {
            let alive = names(&self.alive());
            assert!(self.next.is_write_quorum(&alive));
            assert!(
                self.joint.is_write_quorum(&alive) && self.joint.is_read_quorum(&alive),
                "{layout:?}: {kind:?} cannot end"
            );
        }
    }

    fn check_losses(&self, checked: &mut Checked, repaired_sets: &mut BTreeSet<Vec<String>>) {
        // A disk that is being replaced is the loss itself: one more comes after its repair.
        if self.kind().is_replacing() {
            return;
        }
        let alive = self.alive();
        for loss in losses(&alive) {
            checked.losses_within_a_step += 1;
            let left = names_without(&alive, &loss);
            let is_tolerated = self.check_loss(&loss, &left, checked);
            if is_tolerated {
                self.check_repair(&loss, left, checked, repaired_sets);
            }
        }
    }

    /// Whether both sets still take writes.
    fn check_loss(&self, loss: &Loss, left: &Names, checked: &mut Checked) -> bool {
        let (current, next) = (self.current, &self.next);
        let takes_writes = (current.is_write_quorum(left), next.is_write_quorum(left));
        let both: Vec<Replica> = current.replicas.iter().chain(&next.replicas).cloned().collect();
        let is_majority_of_both = current.is_lease_quorum(left) && next.is_lease_quorum(left);
        let joint_takes_writes = self.joint.is_write_quorum(left);
        assert_eq!(joint_takes_writes, is_majority_of_both && is_spread(&both, left));
        assert!(joint_takes_writes || takes_writes != (true, true));
        if takes_writes == (true, false) {
            *checked.tolerated_no_more.entry(self.kind()).or_default() += 1;
            let is_joining = matches!(self.kind(), StepKind::Joining | StepKind::Filling);
            assert!(
                is_joining || self.is_missed_as_much(loss),
                "{:?}: {:?} tolerates less: {loss:?}",
                self.layout,
                self.kind()
            );
        }
        takes_writes == (true, true)
    }

    /// Where it is the successor that is lost, the one that leaves would have been missed as much.
    fn is_missed_as_much(&self, loss: &Loss) -> bool {
        let leaves = |replica: &Replica| {
            self.step.observations.shutting_down.contains(&replica.name()) || loss.has(replica)
        };
        let rest = self.current.replicas.iter().filter(|replica| !leaves(replica));
        !self.current.is_write_quorum(&names(rest))
    }

    /// The step ends, and the replicas that were lost come back with empty disks and are let in.
    fn check_repair(
        &self,
        loss: &Loss,
        left: Names,
        checked: &mut Checked,
        repaired_sets: &mut BTreeSet<Vec<String>>,
    ) {
        let next = &self.next;
        let come_back = |replica: &Replica| {
            let replica_id = if loss.has(replica) { 77 } else { replica.replica_id };
            Replica { replica_id, ..replica.clone() }
        };
        let complete: BTreeSet<Replica> = next.replicas.iter().map(come_back).collect();
        let observations =
            ReplicaObservations { complete: complete.clone(), ..ReplicaObservations::default() };
        let repaired = next.successor(&observations).unwrap_or_else(|| next.clone());
        let replicas: BTreeSet<Replica> = repaired.replicas.iter().cloned().collect();
        assert_eq!(replicas, complete, "{:?}", self.layout);
        let joint = JointReplicaSets { current: next.clone(), incoming: Some(repaired.clone()) };
        assert!(joint.is_write_quorum(&left.into_iter().chain(names(&complete)).collect()));
        // A second loss asks for places alone: once for each set of the same places.
        let places = next.replicas.iter().map(|replica| replica.node_id.clone()).collect();
        if repaired_sets.insert(places) {
            check_second_losses(next, &repaired, checked);
        }
    }
}

/// The repaired set tolerates what the set before the loss does.
fn check_second_losses(next: &ReplicaSet, repaired: &ReplicaSet, checked: &mut Checked) {
    for loss in losses(&repaired.replicas) {
        checked.second_losses += 1;
        let left_of_repaired = names_without(&repaired.replicas, &loss);
        let left_of_next = names_without(&next.replicas, &loss);
        assert_eq!(repaired.is_write_quorum(&left_of_repaired), next.is_write_quorum(&left_of_next));
        assert_eq!(repaired.is_read_quorum(&left_of_repaired), next.is_read_quorum(&left_of_next));
    }
}
