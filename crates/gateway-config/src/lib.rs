//! The settings object, read once: what the decision module is told, and what sockets need beside it.

// Until the issue "Readable code 2" has reached this crate.
#![allow(missing_docs, unreachable_pub, clippy::missing_errors_doc, clippy::missing_panics_doc)]
#![allow(clippy::too_many_arguments, clippy::too_many_lines, clippy::wildcard_imports)]

use kitepass_gateway_policy::{GatewayConfig, Group, Idempotency, Plan, SlowStart, Workload};
use kitepass_time::Duration;
use serde_json::Value;
use std::rc::Rc;

/// Why the settings cannot be taken: the field, and what was expected there.
pub type Refusal = String;

/// What the settings say of connections and of the time limits around them.
#[derive(Clone, Copy, Debug)]
pub struct Carriage {
    /// A connection that is not made by then is given up.
    pub connect_within: Duration,
    /// Backends close a connection that has stood idle for this long.
    pub idle: Duration,
    /// Time past a client's own in which a final answer still counts.
    pub answer_slack: Duration,
}

/// Reads the object from its text. `field` is what it is called where it came from.
pub fn from_text(field: &str, text: &str) -> Result<(GatewayConfig, Carriage), Refusal> {
    let all = serde_json::from_str(text).map_err(|e| format!("{field}: expected JSON, {e}"))?;
    from_value(field, &all)
}

/// Reads the object from a JSON text that holds more than it.
pub fn from_value(field: &str, all: &Value) -> Result<(GatewayConfig, Carriage), Refusal> {
    if !all.is_object() {
        return Err(format!("{field}: expected a JSON object"));
    }
    let part = |value, name: &str| Part { name: format!("{field}{name}"), value };
    let whole = part(all, "");
    let (caps, family) = (part(&all["Caps"], ".Caps"), part(&all["FamilyInfo"], ".FamilyInfo"));
    let safety = part(&all["Safety"], ".Safety");
    let counted = family.yes("SharedCounter")?;
    let heeded = caps.yes("RetryAfter")?;
    let peers = caps.yes("PeerMessages")?;
    let config = GatewayConfig {
        gateways: whole.number("ReplicasOfMe", 1.0)?.max(1.0) as u32,
        gateway_index: whole.number("Me", 0.0)? as u32,
        workloads: whole.entries("Classes")?.iter().map(workload).collect::<Result<_, _>>()?,
        plans: whole.entries("Plans")?.iter().map(|p| plan(p).map(Rc::new)).collect::<Result<_, _>>()?,
        counter_timeout: counted.then(|| family.span("CounterTimeout", 0.05)).transpose()?,
        max_units: family.number("MaxUnits", 1.0)?.max(1.0),
        max_attempts: caps.number("TryLimit", 1.0)?.max(1.0) as u32,
        max_peer_messages: if peers { family.number("MailPerS", 0.0)? } else { 0.0 },
        max_retry_after: heeded.then(|| caps.span("MaxRetryAfter", 1.0)).transpose()?,
        slow_start: SlowStart {
            initial_capacity: safety.number("ColdFrom", 1.0)?,
            ramp: safety.span("WarmWithin", 0.0)?,
            multiple: safety.number("FallMultiple", 1.0)?,
            window: safety.span("Fall", 1.0)?,
        },
    };
    let carriage = Carriage {
        connect_within: caps.span("ConnectTimeout", 0.25)?,
        idle: caps.span("ConnIdle", 15.0)?,
        answer_slack: safety.span("AnswerSlack", 0.016)?,
    };
    Ok((config, carriage))
}

fn workload(entry: &Part) -> Result<Workload, Refusal> {
    let group = match entry.word("Group", "all")? {
        "zone" => Group::Zone,
        "cell" => Group::Cell,
        _ => Group::All,
    };
    Ok(Workload {
        name: entry.word("Name", "")?.to_owned(),
        idempotency: match entry.word("Effect", "fragile")? {
            "retryable" => Idempotency::Idempotent,
            "dedup" => Idempotency::Deduplicated { group, memory: entry.span("Window", 0.0)? },
            _ => Idempotency::NonIdempotent,
        },
        latency_target: entry.span("Objective", 1.0)?,
        late_value: entry.number("LateWorth", 0.0)?,
        value: entry.number("Gain", 1.0)?,
    })
}

fn plan(entry: &Part) -> Result<Plan, Refusal> {
    Ok(Plan {
        name: entry.word("Name", "")?.to_owned(),
        rate: entry.number("Refill", 0.0)?,
        burst: entry.number("StoreSize", 0.0)?,
        max_in_flight: entry.number("Open", 0.0)? as u32,
        hard_rate: entry.number("CeilingRate", 0.0)?,
        hard_burst: entry.number("NeverOverDepth", 0.0)?,
    })
}

/// A part of the object, and the path that names it in a refusal.
struct Part<'a> {
    name: String,
    value: &'a Value,
}

impl<'a> Part<'a> {
    fn entries(&self, key: &str) -> Result<Vec<Part<'a>>, Refusal> {
        let entry = |(n, value)| Part { name: format!("{}.{key}[{n}]", self.name), value };
        match &self.value[key] {
            Value::Null => Ok(Vec::new()),
            Value::Array(entries) => Ok(entries.iter().enumerate().map(entry).collect()),
            _ => Err(self.wrong(key, "an array")),
        }
    }

    fn number(&self, key: &str, absent: f64) -> Result<f64, Refusal> {
        match &self.value[key] {
            Value::Null => Ok(absent),
            found => {
                let number = found.as_f64().filter(|number| (0.0..1e9).contains(number));
                number.ok_or_else(|| self.wrong(key, "a number from 0 to below 1e9"))
            }
        }
    }

    fn span(&self, key: &str, absent: f64) -> Result<Duration, Refusal> {
        self.number(key, absent).map(|seconds| Duration::from_micros((seconds * 1e6).round() as i64))
    }

    fn yes(&self, key: &str) -> Result<bool, Refusal> {
        match &self.value[key] {
            Value::Null => Ok(false),
            found => found.as_bool().ok_or_else(|| self.wrong(key, "true or false")),
        }
    }

    fn word(&self, key: &str, absent: &'static str) -> Result<&'a str, Refusal> {
        match &self.value[key] {
            Value::Null => Ok(absent),
            found => found.as_str().ok_or_else(|| self.wrong(key, "text")),
        }
    }

    fn wrong(&self, key: &str, expected: &str) -> Refusal {
        format!("{}.{key}: expected {expected}", self.name)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_wrong_is_named() {
        let read = |text| from_text("Options", text);
        for (text, what) in [
            ("[1]", "Options: expected a JSON object"),
            ("{", "Options: expected JSON"),
            (r#"{"Plans":[{},{"Refill":"x"}]}"#, "Options.Plans[1].Refill: expected a number"),
            (r#"{"Caps":{"ConnIdle":-1}}"#, "Options.Caps.ConnIdle: expected a number from 0"),
            (r#"{"Classes":{}}"#, "Options.Classes: expected an array"),
            (r#"{"Caps":{"RetryAfter":1}}"#, "Options.Caps.RetryAfter: expected true or false"),
        ] {
            let refusal = read(text).expect_err(text);
            assert!(refusal.starts_with(what), "{refusal}");
        }
    }

    #[test]
    fn what_is_absent_or_unknown_is_passed_over() {
        let (config, carriage) = from_text("s", r#"{"Unknown":{},"ReplicasOfMe":3}"#).unwrap();
        assert_eq!((config.gateways, config.counter_timeout), (3, None));
        assert_eq!(carriage.idle, Duration::from_secs(15));
    }
}
