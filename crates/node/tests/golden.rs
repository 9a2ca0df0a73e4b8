//! Compares every parsed value of the settings files in `golden/` with the expected values there, and checks the error
//! messages for invalid files. Deployed files must keep their meaning across upgrades, so the expected values must
//! never be regenerated.

use std::fmt::Display;
use std::time::Duration;

use kitepass_node::{Bounds, FaultTolerance, Listeners, PlatformApi, ResourceLimits, Settings};
use rstest::rstest;

const EVERY_FIELD: &str = include_str!("golden/node-every-field.toml");
const REQUIRED_FIELDS: &str = include_str!("golden/node-required-fields.toml");
const SCHEMA: &str = include_str!("../schema/settings.json");

/// The values of a settings file, one per line, with their names in the file.
#[derive(Default)]
struct Listing {
    text: String,
    table: &'static str,
}

impl Listing {
    fn table(&mut self, name: &'static str) {
        self.table = name;
    }

    fn value(&mut self, key: &str, value: impl Display) {
        let separator = if self.table.is_empty() { "" } else { "." };
        self.text += &format!("{}{separator}{key} = {value}\n", self.table);
    }

    fn optional(&mut self, key: &str, value: Option<impl Display>) {
        match value {
            Some(value) => self.value(key, value),
            None => self.value(key, "unset"),
        }
    }

    fn duration(&mut self, key: &str, duration: Duration) {
        self.value(key, microseconds(duration));
    }

    fn optional_duration(&mut self, key: &str, duration: Option<Duration>) {
        self.optional(key, duration.map(microseconds));
    }
}

fn microseconds(duration: Duration) -> String {
    format!("{} microseconds", duration.as_micros())
}

/// The patterns in the functions below list all fields, so that a new field must be added here and in the golden files.
fn list(settings: &Settings) -> String {
    let Settings {
        node_id: id,
        role: role_name,
        address: ip_address,
        zone: zone_name,
        region: region_name,
        peer_ports: (first_port, last_port),
        bootstrap_addresses: bootstrap,
        is_first_start: first_start,
        counts_toward_tolerance: counts,
        data_dir: dir,
        heartbeat,
        zones: region_by_zone,
        listeners: addresses_by_service,
        limits,
        tolerance,
        bounds,
        platform: platform_api,
    } = settings;
    let mut listing = Listing::default();
    listing.value("station", id);
    listing.value("post", format!("\"{role_name}\""));
    listing.value("ip", ip_address);
    listing.value("district", zone_name);
    listing.value("province", region_name);
    listing.value("sidings", format!("{first_port} to {last_port}"));
    let addresses: Vec<String> = bootstrap.iter().map(ToString::to_string).collect();
    listing.value("first-stops", format!("[{}]", addresses.join(", ")));
    listing.value("maiden-run", first_start);
    listing.value("on-roll", counts);
    listing.optional("archive-dir", dir.as_ref().map(|path| path.display()));
    listing.duration("heartbeat-ms", *heartbeat);
    listing.table("districts");
    for (zone, region) in region_by_zone {
        listing.value(zone, region);
    }
    list_listeners(&mut listing, addresses_by_service);
    list_limits(&mut listing, limits);
    list_tolerance(&mut listing, tolerance);
    list_bounds(&mut listing, bounds);
    list_platform_api(&mut listing, platform_api.as_ref());
    listing.text
}

fn list_listeners(listing: &mut Listing, listeners: &Listeners) {
    let Listeners {
        client_api: client_address,
        readiness,
        operator_api: operator_address,
        directory_api: directory_address,
    } = listeners;
    listing.table("counters");
    listing.optional("front-counter", *client_address);
    listing.optional("readiness", *readiness);
    listing.optional("control-desk", *operator_address);
    listing.optional("directory-desk", *directory_address);
}

fn list_limits(listing: &mut Listing, limits: &ResourceLimits) {
    let ResourceLimits {
        cpu_quota,
        cores,
        memory_mb,
        file_descriptors: descriptors,
        link_mbps: bandwidth_mbps,
        disk_mb,
    } = limits;
    listing.table("weight-limits");
    listing.value("cpu-quota", cpu_quota);
    listing.value("cores", cores);
    listing.value("memory-mb", memory_mb);
    listing.value("handles", descriptors);
    listing.value("line-mbps", bandwidth_mbps);
    listing.value("disk-mb", disk_mb);
}

fn list_tolerance(listing: &mut Listing, tolerance: &FaultTolerance) {
    let FaultTolerance { machines: machine_failures, zones: zone_failures, regions: region_failures } =
        tolerance;
    listing.table("tolerance");
    listing.value("vehicles", machine_failures);
    listing.value("districts", zone_failures);
    listing.value("provinces", region_failures);
}

fn list_bounds(listing: &mut Listing, bounds: &Bounds) {
    let Bounds {
        stable_after,
        rejoin_hold_down,
        drain_delay,
        shutdown_grace: grace_period,
        configuration_delay: propagation_delay,
        retry_ratio,
        retry_window,
        retry_margin,
        quota_window,
        quota_excess,
        quota_margin,
        slow_start_excess: rate_excess,
        slow_start_margin: rate_margin,
        evacuation_delay: zone_delay,
        max_directory_ttl,
        is_sealed_off: is_sealed,
        max_endpoint_list_lag: max_lag,
        address_reuse_delay,
        operator_ack_timeout,
        lost_request_timeout,
        stale_version_grace_period: grace,
        degraded_extension,
        recall,
        recovery_time,
    } = bounds;
    listing.table("schedule-bounds");
    listing.duration("contact-ms", *stable_after);
    listing.duration("settle-s", *rejoin_hold_down);
    listing.duration("clearance-ms", *drain_delay);
    listing.duration("courtesy-s", *grace_period);
    listing.duration("timetable-ms", *propagation_delay);
    listing.value("retry-ratio", retry_ratio);
    listing.duration("retry-window-s", *retry_window);
    listing.value("retry-margin", retry_margin);
    listing.duration("quota-window-s", *quota_window);
    listing.value("quota-excess", quota_excess);
    listing.value("quota-margin", quota_margin);
    listing.value("cold-excess", rate_excess);
    listing.value("cold-margin", rate_margin);
    listing.duration("evacuate-ms", *zone_delay);
    listing.duration("ttl_max_s", *max_directory_ttl);
    listing.value("sealed-off", is_sealed);
    listing.optional_duration("roster-lag-s", *max_lag);
    listing.optional_duration("readdress-s", *address_reuse_delay);
    listing.optional_duration("receipt-ms", *operator_ack_timeout);
    listing.optional_duration("missing-ms", *lost_request_timeout);
    listing.optional_duration("return-ms", *grace);
    listing.optional_duration("stretch-ms", *degraded_extension);
    listing.optional_duration("recall-ms", *recall);
    listing.optional_duration("recovery-s", *recovery_time);
}

fn list_platform_api(listing: &mut Listing, platform_api: Option<&PlatformApi>) {
    listing.table("carrier-api");
    let Some(PlatformApi { address, rate_per_s, delay_ms }) = platform_api else {
        listing.value("address", "unset");
        return;
    };
    listing.value("address", address);
    listing.value("rate-per-s", rate_per_s);
    listing.value("delay-ms", delay_ms);
}

#[rstest]
#[case::every_field(EVERY_FIELD, include_str!("golden/node-every-field.expected.txt"))]
#[case::required_fields(REQUIRED_FIELDS, include_str!("golden/node-required-fields.expected.txt"))]
fn a_settings_file_keeps_its_meaning(#[case] file: &str, #[case] expected: &str) {
    let settings = Settings::from_text(file).expect("the golden file is valid");
    assert_eq!(list(&settings), expected);
}

/// Collects the dotted paths of all settings in an object of the schema.
fn names_in_schema(object: &serde_json::Value, table: &str, names: &mut Vec<String>) {
    let properties = object["properties"].as_object().expect("an object lists its properties");
    for (name, property) in properties {
        let path = format!("{table}{name}");
        if property["properties"].is_object() {
            names_in_schema(property, &format!("{path}."), names);
        } else {
            names.push(path);
        }
    }
}

#[test]
fn the_golden_file_uses_every_setting_of_the_schema() {
    let schema = serde_json::from_str(SCHEMA).expect("the schema is JSON");
    let mut names = Vec::new();
    names_in_schema(&schema, "", &mut names);
    assert_eq!(names.len(), 52);
    let file: serde_json::Value = toml::from_str(EVERY_FIELD).expect("the golden file is TOML");
    for name in names {
        let pointer = format!("/{}", name.replace('.', "/"));
        assert!(file.pointer(&pointer).is_some(), "{name} is missing");
    }
}

/// Replaces one line of the golden file with only the required settings. The cases cover errors detected by the schema,
/// by deserialization, and by the check of the port range.
#[rstest]
#[case::required_setting_missing(
    "station = \"data-south-1\"",
    "",
    "field (top): \"station\" is a required property"
)]
#[case::wrong_type("station = \"data-south-1\"", "station = 7", "field station: 7 is not of type \"string\"")]
#[case::empty_name(
    "district = \"south-1\"",
    "district = \"\"",
    "field district: \"\" is shorter than 1 character"
)]
#[case::invalid_ip_address(
    "ip = \"127.0.0.21\"",
    "ip = \"localhost\"",
    "field ip: invalid IPv4 address syntax"
)]
#[case::port_out_of_range(
    "[20300, 20300]",
    "[20300, 70000]",
    "field sidings.1: 70000 is greater than the maximum of 65535"
)]
#[case::one_port("[20300, 20300]", "[20300]", "field sidings: [20300] has less than 2 items")]
#[case::ports_in_wrong_order("[20300, 20300]", "[20301, 20300]", "field sidings: 20301 is above 20300")]
#[case::heartbeat_of_zero(
    "sidings",
    "heartbeat-ms = 0\nsidings",
    "field heartbeat-ms: 0 is less than the minimum of 1"
)]
#[case::negative_time(
    "[20300, 20300]",
    "[20300, 20300]\n[schedule-bounds]\nsettle-s = -1",
    "field schedule-bounds.settle-s: -1 is less than the minimum of 0"
)]
#[case::address_without_port(
    "[20300, 20300]",
    "[20300, 20300]\n[counters]\nreadiness = \"127.0.0.21\"",
    "field counters.readiness: invalid socket address syntax"
)]
#[case::platform_api_without_address(
    "[20300, 20300]",
    "[20300, 20300]\n[carrier-api]\nrate-per-s = 3",
    "field carrier-api: \"address\" is a required property"
)]
#[case::invalid_toml(
    "province = \"south\"",
    "province = ",
    concat!(
        "not TOML: TOML parse error at line 5, column 12\n",
        "  |\n",
        "5 | province = \n",
        "  |            ^\n",
        "string values must be quoted, expected literal string",
    )
)]
#[case::duplicate_setting(
    "province = \"south\"",
    "station = \"again\"",
    concat!(
        "not TOML: TOML parse error at line 5, column 1\n",
        "  |\n",
        "5 | station = \"again\"\n",
        "  | ^^^^^^^\n",
        "duplicate key",
    )
)]
fn invalid_settings_have_the_expected_error_message(
    #[case] line: &str,
    #[case] replacement: &str,
    #[case] error: &str,
) {
    assert!(REQUIRED_FIELDS.contains(line));
    let file = REQUIRED_FIELDS.replacen(line, replacement, 1);
    assert_eq!(Settings::from_text(&file).unwrap_err().to_string(), error);
}

#[test]
fn an_unreadable_file_has_the_expected_error_message() {
    let path = std::path::Path::new("/nonexistent/node.toml");
    let error = Settings::load(path).unwrap_err();
    assert_eq!(error.to_string(), "/nonexistent/node.toml: No such file or directory (os error 2)");
}
