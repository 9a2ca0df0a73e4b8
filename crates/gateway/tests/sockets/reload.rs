//! Reloading the configuration of a running gateway.

use crate::counter::{gateway_with_spent_quota, pass, send_pooled_request};
use crate::harness::{
    backend, ok, request_head, settings, unused_address, Gateway, Options, StubServer, Watch, TEST_TIMEOUT,
};
use kitepass_gateway::{Addresses, Launch, Server};
use rustix::process::Signal;

#[test]
fn a_reload_under_load_moves_discovery_and_counter_and_loses_no_request() {
    let (old, new) = (StubServer::open(), StubServer::open());
    let (mut gateway, watch, mut client, mut connection) = gateway_with_spent_quota(old.address);
    send_pooled_request(&mut client, "t2");
    let mut calls = old.accept();
    calls.receive();
    let mut other = gateway.connect();
    other.send(request_head("once", "t3").replace("b4d65521", "b4d65522") + "\r\n");
    let attempt = connection.receive();
    assert_eq!(attempt.field("X-Trace-Id"), Some("t3"));
    // Two reloads, the second while the first is still in progress.
    let (discovery, moved) = (gateway.discovery.address.to_string(), StubServer::open());
    let addresses =
        [(discovery, moved.address.to_string()), (old.address.to_string(), new.address.to_string())];
    gateway.reload(&addresses.each_ref().map(|(from, to)| (from.as_str(), to.as_str())));
    let (mut next, request) = Watch::begin(&moved);
    assert!(request.head.contains("index=8 "), "from the last version: {}", request.head);
    gateway.signal(Signal::HUP);
    // Calls in flight at the old addresses finish there, and none is sent again.
    connection.send(ok("fine"));
    assert_eq!(other.receive().body, b"fine");
    calls.send(ok("0.5"));
    pass(&mut client, &mut connection);
    assert!(calls.ends(), "nothing more goes to the old counter");
    send_pooled_request(&mut client, "t4");
    let mut calls = new.accept();
    assert!(calls.receive().head.contains("/counters/00000000b4d65521/."));
    calls.send(ok("0.5"));
    pass(&mut client, &mut connection);
    // The old watch stays open until the new one has brought a line; draining takes effect.
    next.send_list(9, false, &[backend("b1", unused_address(), "draining")]);
    assert!(connection.ends(), "an idle connection to a backend that drains");
    assert!(watch.ends());
    assert!(old.is_untouched() && new.is_untouched() && gateway.discovery.is_untouched());
    gateway.signal(Signal::HUP);
    gateway.terminate();
    drop((client, other));
    assert!(gateway.ends_well());
    assert!(gateway.has_logged_nothing());
}

#[test]
fn an_invalid_reload_changes_nothing() {
    let backend_stub = StubServer::open();
    let (mut gateway, mut watch) =
        Gateway::ready(&Options::default(), &[backend("b0", backend_stub.address, "ready")]);
    let mut client = gateway.connect();
    let mut idle = crate::serve_request(&mut client, &backend_stub, "t0");
    let discovery = format!("\"discovery\":\"{}\"", gateway.discovery.address);
    let (there, bad_counter) = ("\"discovery\":\"there\"", "\"counter\":5");
    for (changes, what) in [
        (vec![(discovery.as_str(), there)], "discovery:"),
        (vec![(there, discovery.as_str()), ("\"counter\":null", bad_counter)], "counter:"),
        (vec![(bad_counter, "\"counter\":null"), ("{\"name\"", "{,\"name\"")], "expected JSON"),
    ] {
        gateway.reload(&changes);
        let log_line = gateway.next_log_line();
        assert!(log_line.contains(what) && log_line.contains("the old configuration stays"), "{log_line}");
    }
    gateway.remove_config();
    gateway.signal(Signal::HUP);
    assert!(gateway.next_log_line().contains("No such file"));
    // The old watch is still in use.
    watch.send_list(9, true, &[backend("b1", backend_stub.address, "ready")]);
    assert!(idle.ends(), "closed on the news that b0 is gone");
    crate::serve_request(&mut client, &backend_stub, "t1");
    assert!(gateway.discovery.is_untouched() && gateway.has_logged_nothing());
}

#[test]
fn an_embedding_program_reloads_and_ends_a_gateway_without_signals() {
    let (discovery, moved) = (StubServer::open(), StubServer::open());
    let text = format!(
        r#"{{"name":"g0","listen":"{}","discovery":"{}","seed":"1","settings":{}}}"#,
        unused_address(),
        discovery.address,
        settings(false)
    );
    let (told, receive) = std::sync::mpsc::channel();
    // A gateway runs on the thread that opened it.
    let running = std::thread::spawn(move || {
        let server = Server::open(Launch::from_text(&text)?)?;
        told.send(server.control()).unwrap();
        server.run()
    });
    let control = receive.recv_timeout(TEST_TIMEOUT).unwrap();
    let (watch, _) = Watch::begin(&discovery);
    control.update_addresses(Addresses { discovery: moved.address, counter: None });
    let (mut next, _) = Watch::begin(&moved);
    next.send_list(9, true, &[]);
    assert!(watch.ends());
    control.end();
    assert_eq!(running.join().unwrap(), Ok(()));
}
