use crate::state_machine::persistence::{PendingWrite, Persistence};
use crate::state_machine::records::{self, Record, RecordedVote, StateMachineRecord};
use crate::state_machine::Action;
use rstest::rstest;

fn record(key: &str) -> Record {
    (key.as_bytes().to_vec(), vec![1])
}

#[test]
fn deferred_records_go_before_those_of_the_next_write() {
    let mut persistence = Persistence::default();
    persistence.defer([record("a"), record("b")]);
    assert!(persistence.has_deferred() && persistence.is_idle());
    let action = persistence.write(7, vec![record("c")], PendingWrite::Nothing);
    assert_eq!(action, Action::Persist(7, vec![record("a"), record("b"), record("c")]));
    assert!(!persistence.has_deferred() && !persistence.is_idle());
}

#[test]
fn a_write_on_disk_gives_what_waited_for_it_once() {
    let mut persistence = Persistence::default();
    persistence.write(1, vec![records::complete()], PendingWrite::Completeness);
    assert!(persistence.is_writing_completeness());
    assert!(matches!(persistence.write_completed(1), Some(PendingWrite::Completeness)));
    assert!(!persistence.is_writing_completeness() && persistence.is_idle());
    assert!(persistence.write_completed(1).is_none());
}

#[test]
fn an_earlier_write_that_was_never_reported_is_given_up() {
    let mut persistence = Persistence::default();
    for id in 1..=3 {
        persistence.write(id, Vec::new(), PendingWrite::Nothing);
    }
    assert!(persistence.write_completed(2).is_some());
    assert!(persistence.write_completed(1).is_none());
    assert!(!persistence.is_idle(), "the later write is still in flight");
}

#[test]
fn a_vote_is_read_back_from_its_record() {
    let vote = RecordedVote { candidate: "s1/5".to_owned(), replica_set_version: 9 };
    let (key, value) = vote.to_record();
    let Some(StateMachineRecord::Vote(read)) = records::decode(&key, &value) else { panic!("no vote") };
    assert_eq!(read, vote);
}

#[rstest]
#[case::too_short(b"s1")]
#[case::no_text(&[0, 0, 0, 0, 0, 0, 0, 1, 0xff])]
fn a_vote_in_another_form_is_nobodys(#[case] value: &[u8]) {
    let Some(StateMachineRecord::Vote(vote)) = records::decode(b"vote", value) else { panic!("no vote") };
    assert_eq!(vote, RecordedVote::default());
}

#[test]
fn live_gateways_are_read_back_from_their_record() {
    let node_ids = vec!["g1".to_owned(), "g2".to_owned()];
    for expected in [node_ids, Vec::new()] {
        let (key, value) = records::live_gateways(&expected);
        let Some(StateMachineRecord::LiveGateways(read)) = records::decode(&key, &value) else {
            panic!("no gateways")
        };
        assert_eq!(read, expected);
    }
}
