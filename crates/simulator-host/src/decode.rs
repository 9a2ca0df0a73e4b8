//! Lines of the wire, read into what the decision module is told.

pub use kitepass_gateway_config::Refusal;
use kitepass_gateway_policy::{AttemptOutcome, BackendEntry, BackendStatus, GatewayConfig, Reading};
use kitepass_time::{Duration, Timestamp};

/// The values of one line.
pub struct Fields<'a>(Vec<(&'a str, &'a str)>);

/// The one field that holds free text to the end of its line.
const TO_THE_END: &str = "Options";

impl<'a> Fields<'a> {
    pub fn read(mut rest: &'a str) -> Result<Self, Refusal> {
        let mut fields = Vec::with_capacity(10);
        while !rest.is_empty() {
            let Some((name, value)) = rest.split_once('=') else {
                return Err(format!("'{}': expected name=value", clip(rest)));
            };
            if name.is_empty() || name.contains(' ') {
                return Err(format!("'{}': expected name=value", clip(rest)));
            }
            let (value, after) = match value.split_once(' ') {
                Some(parts) if name != TO_THE_END => parts,
                _ => (value, ""),
            };
            fields.push((name, value));
            rest = after;
        }
        Ok(Fields(fields))
    }

    pub fn get(&self, name: &str) -> Option<&'a str> {
        self.0.iter().find(|(n, _)| *n == name).map(|(_, v)| *v)
    }

    pub fn text(&self, name: &str) -> Result<&'a str, Refusal> {
        match self.get(name) {
            Some(value) if !value.is_empty() => Ok(value),
            _ => Err(format!("{name}: expected a value, found none")),
        }
    }

    pub fn moment(&self, name: &str) -> Result<Timestamp, Refusal> {
        micros(name, self.text(name)?).map(Timestamp::from_micros)
    }

    pub fn span_or_zero(&self, name: &str) -> Result<Duration, Refusal> {
        self.get(name).map_or(Ok(Duration::ZERO), |value| micros(name, value).map(Duration::from_micros))
    }

    pub fn number_or(&self, name: &str, absent: f64) -> Result<f64, Refusal> {
        let Some(value) = self.get(name) else {
            return Ok(absent);
        };
        match value.parse::<f64>() {
            Ok(number) if number.is_finite() => Ok(number),
            _ => Err(format!("{name}: expected a number, found '{}'", clip(value))),
        }
    }

    pub fn whole<T: std::str::FromStr>(&self, name: &str) -> Result<T, Refusal> {
        let value = self.text(name)?;
        value.parse().map_err(|_| format!("{name}: expected a whole number, found '{}'", clip(value)))
    }

    pub fn flag(&self, name: &str) -> Result<bool, Refusal> {
        match self.get(name) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(other) => Err(format!("{name}: expected 1 or 0, found '{}'", clip(other))),
        }
    }
}

fn clip(text: &str) -> &str {
    text.char_indices().nth(40).map_or(text, |(end, _)| &text[..end])
}

/// Decimal seconds as whole microseconds, to the digit.
fn micros(name: &str, text: &str) -> Result<i64, Refusal> {
    let wrong = || format!("{name}: expected a time in seconds, found '{}'", clip(text));
    let (negative, digits) = text.strip_prefix('-').map_or((false, text), |rest| (true, rest));
    let (whole, part) = digits.split_once('.').unwrap_or((digits, ""));
    let plain = |s: &str| s.bytes().all(|b| b.is_ascii_digit());
    if whole.is_empty() || !plain(whole) || !plain(part) {
        // A figure in another notation, with an exponent for one.
        let seconds = text.parse::<f64>().ok().filter(|s| s.abs() < 1e12).ok_or_else(wrong)?;
        return Ok((seconds * 1e6).round() as i64);
    }
    let mut total = whole.parse::<i64>().ok().and_then(|s| s.checked_mul(1_000_000)).ok_or_else(wrong)?;
    let mut place = 100_000;
    for digit in part.bytes().take(6) {
        total += i64::from(digit - b'0') * place;
        place /= 10;
    }
    Ok(if negative { -total } else { total })
}

pub fn ending(fields: &Fields) -> Result<AttemptOutcome, Refusal> {
    Ok(match fields.text("Ending")? {
        "served" => AttemptOutcome::Completed,
        "server_error" => AttemptOutcome::Failed,
        "turned_away" => AttemptOutcome::Rejected,
        "no_answer" => AttemptOutcome::TimedOut,
        "no_connection" => AttemptOutcome::Unreachable,
        "connection_lost" => AttemptOutcome::ConnectionLost,
        "called_off" => AttemptOutcome::Cancelled,
        "not_sent" => AttemptOutcome::NotSent,
        other => return Err(format!("Ending: expected an outcome, found '{}'", clip(other))),
    })
}

/// The total, where the call brought one.
pub fn counted(fields: &Fields) -> Result<Reading, Refusal> {
    let sum = fields.number_or("Sum", 0.0)?;
    Ok(match ending(fields)? {
        AttemptOutcome::Completed => Reading::Known(sum),
        ending if ending.never_ran() => Reading::NotAdded,
        _ => Reading::Unknown,
    })
}

pub fn listed(fields: &Fields) -> Result<BackendEntry, Refusal> {
    let started = fields.span_or_zero("Born")?;
    Ok(BackendEntry {
        id: fields.text("Backend")?.to_owned(),
        zone: fields.get("Campus").unwrap_or_default().to_owned(),
        cell: fields.number_or("Pod", 0.0)? as i64,
        status: match fields.text("Status")? {
            "live" => BackendStatus::Live,
            "quiescing" => BackendStatus::Draining,
            "dead" => BackendStatus::Removed,
            other => return Err(format!("Status: expected a standing, found '{}'", clip(other))),
        },
        weight: Some(fields.number_or("Nominal", 1.0)?).filter(|size| *size > 0.0).unwrap_or(1.0),
        started: Some(Timestamp::from_micros(started.as_micros())).filter(|_| started > Duration::ZERO),
    })
}

/// The settings, as far as the module reads them.
pub fn config(fields: &Fields) -> Result<GatewayConfig, Refusal> {
    kitepass_gateway_config::from_text(TO_THE_END, fields.text(TO_THE_END)?).map(|(config, _)| config)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn times_are_exact_to_the_microsecond() {
        let read = |text| micros("T", text).unwrap();
        assert_eq!(read("8.41225"), 8_412_250);
        assert_eq!(read("1234567.000001"), 1_234_567_000_001);
        assert_eq!(read("-0.5"), -500_000);
        assert_eq!(read("1e-3"), 1_000);
        for wrong in ["", "soon", ".", "1.2.3", "nan", "99999999999999999999"] {
            assert!(micros("T", wrong).unwrap_err().starts_with("T: expected a time"), "{wrong}");
        }
    }

    #[test]
    fn fields_come_in_any_order_and_text_runs_to_the_end() {
        let fields = Fields::read("B=2 A=x= Options={\"a b\": 1}").unwrap();
        assert_eq!((fields.get("A"), fields.get("B"), fields.get("C")), (Some("x="), Some("2"), None));
        assert_eq!(fields.get("Options"), Some("{\"a b\": 1}"));
        assert!(Fields::read("A=1 loose").is_err());
    }
}
