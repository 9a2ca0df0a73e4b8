//! SIGTERM while clients of the operator API wait for responses.

mod support;

use rstest::rstest;
use rustix::net::sockopt;
use rustix::process::Signal;
use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;
use support::cluster::{request, Cluster, Connection};
use support::long_change;

/// A change of this many services is parsed by the worker thread, and the configuration is encoded by it.
const MANY_SERVICES: usize = 4_000;
/// A configuration of this many long changes exceeds what the sockets buffer.
const LONG_CHANGES: usize = 4;
const LONG_CHANGE_BYTES: usize = 2 * 1024 * 1024;
/// A change request is shorter than asked for by at most this much.
const MAX_SHORTFALL_BYTES: usize = 30_000;

/// After this time a process has done what was pending, and all its periodic work is due.
const STANDSTILL: Duration = Duration::from_millis(1_100);

/// A change request that publishes services.
fn change(services: usize, version: u64) -> String {
    let entry = |n| format!("[\"service-with-a-long-name-{n}\",\"/well\",100,\"r{version}\"]");
    let entries: Vec<String> = (0..services).map(entry).collect();
    format!(
        r#"{{"deliver":{{"carrier-lines":{{"headings":["name","checkpoint","berth-cap","edition"],"entries":[{}]}}}}}}"#,
        entries.join(",")
    )
}

/// Guards against a process that ends while a request that it has read is with its worker, or with its peers.
#[rstest]
#[case::short_change(request("POST", "Timetable.Patch", &change(1, 2)))]
#[case::long_change(request("POST", "Timetable.Patch", &change(MANY_SERVICES, 2)))]
#[case::long_configuration(request("GET", "Timetable.Get", ""))]
fn a_request_that_was_read_is_answered_in_spite_of_sigterm(#[case] request: String) {
    let mut cluster = Cluster::start();
    assert_eq!(cluster.connect().call("POST", "Timetable.Patch", &change(MANY_SERVICES, 1)).0, 200);
    let mut client = cluster.connect();
    // Once the process continues, the request and the signal are pending at the same time.
    cluster.signal_first_process(Signal::STOP);
    client.stream.write_all(request.as_bytes()).expect("written");
    cluster.signal_first_process(Signal::TERM);
    cluster.signal_first_process(Signal::CONT);
    let (status, body) = client.receive();
    assert!([200, 307, 503].contains(&status), "{status} {body}");
    assert!(cluster.children[0].wait().expect("ended").success());
}

/// Guards against a process that has nothing to hand over and closes its listeners, when it notices SIGTERM, with clients'
/// connections in their backlog.
#[rstest]
#[case::operator_api(|cluster: &Cluster| cluster.operator_api, request("POST", "Timetable.Patch", &change(1, 1)))]
#[case::directory_api(|cluster: &Cluster| cluster.directory_api, request("GET", "route-lookup?host=h.example&path=/p/", ""))]
fn a_request_on_a_connection_that_was_not_accepted_is_answered_in_spite_of_sigterm(
    #[case] listener: fn(&Cluster) -> SocketAddr,
    #[case] request: String,
) {
    let mut cluster = Cluster::start_alone();
    // A process that is stopped while it waits for events continues without any, and notices the signal first.
    let idle_client = cluster.connect();
    assert!(idle_client.has_no_response_within(STANDSTILL));
    cluster.signal_first_process(Signal::STOP);
    let mut client = Connection::open(listener(&cluster));
    client.send(&request);
    assert!(client.has_no_response_within(STANDSTILL));
    cluster.signal_first_process(Signal::TERM);
    cluster.signal_first_process(Signal::CONT);
    let (status, body) = client.receive();
    assert!([307, 503].contains(&status), "{status} {body}");
    assert!(client.is_closed_by_peer());
    assert!(cluster.children[0].wait().expect("ended").success());
}

/// Guards against a process that ends before its clients have read what it has buffered for them.
#[test]
fn a_response_that_is_not_read_yet_is_complete_in_spite_of_sigterm() {
    let mut cluster = Cluster::start();
    for n in 0..LONG_CHANGES {
        let change = long_change::change(&format!("long{n}"), 1, LONG_CHANGE_BYTES + MAX_SHORTFALL_BYTES);
        let change = String::from_utf8(change).expect("text");
        assert_eq!(cluster.connect().call("POST", "Timetable.Patch", &change).0, 200);
    }
    let (mut client, mut idle_client) = (cluster.connect(), cluster.connect());
    sockopt::set_socket_recv_buffer_size(&client.stream, 64 * 1024).expect("set the socket option");
    client.send(&request("GET", "Timetable.Get", ""));
    while client.input.is_empty() {
        assert!(client.read_more());
    }
    assert_eq!(idle_client.call("POST", "Timetable.Patch", &change(1, 1)).0, 200);
    cluster.signal_first_process(Signal::TERM);
    assert!(idle_client.is_closed_by_peer());
    let (status, body) = client.receive();
    assert!(status == 200 && body.len() > LONG_CHANGES * LONG_CHANGE_BYTES, "{status}, {} bytes", body.len());
    assert!(cluster.children[0].wait().expect("ended").success());
}
