//! The settings file as operators write it, wrongly and changed, and the shape of log lines.

// Until the issue "Readable code 2" has reached this crate.
#![allow(missing_docs, unreachable_pub, clippy::missing_errors_doc, clippy::missing_panics_doc)]
#![allow(clippy::too_many_arguments, clippy::too_many_lines, clippy::wildcard_imports)]

use std::path::PathBuf;
use std::time::Duration;

use kitepass_node::{pair, Bounds, Error, MachineLimits, Settings, Tolerance, Watch};
use rstest::rstest;

const NEEDED: &str =
    "station = \"a\"\nip = \"10.1.0.35\"\ndistrict = \"d\"\nprovince = \"p\"\nsidings = [7740, 7755]\n";

const FULL: &str = include_str!("every_field.toml");

#[test]
fn a_full_file_is_read() {
    let s = Settings::from_text(FULL).unwrap();
    assert_eq!(
        (s.node_id.as_str(), s.role.as_str(), s.peer_ports),
        ("sorting-levis-a-1", "my-sorting", (7740, 7755))
    );
    assert_eq!(s.bootstrap_addresses[1], "10.2.0.10:8688".parse().unwrap());
    assert!(s.is_first_start && s.counts_toward_tolerance);
    assert_eq!(s.data_dir, Some(PathBuf::from("/data/my-sorting")));
    assert_eq!(s.zones["levis-a"], "quebec-est");
    assert_eq!(s.listeners.directory_api, Some("10.1.0.35:8684".parse().unwrap()));
    assert_eq!(s.listeners.readiness, None);
    assert_eq!(s.limits, MachineLimits { memory_mb: 512, ..MachineLimits::default() });
    assert_eq!(s.tolerance, Tolerance { machines: 2, zones: 1, regions: 0 });
    let bounds = Bounds {
        contact: Duration::from_micros(2500),
        settle: Duration::from_millis(4500),
        is_sealed_off: true,
        endpoint_list_lag: Some(Duration::from_secs(3)),
        ..Bounds::default()
    };
    assert_eq!(s.bounds, bounds);
    let carrier = s.platform.unwrap();
    assert_eq!((carrier.rate_per_s, carrier.delay_ms), (40.0, 700));
}

#[test]
fn what_is_not_said_has_defaults() {
    let s = Settings::from_text(NEEDED).unwrap();
    assert_eq!((s.heartbeat, s.platform, s.data_dir), (Duration::from_millis(1500), None, None));
    assert_eq!((s.bounds, s.limits, s.tolerance), Default::default());
    assert!(!s.is_first_start && !s.counts_toward_tolerance && s.bootstrap_addresses.is_empty());
}

/// Each file is refused, and the error names the field.
#[rstest]
#[case::missing("", "station = \"a\"", "station")]
#[case::kind("maiden-run = 3", "", "maiden-run")]
#[case::port("", "7755", "sidings")]
#[case::address("[counters]\nreadiness = \"here\"", "", "counters.readiness")]
#[case::ip("", "0.35", "ip")]
#[case::negative("[schedule-bounds]\nsettle-s = -1", "", "schedule-bounds.settle-s")]
#[case::no_number("[schedule-bounds]\ncontact-ms = nan", "", "schedule-bounds.contact-ms")]
#[case::stopped("heartbeat-ms = 0", "", "heartbeat-ms")]
#[case::nowhere("[carrier-api]\nrate-per-s = 3", "", "carrier-api")]
fn a_wrong_field_is_named(#[case] added: &str, #[case] taken_out: &str, #[case] named: &str) {
    let text = format!(
        "{}{added}\n",
        if taken_out.is_empty() { NEEDED.into() } else { NEEDED.replace(taken_out, "") }
    );
    let error = Settings::from_text(&text).unwrap_err();
    assert!(matches!(error, Error::Field { .. }), "{error:?}");
    assert!(error.to_string().contains(named), "{error}");
}

#[test]
fn a_watch_tells_each_change_once() {
    let path = std::env::temp_dir().join(format!("kitepass-intent-{}.toml", std::process::id()));
    let write = |text: &str| std::fs::write(&path, text).unwrap();
    write(NEEDED);
    let mut watch = Watch::new(&path);
    assert_eq!(watch.changed().unwrap().unwrap().node_id, "a");
    assert!(watch.changed().is_none());
    // The same length, and most likely the same tick of the file system's clock.
    write(&NEEDED.replace("\"a\"", "\"b\""));
    assert_eq!(watch.changed().unwrap().unwrap().node_id, "b");
    write("station = ");
    assert!(matches!(watch.changed(), Some(Err(Error::NotToml { .. }))));
    assert!(watch.changed().is_none());
    std::fs::remove_file(&path).unwrap();
    assert!(matches!(watch.changed(), Some(Err(Error::Unreadable { .. }))));
    assert!(watch.changed().is_none());
    write(NEEDED);
    assert_eq!(watch.changed().unwrap().unwrap().node_id, "a");
    std::fs::remove_file(&path).unwrap();
}

#[rstest]
#[case("plain-1", "k=plain-1")]
#[case("", "k=\"\"")]
#[case("two \"words\"\n", r#"k="two \"words\"\n""#)]
fn a_pair_is_one_word_to_a_reader_of_logs(#[case] value: &str, #[case] shown: &str) {
    assert_eq!(pair("k", value).to_string(), shown);
}
