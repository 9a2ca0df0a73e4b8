//! Judges a history: what clients, backends, the operator and the machine saw, and nothing that the programs say of themselves.
//!
//! Bounds in time are wide, so that a busy machine breaks none; what is judged first is order and number.

mod configuration;
mod incarnations;
mod processes;
mod quota;
mod requests;
mod resources;
#[cfg(test)]
mod tests;

use crate::history::{Micros, Record};
use incarnations::Incarnations;
use serde::Serialize;

/// What a finding breaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// A request that all configurations allow was rejected as wrong.
    Denied,
    /// A response was of another request, not whole, or nobody's.
    Mixed,
    /// A non-idempotent request ran more than once.
    Doubled,
    /// A request was rejected with the promise that it has not run, and has run.
    Refused,
    /// A request ran that no client sent, or with another body.
    Unasked,
    /// A request ran at a service that its route never led to.
    WrongService,
    /// A backend answered, the gateway was not killed, and the client got nothing.
    Lost,
    /// A gateway that ran said nothing until long after the deadline.
    Unanswered,
    /// A gateway in contact went by an old configuration for too long after a newer one was acknowledged.
    Stale,
    /// A gateway went back to an older configuration in the same incarnation.
    WentBack,
    /// An acknowledged change is gone.
    ChangeLost,
    /// A read gave an older configuration than was acknowledged long before.
    OldRead,
    /// A valid change was refused.
    ChangeRefused,
    /// A tenant's requests ran above its quota.
    QuotaExceeded,
    /// A process ended by itself.
    EndedByItself,
    /// A process that was told to end did so with an error.
    UncleanEnd,
    /// A process that was told to end took too long.
    LateEnd,
    /// A gateway was not ready again at the end, or a control process gave no configuration.
    NotRecovered,
    /// A process takes more and more, or too much.
    Resources,
}

/// Something that the system did and should not have.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// What it breaks.
    pub rule: Rule,
    /// When.
    pub at: Micros,
    /// The process concerned.
    pub node: String,
    /// The request concerned, if any.
    pub request: Option<String>,
    /// What happened.
    pub detail: String,
}

impl Finding {
    fn new(rule: Rule, at: Micros, node: &str, detail: String) -> Finding {
        Finding { rule, at, node: node.to_owned(), request: None, detail }
    }

    fn with_request(self, id: &str) -> Finding {
        Finding { request: Some(id.to_owned()), ..self }
    }
}

/// All findings of a history, in the order of their times.
pub fn check(records: &[Record]) -> Vec<Finding> {
    let incarnations = Incarnations::from_records(records);
    let mut findings = requests::check(records, &incarnations);
    findings.extend(configuration::check(records, &incarnations));
    findings.extend(quota::check(records));
    findings.extend(processes::check(records, &incarnations));
    findings.extend(resources::check(records));
    findings.sort_by_key(|finding| finding.at);
    findings
}
