//! Checks a history against the rules. It relies on what clients, backends, the operator and the machine observed, never on
//! what the programs report about themselves.
//!
//! Time limits are wide enough to hold on a busy machine; most rules are about order and counts.

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

/// The rule that a finding violates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// A gateway rejected a request that every configuration allows, with a status that does not invite a retry.
    Denied,
    /// A response was malformed, incomplete, of another request, or a success that no backend generated.
    Mixed,
    /// A non-idempotent request ran more than once.
    Doubled,
    /// A non-idempotent request ran although a gateway rejected it with a status that says it did not.
    Refused,
    /// A request ran that no client sent, or ran with another body than was sent.
    Unasked,
    /// A request ran at a service that its route never forwarded to.
    WrongService,
    /// A client got no response although a backend had responded and the gateway was neither killed nor frozen.
    Lost,
    /// A gateway that was neither killed nor frozen sent nothing until long after the request's deadline.
    Unanswered,
    /// A gateway in contact with the control plane applied an old configuration for too long after a newer one was
    /// acknowledged.
    Stale,
    /// A gateway reverted to an older configuration within one incarnation.
    WentBack,
    /// An acknowledged change was missing at the end.
    ChangeLost,
    /// A read returned an older configuration than one acknowledged long before.
    OldRead,
    /// A valid change was rejected.
    ChangeRefused,
    /// More requests of a tenant ran than its quota allows.
    QuotaExceeded,
    /// A process exited without having been sent a signal that ends it.
    EndedByItself,
    /// A process exited with an error after SIGTERM.
    UncleanEnd,
    /// A process took too long to exit after SIGTERM.
    LateEnd,
    /// At the end, a gateway was not ready or a control-plane process returned no configuration.
    NotRecovered,
    /// A process's resource usage exceeded a limit or kept growing.
    Resources,
}

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// The violated rule.
    pub rule: Rule,
    /// When it was recorded.
    pub at: Micros,
    /// The process concerned; for some rules the backend id, the tenant or `operator`.
    pub node: String,
    /// The id of the request concerned, if any.
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

/// Returns all findings of a history in order of time.
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
