use super::*;

#[test]
fn rejections_are_counted_by_status_and_active_routes() {
    let mut rejections = RejectionLog::default();
    for (status, routes) in [(404, 0), (404, 0), (404, 7), (401, 7)] {
        rejections.record(status, routes);
    }
    let count = |status, routes| rejections.counts.get(&RejectionKind { status, routes }).copied();
    assert_eq!([count(404, 0), count(404, 7), count(401, 7)], [Some(2), Some(1), Some(1)]);
    rejections.log_period();
    assert!(rejections.counts.is_empty());
}

#[test]
fn responses_that_are_no_client_errors_are_not_counted() {
    let mut rejections = RejectionLog::default();
    for status in [200, 429, 500, 503, 504] {
        rejections.record(status, 7);
    }
    assert!(rejections.counts.is_empty());
}
