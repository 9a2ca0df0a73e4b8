use crate::state_machine::persistence::{PendingWrite, Persistence};
use crate::state_machine::records::{self, Record, RecordedVote, StateMachineRecord};
use crate::state_machine::Action;
use rstest::rstest;

fn record(key: &str) -> Record {
    (key.as_bytes().to_vec(), vec![1])
}

#[test]
fn deferred_records_precede_those_of_next_write() {
    let mut persistence = Persistence::default();
    persistence.defer([record("a"), record("b")]);
    assert!(persistence.has_deferred() && persistence.is_idle());
    let action = persistence.write(7, vec![record("c")], PendingWrite::Nothing);
    assert_eq!(action, Action::Persist(7, vec![record("a"), record("b"), record("c")]));
    assert!(!persistence.has_deferred() && !persistence.is_idle());
}

#[test]
fn completed_write_returns_its_pending_step_once() {
    let mut persistence = Persistence::default();
    persistence.write(1, vec![records::complete()], PendingWrite::Completeness);
    assert!(persistence.is_writing_completeness());
    assert!(matches!(persistence.write_completed(1), Some(PendingWrite::Completeness)));
    assert!(!persistence.is_writing_completeness() && persistence.is_idle());
    assert!(persistence.write_completed(1).is_none());
}

#[test]
fn earlier_unreported_write_is_discarded() {
    let mut persistence = Persistence::default();
    for id in 1..=3 {
        persistence.write(id, Vec::new(), PendingWrite::Nothing);
    }
    assert!(persistence.write_completed(2).is_some());
    assert!(persistence.write_completed(1).is_none());
    assert!(!persistence.is_idle(), "the last write is still in flight");
}

#[test]
fn vote_record_round_trips() {
    let vote = RecordedVote { candidate: "s1/5".to_owned(), replica_set_version: 9 };
    let (key, value) = vote.to_record();
    let Some(StateMachineRecord::Vote(read)) = records::decode(&key, &value) else { panic!("no vote") };
    assert_eq!(read, vote);
}

#[rstest]
#[case::too_short(b"s1")]
#[case::invalid_utf8(&[0, 0, 0, 0, 0, 0, 0, 1, 0xff])]
fn vote_in_other_format_decodes_to_default(#[case] value: &[u8]) {
    let Some(StateMachineRecord::Vote(vote)) = records::decode(b"vote", value) else { panic!("no vote") };
    assert_eq!(vote, RecordedVote::default());
}

#[test]
fn live_gateways_record_round_trips() {
    let node_ids = vec!["g1".to_owned(), "g2".to_owned()];
    for expected in [node_ids, Vec::new()] {
        let (key, value) = records::live_gateways(&expected);
        let Some(StateMachineRecord::LiveGateways(read)) = records::decode(&key, &value) else {
            panic!("no gateway list")
        };
        assert_eq!(read, expected);
    }
}
