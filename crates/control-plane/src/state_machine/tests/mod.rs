//! Unit tests of the state machine's components. Their interaction is tested in the crate's `tests/` directory.

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

/// The time this many milliseconds after the start of a test.
fn at(millis: i64) -> Timestamp {
    Timestamp::from_micros(millis * 1_000)
}

/// The handshake message of control process `s<number>` in zone `z<number>`.
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
