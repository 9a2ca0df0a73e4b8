//! Parsing of valid and invalid settings files, detection of changes to them, and the format of log fields.

use std::path::PathBuf;
use std::time::Duration;

use kitepass_node::{log_field, Bounds, Error, FaultTolerance, ResourceLimits, Settings, SettingsWatcher};
use rstest::rstest;

const REQUIRED_FIELDS: &str =
    "station = \"a\"\nip = \"10.1.0.35\"\ndistrict = \"d\"\nprovince = \"p\"\nsidings = [7740, 7755]\n";

const EVERY_FIELD: &str = include_str!("every_field.toml");

#[test]
fn a_file_with_every_field_is_parsed() {
    let settings = Settings::from_text(EVERY_FIELD).unwrap();
    assert_eq!(
        (settings.node_id.as_str(), settings.role.as_str(), settings.peer_ports),
        ("sorting-levis-a-1", "my-sorting", (7740, 7755))
    );
    assert_eq!(settings.bootstrap_addresses[1], "10.2.0.10:8688".parse().unwrap());
    assert!(settings.is_first_start && settings.counts_toward_tolerance);
    assert_eq!(settings.data_dir, Some(PathBuf::from("/data/my-sorting")));
    assert_eq!(settings.zones["levis-a"], "quebec-est");
    assert_eq!(settings.listeners.directory_api, Some("10.1.0.35:8684".parse().unwrap()));
    assert_eq!(settings.listeners.readiness, None);
    assert_eq!(settings.limits, ResourceLimits { memory_mb: 512, ..ResourceLimits::default() });
    assert_eq!(settings.tolerance, FaultTolerance { machines: 2, zones: 1, regions: 0 });
    let bounds = Bounds {
        stable_after: Duration::from_micros(2500),
        rejoin_hold_down: Duration::from_millis(4500),
        is_sealed_off: true,
        max_endpoint_list_lag: Some(Duration::from_secs(3)),
        ..Bounds::default()
    };
    assert_eq!(settings.bounds, bounds);
    let platform = settings.platform.unwrap();
    assert_eq!((platform.rate_per_s, platform.delay_ms), (40.0, 700));
}

#[test]
fn missing_fields_have_defaults() {
    let settings = Settings::from_text(REQUIRED_FIELDS).unwrap();
    assert_eq!(
        (settings.heartbeat, settings.platform, settings.data_dir),
        (Duration::from_millis(1500), None, None)
    );
    assert_eq!((settings.bounds, settings.limits, settings.tolerance), Default::default());
    assert!(
        !settings.is_first_start
            && !settings.counts_toward_tolerance
            && settings.bootstrap_addresses.is_empty()
    );
}

/// Each file is rejected, and the error message contains the name of the field.
#[rstest]
#[case::missing_field("", "station = \"a\"", "station")]
#[case::wrong_type("maiden-run = 3", "", "maiden-run")]
#[case::port("", "7755", "sidings")]
#[case::address("[counters]\nreadiness = \"here\"", "", "counters.readiness")]
#[case::ip_address("", "0.35", "ip")]
#[case::negative_time("[schedule-bounds]\nsettle-s = -1", "", "schedule-bounds.settle-s")]
#[case::time_that_is_not_a_number("[schedule-bounds]\ncontact-ms = nan", "", "schedule-bounds.contact-ms")]
#[case::heartbeat_of_zero("heartbeat-ms = 0", "", "heartbeat-ms")]
#[case::platform_without_address("[carrier-api]\nrate-per-s = 3", "", "carrier-api")]
fn an_error_names_the_field(#[case] added: &str, #[case] removed: &str, #[case] field: &str) {
    let text = format!(
        "{}{added}\n",
        if removed.is_empty() { REQUIRED_FIELDS.into() } else { REQUIRED_FIELDS.replace(removed, "") }
    );
    let error = Settings::from_text(&text).unwrap_err();
    assert!(matches!(error, Error::InvalidField { .. }), "{error:?}");
    assert!(error.to_string().contains(field), "{error}");
}

#[test]
fn a_watcher_reports_each_change_once() {
    let path = std::env::temp_dir().join(format!("kitepass-node-{}.toml", std::process::id()));
    let write = |text: &str| std::fs::write(&path, text).unwrap();
    write(REQUIRED_FIELDS);
    let mut watcher = SettingsWatcher::new(&path);
    assert_eq!(watcher.poll().unwrap().unwrap().node_id, "a");
    assert!(watcher.poll().is_none());
    // The length stays the same, and most likely the modification time does as well.
    write(&REQUIRED_FIELDS.replace("\"a\"", "\"b\""));
    assert_eq!(watcher.poll().unwrap().unwrap().node_id, "b");
    write("station = ");
    assert!(matches!(watcher.poll(), Some(Err(Error::InvalidToml { .. }))));
    assert!(watcher.poll().is_none());
    std::fs::remove_file(&path).unwrap();
    assert!(matches!(watcher.poll(), Some(Err(Error::ReadFailed { .. }))));
    assert!(watcher.poll().is_none());
    write(REQUIRED_FIELDS);
    assert_eq!(watcher.poll().unwrap().unwrap().node_id, "a");
    std::fs::remove_file(&path).unwrap();
}

#[rstest]
#[case("plain-1", "k=plain-1")]
#[case("", "k=\"\"")]
#[case("two \"words\"\n", r#"k="two \"words\"\n""#)]
fn a_log_field_is_a_single_token(#[case] value: &str, #[case] expected: &str) {
    assert_eq!(log_field("k", value).to_string(), expected);
}
