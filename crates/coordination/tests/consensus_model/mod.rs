//! A model of consensus as a whole: replicas with the acceptor that ships, proposers that go by the evaluation that ships,
//! a network that loses, delays and reorders, replicas that restart, and one change of the replica set. `stateright`
//! explores small systems completely; long random walks go through larger ones.
//!
//! | module | what it has |
//! | --- | --- |
//! | `setup` | what is modelled, and its bounds; the systems by name |
//! | `state` | replicas, proposers and messages in flight |
//! | `proposing`, `replicas` | the steps of proposers and of replicas |
//! | `properties` | what must hold in every state |
//! | `symmetry` | replicas that differ by their names alone |
//! | `exploration` | all schedules |
//! | `walks` | random schedules |
//! | `race` | how rivals fare in time |
//!
//! A proposer that crashes is one that takes no further step: its messages still arrive, or do not.

#![allow(dead_code)] // Each target that includes the model uses a part of it.

mod exploration;
mod properties;
mod proposing;
mod race;
mod replicas;
mod setup;
mod state;
mod symmetry;
mod walks;

#[allow(unused_imports)] // As above.
pub(crate) use self::{
    exploration::{explore, CONFIRMED},
    race::{Race, RaceResult},
    setup::{ReplicaSetSafeguard, Setup, SYSTEMS},
    walks::run_random_walks,
};
