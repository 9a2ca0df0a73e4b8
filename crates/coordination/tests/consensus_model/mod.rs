//! A model of the complete consensus protocol: replicas and proposers that run the production acceptor and evaluation of
//! proposals, a network that loses, delays and reorders messages, replicas that restart, and one change of the replica
//! set. Small systems are explored completely with `stateright`, larger ones with long random walks.
//!
//! | module | content |
//! | --- | --- |
//! | `setup` | the modelled systems by name, and the bounds of an exploration |
//! | `state` | the state of replicas, proposers and messages in flight |
//! | `proposing`, `replicas` | the actions of proposers and of replicas |
//! | `properties` | the properties that must hold in every state |
//! | `symmetry` | symmetry reduction for interchangeable replicas |
//! | `exploration` | exploration of all schedules |
//! | `walks` | random walks |
//! | `race` | how long competing proposers take |
//!
//! A crash of a proposer needs no action of its own: it is a schedule in which the proposer takes no further step. Its
//! messages may still arrive.

#![allow(dead_code)] // Each target that includes this module uses only part of it.

mod exploration;
mod properties;
mod proposing;
mod race;
mod replicas;
mod setup;
mod state;
mod symmetry;
mod walks;

#[allow(unused_imports)] // For the same reason.
pub(crate) use self::{
    exploration::{explore, CONFIRMED},
    race::{Race, RaceResult},
    setup::{ReplicaSetSafeguard, Setup, SYSTEMS},
    walks::run_random_walks,
};
