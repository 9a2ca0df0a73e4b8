//! A new configuration while the gateway runs.

use crate::stand::*;
use crate::{ask, pass, spent};
use kitepass_gateway::{Addresses, Launch, Server};
use rustix::process::Signal;

#[test]
fn a_reload_under_load_takes_up_discovery_and_counter_and_loses_nothing() {
    let (old, new) = (Stand::open(), Stand::open());
    let (mut gateway, watch, mut client, mut line) = spent(old.address);
    ask(&mut client, "t2");
    let mut calls = old.line();
    calls.hear();
    let mut other = gateway.line();
    other.say(command("once", "t3").replace("b4d65521", "b4d65522") + "\r\n");
    let leg = line.hear();
    assert_eq!(leg.field("X-Trace-Id"), Some("t3"));
    // Told twice while the first is still under way.
    let (discovery, moved) = (gateway.discovery.address.to_string(), Stand::open());
    let addresses =
        [(discovery, moved.address.to_string()), (old.address.to_string(), new.address.to_string())];
    gateway.reload(&addresses.each_ref().map(|(from, to)| (from.as_str(), to.as_str())));
    let (mut next, asked) = Watch::begin(&moved);
    assert!(asked.head.contains("index=8 "), "from the last version: {}", asked.head);
    gateway.signal(Signal::HUP);
    // What is under way at the old addresses is finished there, and nothing of it is sent again.
    line.say(ok("fine"));
    assert_eq!(other.hear().body, b"fine");
    calls.say(ok("0.5"));
    pass(&mut client, &mut line);
    assert!(calls.ends(), "nothing more goes to the old counter");
    ask(&mut client, "t4");
    let mut calls = new.line();
    assert!(calls.hear().head.contains("/counters/00000000b4d65521/."));
    calls.say(ok("0.5"));
    pass(&mut client, &mut line);
    // The old watch tells until the new one has spoken; drains are kept.
    next.tell(9, false, &[backend("b1", nobody(), "draining")]);
    assert!(line.ends(), "an idle connection to a backend that drains");
    assert!(watch.ends());
    assert!(old.is_untouched() && new.is_untouched() && gateway.discovery.is_untouched());
    gateway.signal(Signal::HUP);
    gateway.terminate();
    drop((client, other));
    assert!(gateway.ends_well());
    assert!(gateway.has_said_nothing());
}

#[test]
fn a_configuration_that_cannot_be_read_again_changes_nothing() {
    let stand = Stand::open();
    let (mut gateway, mut watch) = Gateway::ready(&Plan::default(), &[backend("b0", stand.address, "ready")]);
    let mut client = gateway.line();
    let mut idle = crate::see_through(&mut client, &stand, "t0");
    let discovery = format!("\"discovery\":\"{}\"", gateway.discovery.address);
    let (there, bad_counter) = ("\"discovery\":\"there\"", "\"counter\":5");
    for (changes, what) in [
        (vec![(discovery.as_str(), there)], "discovery:"),
        (vec![(there, discovery.as_str()), ("\"counter\":null", bad_counter)], "counter:"),
        (vec![(bad_counter, "\"counter\":null"), ("{\"name\"", "{,\"name\"")], "expected JSON"),
    ] {
        gateway.reload(&changes);
        let line = gateway.said();
        assert!(line.contains(what) && line.contains("the old configuration stays"), "{line}");
    }
    gateway.remove_config();
    gateway.signal(Signal::HUP);
    assert!(gateway.said().contains("No such file"));
    // The watch is the old one still.
    watch.tell(9, true, &[backend("b1", stand.address, "ready")]);
    assert!(idle.ends(), "closed on the news that b0 is gone");
    crate::see_through(&mut client, &stand, "t1");
    assert!(gateway.discovery.is_untouched() && gateway.has_said_nothing());
}

#[test]
fn a_program_that_embeds_a_gateway_moves_and_ends_it_without_signals() {
    let (discovery, moved) = (Stand::open(), Stand::open());
    let text = format!(
        r#"{{"name":"g0","listen":"{}","discovery":"{}","seed":"1","settings":{}}}"#,
        nobody(),
        discovery.address,
        settings(false)
    );
    let (told, hear) = std::sync::mpsc::channel();
    // A gateway stays on the thread where it is opened.
    let running = std::thread::spawn(move || {
        let server = Server::open(Launch::from_text(&text)?)?;
        told.send(server.control()).unwrap();
        server.run()
    });
    let control = hear.recv_timeout(PATIENCE).unwrap();
    let (watch, _) = Watch::begin(&discovery);
    control.take_up(Addresses { discovery: moved.address, counter: None });
    let (mut next, _) = Watch::begin(&moved);
    next.tell(9, true, &[]);
    assert!(watch.ends());
    control.end();
    assert_eq!(running.join().unwrap(), Ok(()));
}
