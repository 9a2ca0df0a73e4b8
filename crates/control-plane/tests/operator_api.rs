//! Control processes on addresses of this machine's own: callers at its desk, one after the other and one
//! behind the other, gone before the answer, waiting for a word; and a gateway that comes anew.

// Until the issue "Readable code 2" has reached this crate.
#![allow(missing_docs, unreachable_pub, clippy::missing_errors_doc, clippy::missing_panics_doc)]
#![allow(clippy::too_many_arguments, clippy::too_many_lines, clippy::wildcard_imports)]

mod support;

use kitepass_coordination::protocol::{Assembler, Heartbeat, Hello, Message, UsageReport, UsageTotals};
use std::io::Write;
use std::net::Shutdown;
use std::time::Instant;
use support::cluster::{request, Cluster, Connection, PATIENCE};

/// A change of one service.
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
fn calls_that_come_one_behind_the_other_are_answered_in_their_order() {
    let cluster = Cluster::start();
    let mut all = String::new();
    let mut expected: Vec<(u16, String)> = Vec::new();
    for n in 1..=20 {
        all += &patch("a", n);
        expected.push((200, "{}".into()));
        all += &request("GET", "Timetable.Get", "");
        expected.push((200, format!("\"r{n}\"")));
        all += &request("POST", "Timetable.Patch", "{");
        expected.push((400, String::new()));
        all += &request("POST", "Evacuate.Start/nowhere", "");
        expected.push((404, "no such zone".into()));
        all += &request("GET", &format!("nothing/{n}"), "");
        expected.push((404, "no such call".into()));
        all += &request("POST", if n % 2 == 0 { "Evacuate.End/d1" } else { "Evacuate.Start/d1" }, "");
        expected.push((200, "{}".into()));
    }
    let mut line = cluster.connect();
    // The last bytes of a call come with the first of the next, or by themselves.
    for piece in all.as_bytes().chunks(1_237) {
        line.stream.write_all(piece).expect("written");
    }
    for (n, (status, part)) in expected.into_iter().enumerate() {
        let answer = line.receive();
        assert!(answer.0 == status && answer.1.contains(&part), "{n}: {answer:?}, not {status} {part:?}");
    }
    assert!(line.input.is_empty());
}

/// Callers end or break their connections with an order under way; whoever comes next gets its own answer, once. What
/// was ordered is in force whole or not at all.
#[test]
fn an_answer_to_a_caller_that_is_gone_reaches_nobody() {
    let cluster = Cluster::start();
    for n in 1..=40 {
        let mut gone = cluster.connect();
        gone.send(&patch("gone", n));
        let mut next = cluster.connect();
        if n % 2 == 0 {
            gone.reset();
        } else {
            drop(gone);
        }
        let name = format!("own{n}");
        assert_eq!(next.call("POST", "Timetable.Patch", &change(&name, 1)), (200, "{}".into()));
        let (status, standing) = next.call("GET", "Timetable.Get", "");
        assert!(status == 200 && standing.contains(&format!("\"{name}\"")), "{standing}");
        assert!(next.input.is_empty());
    }
    // Sent again, to be told for certain.
    assert_eq!(cluster.connect().call("POST", "Timetable.Patch", &change("gone", 40)).0, 200);
}

#[test]
fn a_caller_that_has_said_all_is_answered_and_its_connection_ends() {
    let cluster = Cluster::start();
    let mut line = cluster.connect();
    line.send(&(patch("a", 1) + &request("GET", "Timetable.Get", "")));
    line.stream.shutdown(Shutdown::Write).expect("ended");
    assert_eq!(line.receive(), (200, "{}".into()));
    assert!(line.receive().1.contains("\"r1\""));
    assert!(line.ends());
    // A call that is not whole by then is none.
    let mut line = cluster.connect();
    line.send(&patch("a", 2)[..60]);
    line.stream.shutdown(Shutdown::Write).expect("ended");
    assert!(line.ends());
    assert!(cluster.connect().call("GET", "Timetable.Get", "").1.contains("\"r1\""));
}

#[test]
fn a_caller_that_waits_for_a_word_gets_it_before_its_answer() {
    let cluster = Cluster::start();
    let mut line = cluster.connect();
    let body = change("a", 1);
    let head = |length: usize| {
        format!(
            "POST /v1/Timetable.Patch HTTP/1.1\r\nHost: desk\r\nExpect: 100-continue\r\nContent-Length: {length}\r\n\r\n"
        )
    };
    for _ in 0..2 {
        line.send(&head(body.len()));
        assert_eq!(line.receive().0, 100);
        assert_eq!(line.send(&body).receive(), (200, "{}".into()));
    }
    // Behind an order that is under way: its word comes behind the other's answer.
    line.send(&(patch("a", 2) + &head(body.len())));
    assert_eq!((line.receive().0, line.receive().0), (200, 100));
    assert_eq!(line.send(&body).receive().0, 200);
    // One that is too long is told so instead.
    line.send(&head(17 << 20));
    assert_eq!(line.receive().0, 413);
    assert!(line.ends());
}

/// A gateway's connection is lost, and it comes anew before that is noticed: what it asks for is answered there.
#[test]
fn the_counts_answer_goes_to_the_newest_connection_of_the_life_that_asked() {
    let cluster = Cluster::start();
    let hello = Hello {
        node_id: "g".into(),
        incarnation: 7,
        client_address: "127.0.0.1:1".into(),
        ..Hello::default()
    };
    let mut lines = [Connection::to(cluster.siding), Connection::to(cluster.siding)];
    let mut assemblers = [Assembler::default(), Assembler::default()];
    let mut next = |line: &mut Connection, n: usize| loop {
        let mut at = 0;
        let message = assemblers[n].next(&line.input, &mut at).expect("words");
        line.input.drain(..at);
        if let Some(message) = message {
            return message;
        }
        assert!(line.fill(), "it ended");
    };
    for (n, line) in lines.iter_mut().enumerate() {
        line.send_word(Message::Hello(hello.clone())).expect("written");
        // It is a session by then.
        while !matches!(next(line, n), Message::MembershipUpdate(_)) {}
    }
    let [old, new] = &mut lines;
    let ask = |request_id| {
        Message::UsageReport(UsageReport {
            request_id,
            node_id: "g".into(),
            incarnation: 7,
            ..UsageReport::default()
        })
    };
    let since = Instant::now();
    let mut request_id = 0;
    // Until it does the duty it answers nothing.
    let answer: UsageTotals = 'answer: loop {
        assert!(since.elapsed() < PATIENCE, "no answer");
        request_id += 1;
        new.send_word(ask(request_id)).expect("written");
        old.send_word(Message::Heartbeat(Heartbeat::default())).expect("written");
        loop {
            match next(new, 1) {
                Message::UsageTotals(totals) => break 'answer totals,
                Message::Heartbeat(_) => break,
                _ => {}
            }
        }
    };
    assert!(
        answer.request_id <= request_id && answer.incarnation == 7 && answer.node_id == "g",
        "{answer:?}"
    );
    while !matches!(next(old, 0), Message::Heartbeat(_)) {}
    loop {
        match next(old, 0) {
            Message::Heartbeat(_) => break,
            Message::UsageTotals(totals) => panic!("on the old connection: {totals:?}"),
            _ => {}
        }
    }
}
