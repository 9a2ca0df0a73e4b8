//! Gateway membership: a gateway is a member while it has a session with a control process.
//!
//! Each control process sends the others the complete list of its sessions, with an increasing sequence number.

#[cfg(test)]
mod tests;

use crate::protocol::{Member, SessionList};
use kitepass_time::{Duration, Timestamp};
use std::collections::BTreeMap;

/// The sessions of a control process that has been silent for this long are no longer counted: the gateways may have
/// reconnected to another control process, or are about to.
const CONTROL_TIMEOUT: Duration = Duration::from_micros(4_000_000);
/// How long a lost gateway still counts as live for the division of quotas. A gateway that is only partitioned
/// continues to use its share, so the number of live gateways may be overestimated but must not be underestimated.
const LIVE_TIMEOUT: Duration = Duration::from_micros(10_000_000);

/// The key of one incarnation of a control process, `node id/incarnation`. If two lists contain the same gateway, the
/// order of these strings decides which entry is used.
fn control_process_key(node_id: &str, incarnation: u64) -> String {
    format!("{node_id}/{incarnation}")
}

/// The newest list of one incarnation of a control process.
#[derive(Default)]
struct ControlSessions {
    sequence: u64,
    last_heard_at: Timestamp,
    members: Vec<Member>,
}

/// The sessions of all control processes.
#[derive(Default)]
pub struct SessionTable {
    by_control: BTreeMap<String, ControlSessions>,
    /// When each gateway was last known to be a member.
    last_seen: BTreeMap<String, Timestamp>,
}

impl SessionTable {
    /// Updates the session list of a control process, which may be this process. A list older than the last one is
    /// ignored. Returns whether anything has changed.
    pub fn update(
        &mut self,
        now: Timestamp,
        control: &str,
        incarnation: u64,
        sessions: &SessionList,
    ) -> bool {
        let known = self.by_control.entry(control_process_key(control, incarnation)).or_default();
        known.last_heard_at = now;
        let is_older = sessions.sequence < known.sequence;
        let is_same = sessions.sequence == known.sequence && sessions.members == known.members;
        if is_older || is_same {
            return false;
        }
        known.sequence = sessions.sequence;
        known.members.clone_from(&sessions.members);
        true
    }

    /// Records that a control process is alive, so that its last list remains valid.
    pub fn heartbeat_received(&mut self, now: Timestamp, control: &str, incarnation: u64) {
        if let Some(known) = self.by_control.get_mut(&control_process_key(control, incarnation)) {
            known.last_heard_at = now;
        }
    }

    /// Adds a gateway that counted as live in an earlier incarnation of this process.
    pub fn restore(&mut self, now: Timestamp, node_id: &str) {
        self.last_seen.insert(node_id.to_owned(), now);
    }

    /// Removes entries that have timed out. Should be called about once per second.
    pub fn expire(&mut self, now: Timestamp) {
        self.by_control.retain(|_, known| now - known.last_heard_at < CONTROL_TIMEOUT);
        for member in self.by_control.values().flat_map(|known| &known.members) {
            self.last_seen.insert(member.node_id.clone(), now);
        }
        self.last_seen.retain(|_, last_seen| now - *last_seen < LIVE_TIMEOUT);
    }

    /// The members by node ID. If two lists contain the same gateway, an entry that is ready takes precedence.
    pub fn members(&self) -> BTreeMap<&str, &Member> {
        let mut members: BTreeMap<&str, &Member> = BTreeMap::new();
        for member in self.by_control.values().flat_map(|known| &known.members) {
            let known = members.entry(&member.node_id).or_insert(member);
            if member.is_ready && !known.is_ready {
                *known = member;
            }
        }
        members
    }

    /// The sorted node IDs of the gateways that count as live, including recently lost ones.
    pub fn live_node_ids(&self) -> Vec<String> {
        let mut live: Vec<String> = self.last_seen.keys().cloned().collect();
        let members = self.members().into_keys();
        live.extend(members.filter(|id| !self.last_seen.contains_key(*id)).map(str::to_owned));
        live.sort();
        live
    }
}
