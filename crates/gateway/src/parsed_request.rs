//! Parses and validates a client's request: the parts of the message that the policy needs.

use crate::http::{parse_decimal, Message};
use kitepass_gateway_policy::{GatewayConfig, Idempotency};
use kitepass_time::Duration;
use std::ops::Range;

/// Tenant ids, read as numbers, are below this.
const TENANT_ID_LIMIT: u64 = 1 << 33;
/// The longest trace id, in bytes.
const MAX_TRACE_ID_BYTES: usize = 128;

/// The header field with the trace id.
const TRACE_ID: &str = "x-trace-id";
/// The header field with the name of the tenant's plan.
const TARIFF: &str = "x-tariff";
/// The header field with the time that the client waits for a response, in milliseconds.
const EXPIRES_IN_MS: &str = "x-expires-in-ms";
/// The header field with the request's estimated units and the set of gateways that serve its tenant.
const WEIGHT: &str = "x-weight";
/// The header field by which backends detect a repeated request.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// A request as received, with the values parsed from it.
#[derive(Debug)]
pub(crate) struct ParsedRequest {
    pub(crate) message: Message,
    /// The byte range of the workload's name within the request target.
    workload_range: Range<usize>,
    /// The tenant's id. Invariant: lower case; otherwise a tenant would have one quota for each spelling.
    pub(crate) tenant: String,
    /// The name of the tenant's plan.
    pub(crate) plan: String,
    /// How long the client waits for the response.
    pub(crate) timeout: Duration,
    /// The estimated cost of the request, in units.
    pub(crate) units: f64,
    /// How many gateways the tenant's requests come through; 0 if the request does not say.
    pub(crate) gateways: u32,
    /// Index of the first of these gateways.
    pub(crate) first_gateway: u32,
    /// The head that every attempt sends, up to the remaining time, which is the last field.
    attempt_head: Vec<u8>,
}

/// Why a request is invalid, as text for its client.
pub(crate) type RequestError = &'static str;

impl ParsedRequest {
    /// Parses and validates a request.
    ///
    /// # Errors
    /// Names the first part that is missing or not allowed by `config`.
    pub(crate) fn parse(message: Message, config: &GatewayConfig) -> Result<ParsedRequest, RequestError> {
        let target = text(message.start_line_part(1)).ok_or("target")?;
        let path = target.split('?').next().unwrap_or_default();
        let (workload_name, tenant) =
            path[1..].split_once('/').ok_or("target: expected class and customer")?;
        let workload_range = 1..1 + workload_name.len();
        let tenant = tenant.rsplit('/').next().unwrap_or_default().to_ascii_lowercase();
        let is_hex_id = tenant.len() == 16 && tenant.bytes().all(|b| b.is_ascii_hexdigit());
        let number = u64::from_str_radix(&tenant, 16).ok().filter(|_| is_hex_id);
        if number.is_none_or(|c| c >= TENANT_ID_LIMIT) {
            return Err("customer: expected 16 hex digits, a number below 2^33");
        }
        let workload = config.workloads.iter().find(|w| w.name == workload_name).ok_or("class: not known")?;

        let trace_id = single_field(&message, TRACE_ID)?.ok_or("X-Trace-Id: expected one")?;
        if !(1..=MAX_TRACE_ID_BYTES).contains(&trace_id.len()) || !trace_id.iter().all(u8::is_ascii_graphic) {
            return Err("X-Trace-Id: expected an id");
        }
        let plan = single_field(&message, TARIFF)?.and_then(text).ok_or("X-Tariff: expected a plan")?;
        if !config.plans.iter().any(|p| p.name == plan) {
            return Err("X-Tariff: not known");
        }
        let timeout =
            single_field(&message, EXPIRES_IN_MS)?.and_then(parse_decimal).filter(|millis| *millis < 1 << 32);
        let timeout = timeout.ok_or("X-Expires-In-Ms: expected whole milliseconds")?;
        let key = single_field(&message, IDEMPOTENCY_KEY)?.filter(|key| !key.is_empty());
        if matches!(workload.idempotency, Idempotency::Deduplicated { .. }) && key.is_none() {
            return Err("Idempotency-Key: expected one"); // without a key, a retry could run the request twice
        }
        if [TRACE_ID, IDEMPOTENCY_KEY].iter().any(|name| message.has_connection_option(name.as_bytes())) {
            // A field that Connection names is not forwarded, and without its key, a retry could run the
            // request twice.
            return Err("Connection: names a field that a backend must see");
        }
        let weight = single_field(&message, WEIGHT)?.and_then(text).ok_or("X-Weight: expected one")?;
        let (units, gateways, first_gateway) =
            parse_weight(weight, config).ok_or("X-Weight: expected units and set")?;

        let (plan, timeout) = (plan.to_owned(), Duration::from_micros(timeout as i64 * 1000));
        let attempt_head = attempt_head(&message);
        Ok(ParsedRequest {
            workload_range,
            tenant,
            plan,
            timeout,
            units,
            gateways,
            first_gateway,
            attempt_head,
            message,
        })
    }

    /// The name of the request's workload.
    pub(crate) fn workload(&self) -> &str {
        text(&self.message.start_line_part(1)[self.workload_range.clone()]).unwrap_or_default()
    }

    /// The trace id. Invariant: unique among the requests that still need a response.
    pub(crate) fn trace_id(&self) -> &[u8] {
        self.message.field(TRACE_ID).unwrap_or_default()
    }

    /// Whether the method is HEAD, whose response has no body.
    pub(crate) fn is_head_request(&self) -> bool {
        self.message.start_line_part(0) == b"HEAD"
    }

    /// Appends the message of an attempt that times out after `timeout`.
    pub(crate) fn append_attempt(&self, timeout: Duration, output: &mut Vec<u8>) {
        output.extend_from_slice(&self.attempt_head);
        output
            .extend_from_slice(format!("X-Expires-In-Ms: {}\r\n\r\n", timeout.as_micros() / 1000).as_bytes());
        output.extend_from_slice(self.message.body());
    }
}

/// The head of an attempt, without the remaining time: start line and forwarded fields.
fn attempt_head(message: &Message) -> Vec<u8> {
    let mut attempt_head = Vec::with_capacity(512);
    for part in [message.start_line_part(0), b" ", message.start_line_part(1), b" HTTP/1.1\r\n"] {
        attempt_head.extend_from_slice(part);
    }
    message.append_forwarded_fields(&[EXPIRES_IN_MS], &mut attempt_head);
    if !message.body().is_empty() || message.start_line_part(0) != b"GET" {
        attempt_head.extend_from_slice(format!("Content-Length: {}\r\n", message.body().len()).as_bytes());
    }
    attempt_head
}

/// The value of a header field that may occur at most once.
///
/// # Errors
/// The field occurs more than once.
fn single_field<'a>(message: &'a Message, name: &str) -> Result<Option<&'a [u8]>, RequestError> {
    let mut values = message.fields().filter(|(n, _)| n.eq_ignore_ascii_case(name.as_bytes()));
    let first = values.next().map(|(_, value)| value);
    match values.next() {
        Some(_) => Err("a field that stands twice"),
        None => Ok(first),
    }
}

/// The bytes as text, if they are UTF-8.
fn text(bytes: &[u8]) -> Option<&str> {
    std::str::from_utf8(bytes).ok()
}

/// The units, the number of gateways and the first gateway in an `X-Weight` field. The number of gateways is 0 if
/// the field does not say it.
fn parse_weight(text: &str, config: &GatewayConfig) -> Option<(f64, u32, u32)> {
    let (mut units, mut gateways, mut first_gateway) = (None, None, None);
    for part in text.split(',') {
        let (name, value) = part.trim().split_once('=')?;
        match name {
            "units" if units.is_none() => units = Some(value.parse::<f64>().ok()?),
            "spread" if gateways.is_none() => gateways = Some(parse_u32(value).filter(|n| *n >= 1)?),
            "first" if first_gateway.is_none() => first_gateway = Some(parse_u32(value)?),
            "units" | "spread" | "first" => return None, // a repeated name is ambiguous
            _ => {}                                      // later versions may add names
        }
    }
    let (gateways, first_gateway) = (gateways.unwrap_or(0), first_gateway.unwrap_or(0));
    let is_valid_set = gateways <= config.gateways && first_gateway < config.gateways;
    // Invariant: no request costs more than `max_units`; a larger one could use up its tenant's quota alone.
    let units = units.filter(|units| *units > 0.0 && *units <= config.max_units && is_valid_set)?;
    Some((units, gateways, first_gateway))
}

/// Parses a decimal number that fits 32 bits.
fn parse_u32(text: &str) -> Option<u32> {
    parse_decimal(text.as_bytes()).and_then(|number| number.try_into().ok())
}
