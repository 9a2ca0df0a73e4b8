use super::at;
use crate::state_machine::sessions::Sessions;
use crate::state_machine::Action;
use kitepass_config::{Item, ItemStore, Kind};
use kitepass_coordination::protocol::{BucketDigests, Extent, Heartbeat, Hello, Message};
use kitepass_coordination::sessions::SessionTable;

fn gateway(number: u64) -> Hello {
    Hello { node_id: format!("g{number}"), incarnation: number, ..Hello::default() }
}

fn sessions(ids: impl IntoIterator<Item = u64>) -> Sessions {
    let mut sessions = Sessions::new(SessionTable::default());
    ids.into_iter().for_each(|id| sessions.open(at(0), id, gateway(id)));
    sessions
}

fn heartbeat(digest: u64, is_ready: bool) -> Heartbeat {
    Heartbeat { digest, is_ready, ..Heartbeat::default() }
}

#[test]
fn two_consecutive_digest_mismatches_make_a_gateway_stale() {
    let mut sessions = sessions([1]);
    let is_stale =
        [6, 5, 6, 6, 6].map(|digest| sessions.receive_heartbeat(1, &heartbeat(digest, false), 5).is_stale);
    assert_eq!(is_stale, [false, false, false, true, false]);
}

#[test]
fn gateway_that_is_catching_up_is_not_stale() {
    let mut sessions = sessions([1]);
    sessions.enqueue_catch_up(1, BucketDigests::default());
    assert!((0..4).all(|_| !sessions.receive_heartbeat(1, &heartbeat(6, false), 5).is_stale));
}

#[test]
fn readiness_change_is_reported_once() {
    let mut sessions = sessions([1]);
    let changes = [false, true, true, false]
        .map(|is_ready| sessions.receive_heartbeat(1, &heartbeat(5, is_ready), 5).has_readiness_changed);
    assert_eq!(changes, [false, true, false, true]);
}

#[test]
fn list_is_announced_on_change_and_periodically() {
    let mut sessions = sessions([1]);
    let announce = |sessions: &mut Sessions, millis| {
        sessions.announcement(at(millis), "s0", 7).map(|list| (list.sequence, list.members.len()))
    };
    assert_eq!(announce(&mut sessions, 0), Some((1, 1)));
    sessions.message_received(at(3_000), 1);
    assert_eq!(announce(&mut sessions, 3_999), None);
    assert_eq!(announce(&mut sessions, 4_000), Some((1, 1)), "the list is unchanged");
    sessions.open(at(4_100), 2, gateway(2));
    assert_eq!(announce(&mut sessions, 4_100), Some((2, 2)));
    sessions.force_announcement();
    assert_eq!(announce(&mut sessions, 4_200), Some((2, 2)), "a new peer needs the list");
}

#[test]
fn newest_session_of_a_gateway_is_used() {
    let mut sessions = sessions([3]);
    sessions.open(at(10), 8, gateway(3));
    assert_eq!(sessions.newest_session_of(3), Some(8));
    assert_eq!(sessions.close(8).as_deref(), Some("g3"));
    assert_eq!(sessions.newest_session_of(3), Some(3));
    assert_eq!(sessions.newest_session_of(4), None);
}

#[test]
fn silent_gateway_is_no_longer_a_member_and_later_its_session_times_out() {
    let mut sessions = sessions([1, 2]);
    let members = |sessions: &mut Sessions, millis| {
        sessions.force_announcement();
        let list = sessions.announcement(at(millis), "s0", 7).expect("a forced announcement");
        list.members.into_iter().map(|member| member.node_id).collect::<Vec<_>>()
    };
    sessions.message_received(at(1_000), 2);
    assert_eq!(members(&mut sessions, 1_500), ["g1", "g2"]);
    assert_eq!(members(&mut sessions, 1_501), ["g2"]);
    // A delayed message arrives.
    sessions.message_received(at(1_600), 1);
    assert_eq!(members(&mut sessions, 1_700), ["g1", "g2"]);
    assert!(sessions.timed_out_sessions(at(11_000)).is_empty());
    assert_eq!(sessions.timed_out_sessions(at(11_001)), [2]);
}

#[test]
fn missing_items_are_sent_in_chunks_one_at_a_time() {
    let mut item_store = ItemStore::new();
    for number in 0..40 {
        let value = Some(vec![b'x'; 32 * 1024].into());
        item_store.apply(Item { kind: Kind::Service, name: format!("l{number}").into(), version: 1, value });
    }
    let mut sessions = sessions([1]);
    sessions.enqueue_catch_up(
        1,
        BucketDigests { digests: ItemStore::new().bucket_hashes().to_vec(), ends_transfer: false },
    );
    let (mut items, mut chunks) = (0, 0);
    loop {
        let actions = sessions.send_chunks(at(0), &item_store);
        if actions.is_empty() {
            break;
        }
        for action in actions {
            match action {
                Action::SendItems(1, sent) => {
                    assert_eq!(sent.extent, Extent::Transfer);
                    (items, chunks) = (items + sent.items.len(), chunks + 1);
                }
                Action::SendToSession(1, Message::BucketDigests(digests)) => assert!(digests.ends_transfer),
                other => panic!("{other:?}"),
            }
        }
        sessions.chunk_delivered(1);
    }
    assert_eq!(items, 40);
    assert!(chunks > 1, "{chunks} chunks");
    assert!(!sessions.is_catching_up(1));
}

#[test]
fn live_gateways_follow_the_session_table() {
    let mut sessions = sessions([1]);
    assert!(!sessions.refresh_live_gateways());
    sessions.announcement(at(0), "s0", 7);
    assert!(sessions.refresh_live_gateways());
    assert_eq!(sessions.live_node_ids(), ["g1"]);
    assert!(!sessions.refresh_live_gateways());
}
