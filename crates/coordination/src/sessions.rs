//! Membership of gateways: a gateway is a member while its session with a control process stands.
//!
//! Control processes tell each other their sessions, each its complete list under a growing sequence number.

#[cfg(test)]
mod tests;

use crate::protocol::{Member, SessionList};
use kitepass_time::{Duration, Timestamp};
use std::collections::BTreeMap;

/// A control process that has been silent for this long no longer speaks for its sessions: they may have moved to another
/// one, or be about to.
const CONTROL_TIMEOUT: Duration = Duration::from_micros(4_000_000);
/// How long a lost gateway still counts as live where quotas are shared out. One that is only partitioned goes on with
/// its share, so that the number of live gateways must rather be too high than too low.
const LIVE_TIMEOUT: Duration = Duration::from_micros(10_000_000);

/// One incarnation of a control process. Its order is that of the text `node id/incarnation`, which decides whose entry
/// counts where two lists have the same gateway.
fn control_key(node_id: &str, incarnation: u64) -> String {
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
    /// When each gateway was last a member.
    last_seen: BTreeMap<String, Timestamp>,
}

impl SessionTable {
    /// Takes the list of a control process, this one included; one that is older than the last is ignored. True if it
    /// has anything new.
    pub fn update(
        &mut self,
        now: Timestamp,
        control: &str,
        incarnation: u64,
        sessions: &SessionList,
    ) -> bool {
        let known = self.by_control.entry(control_key(control, incarnation)).or_default();
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

    /// A control process is alive: its last list still stands.
    pub fn heartbeat_received(&mut self, now: Timestamp, control: &str, incarnation: u64) {
        if let Some(known) = self.by_control.get_mut(&control_key(control, incarnation)) {
            known.last_heard_at = now;
        }
    }

    /// A gateway that counted as live in an earlier incarnation of this process.
    pub fn restore(&mut self, now: Timestamp, node_id: &str) {
        self.last_seen.insert(node_id.to_owned(), now);
    }

    /// Forgets what has timed out; to be called about once a second.
    pub fn expire(&mut self, now: Timestamp) {
        self.by_control.retain(|_, known| now - known.last_heard_at < CONTROL_TIMEOUT);
        for member in self.by_control.values().flat_map(|known| &known.members) {
            self.last_seen.insert(member.node_id.clone(), now);
        }
        self.last_seen.retain(|_, last_seen| now - *last_seen < LIVE_TIMEOUT);
    }

    /// Members by node id; where two lists have one, a ready one goes first.
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

    /// The node ids of the gateways that count as live, recently lost ones included, sorted.
    pub fn live_node_ids(&self) -> Vec<String> {
        let mut live: Vec<String> = self.last_seen.keys().cloned().collect();
        let members = self.members().into_keys();
        live.extend(members.filter(|id| !self.last_seen.contains_key(*id)).map(str::to_owned));
        live.sort();
        live
    }
}
