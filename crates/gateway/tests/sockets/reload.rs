//! Tests of reloading the configuration of a running gateway.

use crate::counter::{gateway_with_spent_quota, send_pooled_request, serve_next};
use crate::harness::{
    backend_entry, ok_response, request_head, settings, unused_address, Gateway, Options, StubServer, Watch,
    TEST_TIMEOUT,
};
use kitepass_gateway::{Addresses, Server, StartupConfig};
use rustix::process::Signal;

#[test]
fn a_reload_under_load_moves_discovery_and_counter_and_loses_no_request() {
    let (old_counter, new_counter) = (StubServer::open(), StubServer::open());
    let (mut gateway, watch, mut client, mut connection) = gateway_with_spent_quota(old_counter.address);
    send_pooled_request(&mut client, "t2");
    let mut calls = old_counter.accept();
    calls.receive();
    let mut other = gateway.connect();
    other.send(request_head("once", "t3").replace("b4d65521", "b4d65522") + "\r\n");
    let attempt = connection.receive();
    assert_eq!(attempt.field("X-Trace-Id"), Some("t3"));
    // Two reloads, the second one while the first is in progress.
    let (discovery, new_discovery) = (gateway.discovery.address.to_string(), StubServer::open());
    let addresses = [
        (discovery, new_discovery.address.to_string()),
        (old_counter.address.to_string(), new_counter.address.to_string()),
    ];
    gateway.reload(&addresses.each_ref().map(|(from, to)| (from.as_str(), to.as_str())));
    let (mut new_watch, request) = Watch::accept(&new_discovery);
    assert!(
        request.head.contains("index=8 "),
        "the watch does not resume from the last version: {}",
        request.head
    );
    gateway.signal(Signal::HUP);
    // Calls in flight to the old address finish there, and none is repeated.
    connection.send(ok_response("fine"));
    assert_eq!(other.receive().body, b"fine");
    calls.send(ok_response("0.5"));
    serve_next(&mut client, &mut connection);
    assert!(calls.ends_without_data(), "no further call is sent to the old address");
    send_pooled_request(&mut client, "t4");
    let mut calls = new_counter.accept();
    assert!(calls.receive().head.contains("/counters/00000000b4d65521/."));
    calls.send(ok_response("0.5"));
    serve_next(&mut client, &mut connection);
    // The old watch stays open until the new one has received a line; the change in that line is applied.
    new_watch.send_list(9, false, &[backend_entry("b1", unused_address(), "draining")]);
    assert!(connection.ends_without_data(), "an idle connection to a draining backend is closed");
    assert!(watch.ends_without_data());
    assert!(
        old_counter.has_no_connection()
            && new_counter.has_no_connection()
            && gateway.discovery.has_no_connection()
    );
    gateway.signal(Signal::HUP);
    gateway.terminate();
    drop((client, other));
    assert!(gateway.exits_successfully());
    assert!(gateway.has_logged_nothing());
}

#[test]
fn an_invalid_reload_changes_nothing() {
    let backend_stub = StubServer::open();
    let (mut gateway, mut watch) =
        Gateway::start_ready(&Options::default(), &[backend_entry("b0", backend_stub.address, "ready")]);
    let mut client = gateway.connect();
    let mut idle = crate::serve_request(&mut client, &backend_stub, "t0");
    let discovery = format!("\"discovery\":\"{}\"", gateway.discovery.address);
    let (bad_discovery, bad_counter) = ("\"discovery\":\"there\"", "\"counter\":5");
    for (changes, what) in [
        (vec![(discovery.as_str(), bad_discovery)], "discovery:"),
        (vec![(bad_discovery, discovery.as_str()), ("\"counter\":null", bad_counter)], "counter:"),
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
    watch.send_list(9, true, &[backend_entry("b1", backend_stub.address, "ready")]);
    assert!(idle.ends_without_data(), "the connection to b0 is closed as b0 is no longer listed");
    crate::serve_request(&mut client, &backend_stub, "t1");
    assert!(gateway.discovery.has_no_connection() && gateway.has_logged_nothing());
}

#[test]
fn an_embedding_program_reloads_and_ends_a_gateway_without_signals() {
    let (discovery, new_discovery) = (StubServer::open(), StubServer::open());
    let text = format!(
        r#"{{"name":"g0","listen":"{}","discovery":"{}","seed":"1","settings":{}}}"#,
        unused_address(),
        discovery.address,
        settings(false)
    );
    let (control_sender, control_receiver) = std::sync::mpsc::channel();
    // A gateway must run on the thread that opened it.
    let server_thread = std::thread::spawn(move || {
        let server = Server::open(StartupConfig::from_json(&text)?)?;
        control_sender.send(server.control()).unwrap();
        server.run()
    });
    let control = control_receiver.recv_timeout(TEST_TIMEOUT).unwrap();
    let (watch, _) = Watch::accept(&discovery);
    control.update_addresses(Addresses { discovery: new_discovery.address, counter: None });
    let (mut new_watch, _) = Watch::accept(&new_discovery);
    new_watch.send_list(9, true, &[]);
    assert!(watch.ends_without_data());
    control.shut_down();
    assert_eq!(server_thread.join().unwrap(), Ok(()));
}
