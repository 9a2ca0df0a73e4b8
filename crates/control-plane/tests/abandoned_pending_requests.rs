//! Requests that are pending at a process which cannot reach the others, when their caller turns to another process: they
//! must not take effect after what the caller did there.

mod cluster;

use cluster::{timestamp, Cluster};
use kitepass_config::{parse_change_request, Item, SchemaValidator};
use kitepass_control_plane::request::{Request, Response};
use kitepass_coordination::protocol::Message;
use rstest::rstest;

const SEEDS: u64 = 30;
const ZONE: &str = "c2";
/// Time after which a caller without a response turns to another process, in milliseconds.
const CALLER_PATIENCE: i64 = 1_000;
/// Time after which a caller whose connection fails turns to another process, in milliseconds.
const CONNECTION_LIFETIME: i64 = 200;
/// How long messages are still held up after that, in milliseconds. The process does not lose contact by then.
const REMAINING_PARTITION: i64 = 150;
const MAX_RESPONSE_TIME: i64 = 2_000;
/// Time in which every pending request and every accepted proposal is resolved, in milliseconds.
const RESOLUTION_TIME: i64 = 8_000;

fn evacuation(evacuated: bool) -> Request {
    Request::Evacuate { zone: ZONE.into(), evacuated }
}

fn change(body: &str) -> Vec<Item> {
    parse_change_request(&SchemaValidator::new(), body.as_bytes()).expect("a valid change")
}

fn service() -> Request {
    Request::Patch(change(
        r#"{"deliver":{"carrier-lines":{"headings":["name","checkpoint","berth-cap","edition"],
            "entries":[["l","/c",100,"r1"]]}}}"#,
    ))
}

/// A route to the service above.
fn route() -> Request {
    Request::Patch(change(
        r#"{"deliver":{"itineraries":{"headings":["name","depot","lane-prefix","mail-kind","deadline-ms","target-ms",
            "tries","edition","line"],"entries":[["r","h.example","/p/","safe",3000,500,1,"r1","l"]]}}}"#,
    ))
}

/// Steps until the request has a response, and returns it.
fn response(cluster: &mut Cluster, request_id: u64) -> Response {
    let until = cluster.now + MAX_RESPONSE_TIME;
    while !cluster.responses.contains_key(&request_id) && cluster.now < until {
        cluster.step();
    }
    cluster.responses.get(&request_id).expect("a response in time").1.clone()
}

/// Makes a request at a process that reaches the others, until it has a final response.
fn call(cluster: &mut Cluster, request: &Request) -> Response {
    for attempt in 0..8 {
        let request_id = cluster.request(1 + attempt % 5, request.clone());
        let response = response(cluster, request_id);
        if !matches!(response, Response::Unavailable(_) | Response::Redirect(_)) {
            return response;
        }
    }
    panic!("no final response");
}

/// Advances the cluster for `millis`, while messages from and to process 0 are held up until `until`.
fn run_with_messages_held_up(cluster: &mut Cluster, millis: i64, until: i64) {
    let end = cluster.now + millis;
    while cluster.now < end {
        for message in cluster.in_flight.iter_mut().filter(|message| message.from == 0 || message.to == 0) {
            message.due_at = message.due_at.max(until);
        }
        cluster.step();
    }
}

fn is_evacuated(cluster: &Cluster, n: usize) -> bool {
    cluster.state_machine(n).evacuated_zones().iter().any(|zone| zone == ZONE)
}

fn serving_cluster(seed: u64) -> Cluster {
    let mut cluster = Cluster::new(seed);
    cluster.run(4_000);
    assert_eq!(cluster.serving_count(), 6, "seed {seed}");
    cluster
}

/// Makes a request at process 0 while its messages are held up. Its caller leaves, because its connection fails, which the
/// process notices, or because it has waited long enough, and makes other requests elsewhere.
fn abandon(
    cluster: &mut Cluster,
    request: &Request,
    is_departure_noticed: bool,
    elsewhere: impl FnOnce(&mut Cluster),
) {
    let waits = if is_departure_noticed { CONNECTION_LIFETIME } else { CALLER_PATIENCE };
    let until = cluster.now + waits + REMAINING_PARTITION;
    let request_id = cluster.request(0, request.clone());
    run_with_messages_held_up(cluster, waits, until);
    if is_departure_noticed {
        let now = timestamp(cluster.now);
        cluster.state_machine_mut(0).caller_left(now, request_id);
    }
    // What is done elsewhere takes no time here, so that it is always done before the messages arrive.
    let (now, held_up): (i64, Vec<_>) = (
        cluster.now,
        cluster.in_flight.extract_if(.., |message| message.from == 0 || message.to == 0).collect(),
    );
    elsewhere(cluster);
    let elapsed = cluster.now - now;
    let released = held_up
        .into_iter()
        .map(|message| cluster::InFlightMessage { due_at: message.due_at + elapsed, ..message });
    cluster.in_flight.extend(released);
    cluster.run(RESOLUTION_TIME);
}

/// Guards against a request that is pending when its caller leaves, and that takes the next version once its process reaches
/// the others again.
#[rstest]
fn a_pending_request_does_not_undo_a_later_one(
    #[values(true, false)] abandoned: bool,
    #[values(true, false)] is_departure_noticed: bool,
) {
    for seed in 0..SEEDS {
        let mut cluster = serving_cluster(seed);
        assert_eq!(call(&mut cluster, &evacuation(!abandoned)), Response::Done);
        abandon(&mut cluster, &evacuation(abandoned), is_departure_noticed, |cluster| {
            assert_eq!(call(cluster, &evacuation(abandoned)), Response::Done);
            assert_eq!(call(cluster, &evacuation(!abandoned)), Response::Done);
        });
        for n in 0..6 {
            assert_eq!(is_evacuated(&cluster, n), !abandoned, "seed {seed}: s{n}");
        }
    }
}

/// Steps until process 0 has sent its proposal to the others.
fn run_until_proposed(cluster: &mut Cluster) {
    let until = cluster.now + MAX_RESPONSE_TIME;
    let is_proposal = |message: &cluster::InFlightMessage| {
        message.from == 0 && matches!(message.message, Message::AcceptRequest(_))
    };
    while !cluster.in_flight.iter().any(is_proposal) {
        assert!(cluster.now < until, "no proposal in time");
        cluster.step();
    }
}

/// Guards against a proposal that only its own process has accepted when its caller leaves, and that is completed after a
/// later request has been acknowledged which found nothing to change.
#[rstest]
fn a_proposed_request_does_not_undo_a_later_one(
    #[values(true, false)] abandoned: bool,
    #[values(true, false)] is_repeated_elsewhere: bool,
    #[values(true, false)] is_lost: bool,
) {
    for seed in 0..SEEDS {
        let mut cluster = serving_cluster(seed);
        assert_eq!(call(&mut cluster, &evacuation(!abandoned)), Response::Done);
        cluster.run(RESOLUTION_TIME);
        let request_id = cluster.request(0, evacuation(abandoned));
        run_until_proposed(&mut cluster);
        let until = cluster.now + CALLER_PATIENCE + REMAINING_PARTITION;
        run_with_messages_held_up(&mut cluster, CALLER_PATIENCE, until);
        let now = timestamp(cluster.now);
        cluster.state_machine_mut(0).caller_left(now, request_id);
        if is_repeated_elsewhere {
            assert_eq!(call(&mut cluster, &evacuation(abandoned)), Response::Done);
        }
        assert_eq!(call(&mut cluster, &evacuation(!abandoned)), Response::Done);
        if is_lost {
            cluster.in_flight.retain(|message| message.from != 0);
        }
        cluster.run(RESOLUTION_TIME);
        for n in 0..6 {
            assert_eq!(is_evacuated(&cluster, n), !abandoned, "seed {seed}: s{n}");
        }
    }
}

/// Guards against a pending change that takes effect although it was rejected elsewhere, after it has become valid.
#[rstest]
fn a_pending_change_that_was_rejected_elsewhere_is_not_in_force(
    #[values(true, false)] is_departure_noticed: bool,
) {
    for seed in 0..SEEDS {
        let mut cluster = serving_cluster(seed);
        abandon(&mut cluster, &route(), is_departure_noticed, |cluster| {
            assert!(matches!(call(cluster, &route()), Response::Invalid(_)), "seed {seed}");
            assert_eq!(call(cluster, &service()), Response::Done);
        });
        for n in 0..6 {
            let route = cluster.state_machine(n).item_store().get(kitepass_config::Kind::Route, "r");
            assert!(route.is_none(), "seed {seed}: the rejected change is in force at s{n}");
        }
        assert_eq!(call(&mut cluster, &route()), Response::Done, "seed {seed}: the change is valid now");
    }
}
