//! Settings files as they are read today, value by value, and the error text of files that are rejected. Deployed
//! files must keep their meaning across upgrades: expected values stand in `golden/` and are never regenerated.

use std::fmt::Display;
use std::time::Duration;

use kitepass_node::{Bounds, Listeners, MachineLimits, Platform, Settings, Tolerance};
use rstest::rstest;

const EVERY_FIELD: &str = include_str!("golden/node-every-field.toml");
const REQUIRED_FIELDS: &str = include_str!("golden/node-required-fields.toml");
const SCHEMA: &str = include_str!("../schema/settings.json");

/// A settings file's values, a line each, under the names that they have in the file.
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

/// All patterns below name every field: a new one has to be listed here and in the golden files.
fn list(settings: &Settings) -> String {
    let Settings {
        node_id: station,
        role: post,
        address: ip,
        zone: district,
        region: province,
        peer_ports: (first_port, last_port),
        bootstrap_addresses: first_stops,
        is_first_start: maiden_run,
        counts_toward_tolerance: on_roll,
        data_dir: archive_dir,
        heartbeat,
        zones: districts,
        listeners: counters,
        limits,
        tolerance,
        bounds,
        platform: carrier,
    } = settings;
    let mut listing = Listing::default();
    listing.value("station", station);
    listing.value("post", format!("\"{post}\""));
    listing.value("ip", ip);
    listing.value("district", district);
    listing.value("province", province);
    listing.value("sidings", format!("{first_port} to {last_port}"));
    let addresses: Vec<String> = first_stops.iter().map(ToString::to_string).collect();
    listing.value("first-stops", format!("[{}]", addresses.join(", ")));
    listing.value("maiden-run", maiden_run);
    listing.value("on-roll", on_roll);
    listing.optional("archive-dir", archive_dir.as_ref().map(|folder| folder.display()));
    listing.duration("heartbeat-ms", *heartbeat);
    listing.table("districts");
    for (district, province) in districts {
        listing.value(district, province);
    }
    list_counters(&mut listing, counters);
    list_limits(&mut listing, limits);
    list_tolerance(&mut listing, tolerance);
    list_bounds(&mut listing, bounds);
    list_carrier(&mut listing, carrier.as_ref());
    listing.text
}

fn list_counters(listing: &mut Listing, counters: &Listeners) {
    let Listeners {
        client_api: front_counter,
        readiness,
        operator_api: control_desk,
        directory_api: directory_desk,
    } = counters;
    listing.table("counters");
    listing.optional("front-counter", *front_counter);
    listing.optional("readiness", *readiness);
    listing.optional("control-desk", *control_desk);
    listing.optional("directory-desk", *directory_desk);
}

fn list_limits(listing: &mut Listing, limits: &MachineLimits) {
    let MachineLimits {
        cpu_quota,
        cores,
        memory_mb,
        file_descriptors: handles,
        link_mbps: line_mbps,
        disk_mb,
    } = limits;
    listing.table("weight-limits");
    listing.value("cpu-quota", cpu_quota);
    listing.value("cores", cores);
    listing.value("memory-mb", memory_mb);
    listing.value("handles", handles);
    listing.value("line-mbps", line_mbps);
    listing.value("disk-mb", disk_mb);
}

fn list_tolerance(listing: &mut Listing, tolerance: &Tolerance) {
    let Tolerance { machines: vehicles, zones: districts, regions: provinces } = tolerance;
    listing.table("tolerance");
    listing.value("vehicles", vehicles);
    listing.value("districts", districts);
    listing.value("provinces", provinces);
}

fn list_bounds(listing: &mut Listing, bounds: &Bounds) {
    let Bounds {
        contact,
        settle,
        clearance,
        shutdown_grace: courtesy,
        configuration_delay: timetable,
        retry_ratio,
        retry_window,
        retry_margin,
        quota_window,
        quota_excess,
        quota_margin,
        slow_start_excess: cold_excess,
        slow_start_margin: cold_margin,
        evacuation: evacuate,
        ttl_max,
        is_sealed_off: sealed_off,
        endpoint_list_lag: roster_lag,
        readdress,
        receipt,
        missing,
        return_after: back,
        stretch,
        recall,
        recovery,
    } = bounds;
    listing.table("schedule-bounds");
    listing.duration("contact-ms", *contact);
    listing.duration("settle-s", *settle);
    listing.duration("clearance-ms", *clearance);
    listing.duration("courtesy-s", *courtesy);
    listing.duration("timetable-ms", *timetable);
    listing.value("retry-ratio", retry_ratio);
    listing.duration("retry-window-s", *retry_window);
    listing.value("retry-margin", retry_margin);
    listing.duration("quota-window-s", *quota_window);
    listing.value("quota-excess", quota_excess);
    listing.value("quota-margin", quota_margin);
    listing.value("cold-excess", cold_excess);
    listing.value("cold-margin", cold_margin);
    listing.duration("evacuate-ms", *evacuate);
    listing.duration("ttl_max_s", *ttl_max);
    listing.value("sealed-off", sealed_off);
    listing.optional_duration("roster-lag-s", *roster_lag);
    listing.optional_duration("readdress-s", *readdress);
    listing.optional_duration("receipt-ms", *receipt);
    listing.optional_duration("missing-ms", *missing);
    listing.optional_duration("return-ms", *back);
    listing.optional_duration("stretch-ms", *stretch);
    listing.optional_duration("recall-ms", *recall);
    listing.optional_duration("recovery-s", *recovery);
}

fn list_carrier(listing: &mut Listing, carrier: Option<&Platform>) {
    listing.table("carrier-api");
    let Some(Platform { address, rate_per_s, delay_ms }) = carrier else {
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

/// The names of all settings below a schema's object, with the tables that they are in.
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

/// The golden file of the required settings with one line replaced; what the schema, the types and the file's own
/// check reject.
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
#[case::no_address("ip = \"127.0.0.21\"", "ip = \"localhost\"", "field ip: invalid IPv4 address syntax")]
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
#[case::no_port(
    "[20300, 20300]",
    "[20300, 20300]\n[counters]\nreadiness = \"127.0.0.21\"",
    "field counters.readiness: invalid socket address syntax"
)]
#[case::carrier_without_address(
    "[20300, 20300]",
    "[20300, 20300]\n[carrier-api]\nrate-per-s = 3",
    "field carrier-api: \"address\" is a required property"
)]
#[case::no_toml(
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
#[case::name_given_twice(
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
fn a_rejected_file_has_this_error(#[case] line: &str, #[case] replacement: &str, #[case] error: &str) {
    assert!(REQUIRED_FIELDS.contains(line));
    let file = REQUIRED_FIELDS.replacen(line, replacement, 1);
    assert_eq!(Settings::from_text(&file).unwrap_err().to_string(), error);
}

#[test]
fn a_file_that_cannot_be_read_has_this_error() {
    let path = std::path::Path::new("/nonexistent/node.toml");
    let error = Settings::load(path).unwrap_err();
    assert_eq!(error.to_string(), "/nonexistent/node.toml: No such file or directory (os error 2)");
}
