//! Golden test: the parsed settings, printed as text under the names of the settings format, and the error messages for
//! invalid settings must match `golden/settings.txt` byte for byte.

use kitepass_gateway_config::{from_text, ConnectionSettings};
use kitepass_gateway_policy::{GatewayConfig, Idempotency, Plan, Scope, Workload};
use kitepass_time::Duration;
use std::fmt::Write;
use std::path::Path;

/// Settings with every known field and some unknown ones.
const FULL: &str = include_str!("golden/full.json");

const SETTINGS: &[(&str, &str)] = &[
    ("every field", FULL),
    ("nothing", "{}"),
    (
        "nulls",
        r#"{"ReplicasOfMe":null,"Me":null,"Classes":null,"Plans":null,"Caps":null,"FamilyInfo":null,"Safety":null}"#,
    ),
    ("empty parts", r#"{"Classes":[],"Plans":[],"Caps":{},"FamilyInfo":{},"Safety":{}}"#),
    (
        "no replicas, no attempts, no units",
        r#"{"ReplicasOfMe":0,"Caps":{"TryLimit":0},"FamilyInfo":{"MaxUnits":0}}"#,
    ),
    ("fractions", r#"{"ReplicasOfMe":2.9,"Me":1.9,"Caps":{"TryLimit":2.9,"ConnIdle":0.0000014}}"#),
    ("a counter with its default", r#"{"FamilyInfo":{"SharedCounter":true}}"#),
    ("a time-out without a counter", r#"{"FamilyInfo":{"SharedCounter":false,"CounterTimeout":3}}"#),
    ("advice with its default", r#"{"Caps":{"RetryAfter":true}}"#),
    ("the longest advice without advice", r#"{"Caps":{"RetryAfter":false,"MaxRetryAfter":3}}"#),
    ("messages without leave", r#"{"Caps":{"PeerMessages":false},"FamilyInfo":{"MailPerS":40}}"#),
    ("messages without a number", r#"{"Caps":{"PeerMessages":true}}"#),
    ("parts of another kind", r#"{"Caps":7,"FamilyInfo":"text","Safety":[1]}"#),
    ("a name twice", r#"{"Me":1,"Me":2,"ReplicasOfMe":3}"#),
    // Invalid settings.
    ("empty text", ""),
    ("no JSON", "{"),
    ("more than one value", "{} {}"),
    ("an array", "[1]"),
    ("null", "null"),
    ("a number of another kind", r#"{"ReplicasOfMe":"3"}"#),
    ("a number below 0", r#"{"Me":-1}"#),
    ("a number too large", r#"{"Me":1000000000}"#),
    ("classes of another kind", r#"{"Classes":{}}"#),
    ("a class of another kind", r#"{"Classes":[7]}"#),
    ("a class's name", r#"{"Classes":[{},{"Name":7}]}"#),
    ("a class's effect", r#"{"Classes":[{"Effect":true}]}"#),
    ("a class's group", r#"{"Classes":[{"Group":1}]}"#),
    ("a class's window", r#"{"Classes":[{"Effect":"dedup","Window":"8"}]}"#),
    ("a class's window that is not used", r#"{"Classes":[{"Effect":"retryable","Window":"8"}]}"#),
    ("a class's objective", r#"{"Classes":[{"Objective":-1}]}"#),
    ("a class's value when late", r#"{"Classes":[{"LateWorth":[]}]}"#),
    ("a class's value", r#"{"Classes":[{"Gain":{}}]}"#),
    ("plans of another kind", r#"{"Plans":"basic"}"#),
    ("a plan's name", r#"{"Plans":[{"Name":[]}]}"#),
    ("a plan's rate", r#"{"Plans":[{},{"Refill":"x"}]}"#),
    ("a plan's store", r#"{"Plans":[{"StoreSize":-0.5}]}"#),
    ("a plan's open requests", r#"{"Plans":[{"Open":false}]}"#),
    ("a plan's rate limit", r#"{"Plans":[{"CeilingRate":1e9}]}"#),
    ("a plan's depth", r#"{"Plans":[{"NeverOverDepth":"0"}]}"#),
    ("a limit of attempts", r#"{"Caps":{"TryLimit":"4"}}"#),
    ("whether there is advice", r#"{"Caps":{"RetryAfter":1}}"#),
    ("the longest advice", r#"{"Caps":{"RetryAfter":true,"MaxRetryAfter":-1}}"#),
    ("whether there are messages", r#"{"Caps":{"PeerMessages":"yes"}}"#),
    ("a time to connect", r#"{"Caps":{"ConnectTimeout":"0.25"}}"#),
    ("a time of idleness", r#"{"Caps":{"ConnIdle":-1}}"#),
    ("whether there is a counter", r#"{"FamilyInfo":{"SharedCounter":"true"}}"#),
    ("a counter's time-out", r#"{"FamilyInfo":{"SharedCounter":true,"CounterTimeout":true}}"#),
    ("the most units", r#"{"FamilyInfo":{"MaxUnits":"6"}}"#),
    ("a rate of messages", r#"{"Caps":{"PeerMessages":true},"FamilyInfo":{"MailPerS":-4}}"#),
    ("an answer's slack", r#"{"Safety":{"AnswerSlack":"0"}}"#),
    ("where a start begins", r#"{"Safety":{"ColdFrom":"0.3"}}"#),
    ("when a start is over", r#"{"Safety":{"WarmWithin":-10}}"#),
    ("a window of overload", r#"{"Safety":{"Fall":[1]}}"#),
    ("a multiple of overload", r#"{"Safety":{"FallMultiple":"3"}}"#),
];

fn format_micros(duration: Duration) -> String {
    format!("{} us", duration.as_micros())
}

fn format_option<T>(value: Option<T>, text: impl Fn(T) -> String) -> String {
    value.map_or("none".to_owned(), text)
}

fn format_idempotency(workload: &Workload) -> String {
    match workload.idempotency {
        Idempotency::Idempotent => "retryable".to_owned(),
        Idempotency::NonIdempotent => "fragile".to_owned(),
        Idempotency::Deduplicated { scope, window } => {
            let scope = match scope {
                Scope::All => "all",
                Scope::Zone => "zone",
                Scope::Cell => "cell",
            };
            format!("dedup Group={scope} Window={}", format_micros(window))
        }
    }
}

fn format_workload(workload: &Workload) -> String {
    format!(
        "Name={:?} Effect={} Objective={} LateWorth={} Gain={}",
        workload.name,
        format_idempotency(workload),
        format_micros(workload.latency_target),
        workload.late_value,
        workload.value
    )
}

fn format_plan(plan: &Plan) -> String {
    format!(
        "Name={:?} Refill={} StoreSize={} Open={} CeilingRate={} NeverOverDepth={}",
        plan.name, plan.rate, plan.burst, plan.max_in_flight, plan.hard_rate, plan.hard_burst
    )
}

fn format_settings(config: &GatewayConfig, connection_settings: &ConnectionSettings) -> String {
    let slow_start = &config.slow_start;
    let mut lines = vec![
        format!("ReplicasOfMe={} Me={}", config.gateways, config.gateway_index),
        format!("TryLimit={}", config.max_attempts),
        format!("MaxRetryAfter={}", format_option(config.max_retry_after, format_micros)),
        format!("ConnectTimeout={}", format_micros(connection_settings.connect_timeout)),
        format!("ConnIdle={}", format_micros(connection_settings.idle_timeout)),
        format!("CounterTimeout={}", format_option(config.counter_timeout, format_micros)),
        format!("MaxUnits={}", config.max_units),
        format!("MailPerS={}", config.max_peer_messages),
        format!("AnswerSlack={}", format_micros(connection_settings.deadline_grace)),
        format!("ColdFrom={} WarmWithin={}", slow_start.initial_capacity, format_micros(slow_start.ramp)),
        format!("Fall={} FallMultiple={}", format_micros(slow_start.window), slow_start.multiple),
    ];
    lines.extend(config.workloads.iter().map(|workload| format!("Classes: {}", format_workload(workload))));
    lines.extend(config.plans.iter().map(|plan| format!("Plans: {}", format_plan(plan))));
    lines.iter().map(|line| format!("  {line}\n")).collect()
}

#[test]
fn settings_match_the_golden_file() {
    let mut actual = String::new();
    for (name, text) in SETTINGS {
        let outcome = match from_text("settings", text) {
            Ok((config, connection_settings)) => format_settings(&config, &connection_settings),
            Err(error) => format!("  error: {error}\n"),
        };
        let shown = if *text == FULL { "full.json" } else { text };
        let _ = write!(actual, "{name}: {shown}\n{outcome}");
    }
    let golden = include_str!("golden/settings.txt");
    let actual_path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("settings.txt");
    std::fs::write(&actual_path, &actual).expect("cannot write to the build directory");
    assert!(
        actual == golden,
        "the output differs from golden/settings.txt; the actual output is in {}",
        actual_path.display()
    );
}
