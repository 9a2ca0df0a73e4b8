//! Golden test of the configuration: the parsed values and the error messages must equal the text in `golden/`.

// Temporary, until the issue "Readable code 2" is done for this crate.
#![allow(missing_docs, unreachable_pub, clippy::missing_errors_doc, clippy::missing_panics_doc)]
#![allow(clippy::too_many_arguments, clippy::too_many_lines, clippy::wildcard_imports)]

use kitepass_gateway::StartupConfig;
use std::fmt::Write;
use std::path::Path;

/// A configuration with some fields changed; fields with an empty value are left out.
fn config_with(changed: &[(&str, &str)]) -> String {
    let defaults = [
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
        |name: &str, default| changed.iter().find(|(n, _)| *n == name).map_or(default, |(_, value)| *value);
    let fields = defaults.map(|(name, default)| (name, value(name, default)));
    let set = fields.iter().filter(|(_, value)| !value.is_empty());
    let texts: Vec<String> = set.map(|(name, value)| format!("\"{name}\":{value}")).collect();
    format!("{{{}}}", texts.join(","))
}

fn configurations() -> Vec<(&'static str, String)> {
    vec![
        ("every field", config_with(&[])),
        ("without a counter", config_with(&[("counter", "")])),
        ("a counter of null", config_with(&[("counter", "null")])),
        ("no known list", config_with(&[("known", "")])),
        ("a short seed", config_with(&[("seed", r#""F""#)])),
        (
            "messages of peers",
            config_with(&[("settings", r#"{"Caps":{"PeerMessages":true},"FamilyInfo":{"MailPerS":40}}"#)]),
        ),
        // Invalid configurations.
        ("no JSON", "{".into()),
        ("empty text", String::new()),
        ("another kind of value", "[]".into()),
        ("no fields", "{}".into()),
        ("no name", config_with(&[("name", "")])),
        ("a name of another kind", config_with(&[("name", "7")])),
        ("no address to listen on", config_with(&[("listen", "")])),
        ("an address without a port", config_with(&[("listen", r#""127.0.0.1""#)])),
        ("an address by name", config_with(&[("listen", r#""localhost:9000""#)])),
        ("an address of another kind", config_with(&[("listen", "9000")])),
        ("no discovery", config_with(&[("discovery", "")])),
        ("a bad address of discovery", config_with(&[("discovery", r#""""#)])),
        ("a bad address of the counter", config_with(&[("counter", r#""x""#)])),
        ("no seed", config_with(&[("seed", "")])),
        ("a seed of another kind", config_with(&[("seed", "7")])),
        ("a seed of 17 digits", config_with(&[("seed", r#""18c1f30d27a5be964""#)])),
        ("a seed that is no number", config_with(&[("seed", r#""xyz""#)])),
        ("too few sockets", config_with(&[("limits", r#"{"sockets":63}"#)])),
        ("a fraction of sockets", config_with(&[("limits", r#"{"sockets":96.5}"#)])),
        ("sockets of another kind", config_with(&[("limits", r#"{"sockets":"96"}"#)])),
        ("no settings", config_with(&[("settings", "")])),
        ("settings of another kind", config_with(&[("settings", "[]")])),
        (
            "a number that is not below the replicas'",
            config_with(&[("settings", r#"{"ReplicasOfMe":3,"Me":3}"#)]),
        ),
        ("a bad field of the settings", config_with(&[("settings", r#"{"Plans":[{"Refill":"x"}]}"#)])),
        ("a known list of another kind", config_with(&[("known", "[]")])),
        ("a known list without instances", config_with(&[("known", "{}")])),
        ("several bad fields", config_with(&[("name", ""), ("listen", ""), ("seed", ""), ("settings", "")])),
    ]
}

fn describe(startup: &StartupConfig) -> String {
    let counter = startup.addresses.counter.map_or("none".to_owned(), |address| address.to_string());
    [
        format!("name={:?} listen={}", startup.name, startup.listen),
        format!("discovery={} counter={counter}", startup.addresses.discovery),
        format!("seed={:016x} sockets={}", startup.seed, startup.max_descriptors),
        format!("ReplicasOfMe={} Me={}", startup.config.gateways, startup.config.gateway_index),
        format!("MailPerS={}", startup.config.max_peer_messages),
        format!("ConnIdle={} us", startup.connection_settings.idle_timeout.as_micros()),
        format!("known={}", startup.initial_backends),
        format!(
            "file={}",
            startup.config_path.as_ref().map_or("none".to_owned(), |path| path.display().to_string())
        ),
    ]
    .iter()
    .map(|line| format!("  {line}\n"))
    .collect()
}

#[test]
fn configurations_match_the_golden_file() {
    let mut actual = String::new();
    for (name, text) in configurations() {
        let outcome = match StartupConfig::from_json(&text) {
            Ok(startup) => describe(&startup),
            Err(error) => format!("  error: {error}\n"),
        };
        let _ = write!(actual, "{name}: {text}\n{outcome}");
    }
    let golden = include_str!("golden/configurations.txt");
    let actual_path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("configurations.txt");
    std::fs::write(&actual_path, &actual).expect("the target directory is writable");
    assert!(
        actual == golden,
        "the output differs from golden/configurations.txt; it is in {}",
        actual_path.display()
    );
}

/// An error message begins with the path of the configuration file.
#[test]
fn errors_begin_with_the_file_path() {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let missing = directory.join("no-such-configuration.json");
    let error = StartupConfig::from_file(&missing).expect_err("missing file");
    assert_eq!(error, format!("{}: No such file or directory (os error 2)", missing.display()));
    let bad = directory.join("bad-configuration.json");
    std::fs::write(&bad, config_with(&[("name", "")])).expect("the target directory is writable");
    let error = StartupConfig::from_file(&bad).expect_err("missing name");
    assert_eq!(error, format!("{}: name: expected text", bad.display()));
    let good = directory.join("good-configuration.json");
    std::fs::write(&good, config_with(&[])).expect("the target directory is writable");
    assert_eq!(StartupConfig::from_file(&good).expect("valid file").config_path, Some(good));
}
