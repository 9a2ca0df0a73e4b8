//! The parts of the state machine, each alone. What they do together is tested in the crate's `tests/`.

mod bootstrap;
mod catch_up;
mod coordinator;
mod decision;
mod membership;
mod persistence;
mod proposals;
mod quorum;
mod sessions;
mod tombstones;

use kitepass_coordination::membership::Replica;
use kitepass_coordination::protocol::Hello;
use kitepass_time::Timestamp;

/// So many milliseconds after the beginning.
fn at(millis: i64) -> Timestamp {
    Timestamp::from_micros(millis * 1_000)
}

/// The control process `s<number>` in the zone `z<number>`.
fn peer(number: u64) -> Hello {
    Hello {
        node_id: format!("s{number}"),
        address: format!("10.0.0.{number}"),
        zone: format!("z{number}"),
        incarnation: 100 + number,
        is_control_plane: true,
        replica_id: 10 + number,
        ..Hello::default()
    }
}

fn replica(number: u64) -> Replica {
    Replica::from(&peer(number))
}
