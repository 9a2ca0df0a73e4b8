//! What is read of a gateway's configuration, and what is said of a bad one, stays as it is: in plain text, under the names
//! that the file itself has, beside the text in `golden/`.

// Until the issue "Readable code 2" has reached this crate.
#![allow(missing_docs, unreachable_pub, clippy::missing_errors_doc, clippy::missing_panics_doc)]
#![allow(clippy::too_many_arguments, clippy::too_many_lines, clippy::wildcard_imports)]

use kitepass_gateway::Launch;
use std::fmt::Write;
use std::path::Path;

/// A configuration with these fields in place of the usual ones; those that are empty are left out.
fn with(changed: &[(&str, &str)]) -> String {
    let usual = [
        ("name", r#""g7""#),
        ("listen", r#""127.0.0.1:9000""#),
        ("discovery", r#""127.0.0.1:8500""#),
        ("counter", r#""[::1]:6400""#),
        ("seed", r#""8c1f30d27a5be964""#),
        ("limits", r#"{"cores":1.0,"memory_mb":192,"sockets":96}"#),
        ("settings", r#"{"ReplicasOfMe":4,"Me":3}"#),
        ("known", r#"{"instances":[{"id":"b1"}]}"#),
    ];
    let value =
        |name: &str, usual| changed.iter().find(|(n, _)| *n == name).map_or(usual, |(_, value)| *value);
    let fields = usual.map(|(name, usual)| (name, value(name, usual)));
    let set = fields.iter().filter(|(_, value)| !value.is_empty());
    let texts: Vec<String> = set.map(|(name, value)| format!("\"{name}\":{value}")).collect();
    format!("{{{}}}", texts.join(","))
}

fn configurations() -> Vec<(&'static str, String)> {
    vec![
        ("every field", with(&[])),
        ("without a counter", with(&[("counter", "")])),
        ("a counter of null", with(&[("counter", "null")])),
        ("no known list", with(&[("known", "")])),
        ("a short seed", with(&[("seed", r#""F""#)])),
        (
            "messages of peers",
            with(&[("settings", r#"{"Caps":{"PeerMessages":true},"FamilyInfo":{"MailPerS":40}}"#)]),
        ),
        // What cannot be taken.
        ("no JSON", "{".into()),
        ("empty text", String::new()),
        ("another kind of value", "[]".into()),
        ("no fields", "{}".into()),
        ("no name", with(&[("name", "")])),
        ("a name of another kind", with(&[("name", "7")])),
        ("no address to listen on", with(&[("listen", "")])),
        ("an address without a port", with(&[("listen", r#""127.0.0.1""#)])),
        ("an address by name", with(&[("listen", r#""localhost:9000""#)])),
        ("an address of another kind", with(&[("listen", "9000")])),
        ("no discovery", with(&[("discovery", "")])),
        ("a bad address of discovery", with(&[("discovery", r#""""#)])),
        ("a bad address of the counter", with(&[("counter", r#""x""#)])),
        ("no seed", with(&[("seed", "")])),
        ("a seed of another kind", with(&[("seed", "7")])),
        ("a seed of 17 digits", with(&[("seed", r#""18c1f30d27a5be964""#)])),
        ("a seed that is no number", with(&[("seed", r#""xyz""#)])),
        ("too few sockets", with(&[("limits", r#"{"sockets":63}"#)])),
        ("a fraction of sockets", with(&[("limits", r#"{"sockets":96.5}"#)])),
        ("sockets of another kind", with(&[("limits", r#"{"sockets":"96"}"#)])),
        ("no settings", with(&[("settings", "")])),
        ("settings of another kind", with(&[("settings", "[]")])),
        ("a number that is not below the replicas'", with(&[("settings", r#"{"ReplicasOfMe":3,"Me":3}"#)])),
        ("a bad field of the settings", with(&[("settings", r#"{"Plans":[{"Refill":"x"}]}"#)])),
        ("a known list of another kind", with(&[("known", "[]")])),
        ("a known list without instances", with(&[("known", "{}")])),
        ("several bad fields", with(&[("name", ""), ("listen", ""), ("seed", ""), ("settings", "")])),
    ]
}

fn describe(launch: &Launch) -> String {
    let counter = launch.addresses.counter.map_or("none".to_owned(), |address| address.to_string());
    [
        format!("name={:?} listen={}", launch.name, launch.listen),
        format!("discovery={} counter={counter}", launch.addresses.discovery),
        format!("seed={:016x} sockets={}", launch.seed, launch.sockets),
        format!("ReplicasOfMe={} Me={}", launch.config.gateways, launch.config.gateway_index),
        format!("MailPerS={}", launch.config.max_peer_messages),
        format!("ConnIdle={} us", launch.connection_settings.idle_timeout.as_micros()),
        format!("known={}", launch.known),
        format!(
            "file={}",
            launch.origin.as_ref().map_or("none".to_owned(), |path| path.display().to_string())
        ),
    ]
    .iter()
    .map(|line| format!("  {line}\n"))
    .collect()
}

#[test]
fn configurations_are_read_as_ever() {
    let mut found = String::new();
    for (name, text) in configurations() {
        let outcome = match Launch::from_text(&text) {
            Ok(launch) => describe(&launch),
            Err(error) => format!("  error: {error}\n"),
        };
        let _ = write!(found, "{name}: {text}\n{outcome}");
    }
    let golden = include_str!("golden/configurations.txt");
    let left = Path::new(env!("CARGO_TARGET_TMPDIR")).join("configurations.txt");
    std::fs::write(&left, &found).expect("a file in the build's folder");
    assert!(
        found == golden,
        "it differs from golden/configurations.txt; what was found is in {}",
        left.display()
    );
}

/// The file's path goes before what is wrong.
#[test]
fn files_that_cannot_be_read_are_named_as_ever() {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let missing = folder.join("no-such-configuration.json");
    let error = Launch::read(&missing).expect_err("no such file");
    assert_eq!(error, format!("{}: No such file or directory (os error 2)", missing.display()));
    let bad = folder.join("bad-configuration.json");
    std::fs::write(&bad, with(&[("name", "")])).expect("a file in the build's folder");
    let error = Launch::read(&bad).expect_err("no name");
    assert_eq!(error, format!("{}: name: expected text", bad.display()));
    let good = folder.join("good-configuration.json");
    std::fs::write(&good, with(&[])).expect("a file in the build's folder");
    assert_eq!(Launch::read(&good).expect("a good file").origin, Some(good));
}
