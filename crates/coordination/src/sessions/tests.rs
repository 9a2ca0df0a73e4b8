//! Tests of sessions that end, move to another control process, and start again.

use super::*;

fn at(seconds: i64) -> Timestamp {
    Timestamp::from_micros(seconds * 1_000_000)
}

/// A session list of gateways, each with its readiness.
fn list(sequence: u64, gateways: &[(&str, bool)]) -> SessionList {
    let member = |(node_id, is_ready): &(&str, bool)| Member {
        node_id: node_id.to_string(),
        is_ready: *is_ready,
        ..Member::default()
    };
    SessionList { sequence, members: gateways.iter().map(member).collect() }
}

#[test]
fn a_lost_gateway_is_no_member_but_stays_live_for_a_while() {
    let mut table = SessionTable::default();
    assert!(table.update(at(0), "c1", 1, &list(1, &[("a", true), ("b", true)])));
    assert!(table.update(at(0), "c2", 1, &list(1, &[("c", true)])));
    table.expire(at(0));
    assert_eq!(table.live_node_ids(), ["a", "b", "c"]);
    // A gateway is lost, and an older list that arrives late does not bring it back.
    assert!(table.update(at(1), "c1", 1, &list(3, &[("a", true)])));
    assert!(!table.update(at(1), "c1", 1, &list(2, &[("a", true), ("b", true)])));
    table.expire(at(1));
    assert_eq!((table.members().len(), table.live_node_ids().len()), (2, 3));
    // A control process falls silent, and its gateway reconnects to another one, not ready at first.
    table.update(at(3), "c2", 1, &list(2, &[("c", true), ("a", false)]));
    assert!(table.members()["a"].is_ready);
    table.heartbeat_received(at(6), "c2", 1);
    table.expire(at(6));
    assert!(!table.members()["a"].is_ready);
    table.heartbeat_received(at(9), "c2", 1);
    table.expire(at(9));
    table.heartbeat_received(at(12), "c2", 1);
    table.expire(at(12));
    assert_eq!(table.live_node_ids(), ["a", "c"]);
    // The next incarnation starts its sequence numbers from the beginning.
    assert!(table.update(at(12), "c1", 2, &list(1, &[("d", true)])));
}
