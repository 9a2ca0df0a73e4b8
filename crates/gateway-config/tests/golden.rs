//! What is read of a gateway's settings, and what is said of bad ones, stays as it is: in plain text, under the names that
//! the settings themselves have, beside the text in `golden/`.

use kitepass_gateway_config::{from_text, ConnectionSettings};
use kitepass_gateway_policy::{GatewayConfig, Idempotency, Plan, Scope, Workload};
use kitepass_time::Duration;
use std::fmt::Write;
use std::path::Path;

/// Settings that hold every field, and some that are not known.
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
    // What cannot be taken.
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

fn micros(span: Duration) -> String {
    format!("{} us", span.as_micros())
}

fn or_none<T>(value: Option<T>, text: impl Fn(T) -> String) -> String {
    value.map_or("none".to_owned(), text)
}

fn effect_of(workload: &Workload) -> String {
    match workload.idempotency {
        Idempotency::Idempotent => "retryable".to_owned(),
        Idempotency::NonIdempotent => "fragile".to_owned(),
        Idempotency::Deduplicated { scope, window } => {
            let scope = match scope {
                Scope::All => "all",
                Scope::Zone => "zone",
                Scope::Cell => "cell",
            };
            format!("dedup Group={scope} Window={}", micros(window))
        }
    }
}

fn class_line(workload: &Workload) -> String {
    format!(
        "Name={:?} Effect={} Objective={} LateWorth={} Gain={}",
        workload.name,
        effect_of(workload),
        micros(workload.latency_target),
        workload.late_value,
        workload.value
    )
}

fn plan_line(plan: &Plan) -> String {
    format!(
        "Name={:?} Refill={} StoreSize={} Open={} CeilingRate={} NeverOverDepth={}",
        plan.name, plan.rate, plan.burst, plan.max_in_flight, plan.hard_rate, plan.hard_burst
    )
}

fn describe(charter: &GatewayConfig, connection_settings: &ConnectionSettings) -> String {
    let cold = &charter.slow_start;
    let mut lines = vec![
        format!("ReplicasOfMe={} Me={}", charter.gateways, charter.gateway_index),
        format!("TryLimit={}", charter.max_attempts),
        format!("MaxRetryAfter={}", or_none(charter.max_retry_after, micros)),
        format!("ConnectTimeout={}", micros(connection_settings.connect_timeout)),
        format!("ConnIdle={}", micros(connection_settings.idle_timeout)),
        format!("CounterTimeout={}", or_none(charter.counter_timeout, micros)),
        format!("MaxUnits={}", charter.max_units),
        format!("MailPerS={}", charter.max_peer_messages),
        format!("AnswerSlack={}", micros(connection_settings.deadline_grace)),
        format!("ColdFrom={} WarmWithin={}", cold.initial_capacity, micros(cold.ramp)),
        format!("Fall={} FallMultiple={}", micros(cold.window), cold.multiple),
    ];
    lines.extend(charter.workloads.iter().map(|workload| format!("Classes: {}", class_line(workload))));
    lines.extend(charter.plans.iter().map(|plan| format!("Plans: {}", plan_line(plan))));
    lines.iter().map(|line| format!("  {line}\n")).collect()
}

#[test]
fn settings_are_read_as_ever() {
    let mut found = String::new();
    for (name, text) in SETTINGS {
        let outcome = match from_text("settings", text) {
            Ok((charter, connection_settings)) => describe(&charter, &connection_settings),
            Err(error) => format!("  error: {error}\n"),
        };
        let shown = if *text == FULL { "full.json" } else { text };
        let _ = write!(found, "{name}: {shown}\n{outcome}");
    }
    let golden = include_str!("golden/settings.txt");
    let left = Path::new(env!("CARGO_TARGET_TMPDIR")).join("settings.txt");
    std::fs::write(&left, &found).expect("a file in the build's folder");
    assert!(found == golden, "it differs from golden/settings.txt; what was found is in {}", left.display());
}
