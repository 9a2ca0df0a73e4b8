use super::*;

#[test]
fn outcomes_are_counted_by_kind() {
    let mut log = OutcomeLog::default();
    for (status, routes) in [(404, 0), (404, 0), (404, 7), (401, 7), (502, 7), (502, 8), (504, 7)] {
        log.record_local_response(status, routes);
    }
    let cut = Outcome::Cut { reason: "aborted", is_shutting_down: true };
    log.record(cut);
    let expected = [
        (Outcome::Rejected { status: 401, routes: 7 }, 1),
        (Outcome::Rejected { status: 404, routes: 0 }, 2),
        (Outcome::Rejected { status: 404, routes: 7 }, 1),
        (Outcome::Failed { status: 502 }, 2),
        (Outcome::Failed { status: 504 }, 1),
        (cut, 1),
    ];
    assert_eq!(log.counts.clone().into_iter().collect::<Vec<_>>(), expected);
    log.log_period();
    assert!(log.counts.is_empty());
}

#[test]
fn responses_that_are_neither_wrong_nor_failed_are_not_counted() {
    let mut log = OutcomeLog::default();
    for status in [200, 429, 503] {
        log.record_local_response(status, 7);
    }
    assert!(log.counts.is_empty());
}
