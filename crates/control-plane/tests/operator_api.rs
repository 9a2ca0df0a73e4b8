//! The operator API of a cluster on loopback addresses, with clients that pipeline requests, disconnect before the
//! response, or expect `100 Continue`; and the sessions of a gateway that reconnects.

mod support;

use kitepass_coordination::protocol::{Heartbeat, Hello, Message, MessageDecoder, UsageReport, UsageTotals};
use std::io::Write;
use std::net::Shutdown;
use std::time::Instant;
use support::cluster::{request, Cluster, Connection, TIMEOUT};

/// The body of a change request for one service.
fn change(name: &str, version: u64) -> String {
    format!(
        r#"{{"deliver":{{"carrier-lines":{{"headings":["name","checkpoint","berth-cap","edition"],
            "entries":[["{name}","/well",{version},"r{version}"]]}}}}}}"#
    )
}

fn patch(name: &str, version: u64) -> String {
    request("POST", "Timetable.Patch", &change(name, version))
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    let cluster = Cluster::start();
    let mut requests = String::new();
    let mut expected: Vec<(u16, String)> = Vec::new();
    for n in 1..=20 {
        requests += &patch("a", n);
        expected.push((200, "{}".into()));
        requests += &request("GET", "Timetable.Get", "");
        expected.push((200, format!("\"r{n}\"")));
        requests += &request("POST", "Timetable.Patch", "{");
        expected.push((400, String::new()));
        requests += &request("POST", "Evacuate.Start/nowhere", "");
        expected.push((404, "no such zone".into()));
        requests += &request("GET", &format!("nothing/{n}"), "");
        expected.push((404, "no such call".into()));
        requests += &request("POST", if n % 2 == 0 { "Evacuate.End/d1" } else { "Evacuate.Start/d1" }, "");
        expected.push((200, "{}".into()));
    }
    let mut connection = cluster.connect();
    // The chunks are not aligned with the requests: one may hold the end of a request and the start of the next.
    for chunk in requests.as_bytes().chunks(1_237) {
        connection.stream.write_all(chunk).expect("written");
    }
    for (n, (status, content)) in expected.into_iter().enumerate() {
        let answer = connection.receive();
        assert!(
            answer.0 == status && answer.1.contains(&content),
            "{n}: {answer:?}, not {status} {content:?}"
        );
    }
    assert!(connection.input.is_empty());
}

/// Clients close or reset their connections while a request is in flight. That request takes effect as a whole or not
/// at all, and the next client gets only its own response, once.
#[test]
fn a_response_to_a_disconnected_client_reaches_nobody_else() {
    let cluster = Cluster::start();
    for n in 1..=40 {
        let mut disconnected = cluster.connect();
        disconnected.send(&patch("gone", n));
        let mut other = cluster.connect();
        if n % 2 == 0 {
            disconnected.reset();
        } else {
            drop(disconnected);
        }
        let name = format!("own{n}");
        assert_eq!(other.call("POST", "Timetable.Patch", &change(&name, 1)), (200, "{}".into()));
        let (status, standing) = other.call("GET", "Timetable.Get", "");
        assert!(status == 200 && standing.contains(&format!("\"{name}\"")), "{standing}");
        assert!(other.input.is_empty());
    }
    // The last change is sent again, which must succeed whether or not it took effect before.
    assert_eq!(cluster.connect().call("POST", "Timetable.Patch", &change("gone", 40)).0, 200);
}

/// A client that has ended its sending cannot be told from one that has left, whose changes must not take effect any more.
/// Its reads are answered, and its change is either done and acknowledged, or not done and answered with 503.
#[test]
fn a_client_that_has_ended_its_sending_is_answered_and_disconnected() {
    let cluster = Cluster::start();
    assert_eq!(cluster.connect().call("POST", "Timetable.Patch", &change("a", 1)), (200, "{}".into()));
    for version in 101..=120 {
        let mut connection = cluster.connect();
        let get = request("GET", "Timetable.Get", "");
        connection.send(&(get.clone() + &patch("b", version) + &get));
        connection.stream.shutdown(Shutdown::Write).expect("ended");
        assert!(connection.receive().1.contains("\"r1\""));
        let (status, reason) = connection.receive();
        let (get_status, configuration) = connection.receive();
        assert!([200, 503].contains(&status) && get_status == 200, "{status} {reason}, {get_status}");
        assert_eq!(configuration.contains(&format!("\"r{version}\"")), status == 200, "{reason}");
        assert!(connection.is_closed_by_peer());
    }
    // A request that is incomplete when the client stops sending is not executed.
    let mut connection = cluster.connect();
    connection.send(&patch("a", 2)[..60]);
    connection.stream.shutdown(Shutdown::Write).expect("ended");
    assert!(connection.is_closed_by_peer());
    assert!(cluster.connect().call("GET", "Timetable.Get", "").1.contains("\"r1\""));
}

#[test]
fn a_client_that_expects_100_continue_gets_it_before_the_response() {
    let cluster = Cluster::start();
    let mut connection = cluster.connect();
    let body = change("a", 1);
    let head = |length: usize| {
        format!(
            "POST /v1/Timetable.Patch HTTP/1.1\r\nHost: desk\r\nExpect: 100-continue\r\nContent-Length: {length}\r\n\r\n"
        )
    };
    for _ in 0..2 {
        connection.send(&head(body.len()));
        assert_eq!(connection.receive().0, 100);
        assert_eq!(connection.send(&body).receive(), (200, "{}".into()));
    }
    // The request is pipelined behind another one: `100 Continue` follows the response to that one.
    connection.send(&(patch("a", 2) + &head(body.len())));
    assert_eq!((connection.receive().0, connection.receive().0), (200, 100));
    assert_eq!(connection.send(&body).receive().0, 200);
    // A body that is too long is rejected instead.
    connection.send(&head(17 << 20));
    assert_eq!(connection.receive().0, 413);
    assert!(connection.is_closed_by_peer());
}

/// A gateway loses its connection and reconnects before the control process notices. The response to its usage report
/// is sent on the new connection.
#[test]
fn usage_totals_go_to_the_newest_connection_of_the_incarnation() {
    let cluster = Cluster::start();
    let hello = Hello {
        node_id: "g".into(),
        incarnation: 7,
        client_address: "127.0.0.1:1".into(),
        ..Hello::default()
    };
    let mut connections = [Connection::open(cluster.peer_listener), Connection::open(cluster.peer_listener)];
    let mut decoders = [MessageDecoder::default(), MessageDecoder::default()];
    let mut next_message = |connection: &mut Connection, n: usize| loop {
        let mut consumed = 0;
        let message = decoders[n].next(&connection.input, &mut consumed).expect("a valid message");
        connection.input.drain(..consumed);
        if let Some(message) = message {
            return message;
        }
        assert!(connection.read_more(), "the connection was closed");
    };
    for (n, connection) in connections.iter_mut().enumerate() {
        connection.send_message(Message::Hello(hello.clone())).expect("written");
        // The first membership update shows that the session is open.
        while !matches!(next_message(connection, n), Message::MembershipUpdate(_)) {}
    }
    let [old, new] = &mut connections;
    let report = |request_id| {
        Message::UsageReport(UsageReport {
            request_id,
            node_id: "g".into(),
            incarnation: 7,
            ..UsageReport::default()
        })
    };
    let since = Instant::now();
    let mut request_id = 0;
    // Only the coordinator responds, so the report is repeated until this process is the coordinator.
    let totals: UsageTotals = 'totals: loop {
        assert!(since.elapsed() < TIMEOUT, "no usage totals");
        request_id += 1;
        new.send_message(report(request_id)).expect("written");
        old.send_message(Message::Heartbeat(Heartbeat::default())).expect("written");
        loop {
            match next_message(new, 1) {
                Message::UsageTotals(totals) => break 'totals totals,
                Message::Heartbeat(_) => break,
                _ => {}
            }
        }
    };
    assert!(
        totals.request_id <= request_id && totals.incarnation == 7 && totals.node_id == "g",
        "{totals:?}"
    );
    while !matches!(next_message(old, 0), Message::Heartbeat(_)) {}
    loop {
        match next_message(old, 0) {
            Message::Heartbeat(_) => break,
            Message::UsageTotals(totals) => panic!("on the old connection: {totals:?}"),
            _ => {}
        }
    }
}
