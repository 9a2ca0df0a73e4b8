//! Who is a member: a gateway is one while its session with a control process stands, and control processes tell
//! each other their sessions, each its whole list under a growing number.

use crate::protocol::{Member, SessionList};
use kitepass_time::{Duration, Timestamp};
use std::collections::BTreeMap;

/// A control process that has said nothing for so long no longer speaks for its sessions; they may have gone
/// to another, or be about to.
const SILENT: Duration = Duration::from_micros(4_000_000);
/// For so long a lost gateway still counts as live where quotas are shared out. Danger: one that is only cut off
/// goes on with its part, so the number of the living errs on the side of more.
const HOLD: Duration = Duration::from_micros(10_000_000);

#[derive(Default)]
struct List {
    number: u64,
    heard: Timestamp,
    members: Vec<Member>,
}

#[derive(Default)]
pub struct SessionTable {
    lists: BTreeMap<String, List>,
    seen: BTreeMap<String, Timestamp>,
}

impl SessionTable {
    /// A control process' list, or its own; one that is older than the last is passed over. True if it tells
    /// anything new.
    pub fn update(
        &mut self,
        now: Timestamp,
        control: &str,
        incarnation: u64,
        sessions: &SessionList,
    ) -> bool {
        let list = self.lists.entry(format!("{control}/{incarnation}")).or_default();
        let older = list.number > sessions.sequence;
        list.heard = now;
        if older || list.number == sessions.sequence && list.members == sessions.members {
            return false;
        }
        (list.number, list.members) = (sessions.sequence, sessions.members.clone());
        true
    }

    /// A sign of life of a control process: what it said last still stands.
    pub fn heartbeat_received(&mut self, now: Timestamp, control: &str, incarnation: u64) {
        if let Some(list) = self.lists.get_mut(&format!("{control}/{incarnation}")) {
            list.heard = now;
        }
    }

    /// A gateway that counted as live in an earlier life of this process.
    pub fn restore(&mut self, now: Timestamp, node_id: &str) {
        self.seen.insert(node_id.to_owned(), now);
    }

    /// Forgets what is long past; to be called about once a second.
    pub fn expire(&mut self, now: Timestamp) {
        self.lists.retain(|_, list| now - list.heard < SILENT);
        for member in self.lists.values().flat_map(|list| &list.members) {
            self.seen.insert(member.node_id.clone(), now);
        }
        self.seen.retain(|_, seen| now - *seen < HOLD);
    }

    /// Members by station; where two lists have one, a ready one goes first.
    pub fn members(&self) -> BTreeMap<&str, &Member> {
        let mut members: BTreeMap<&str, &Member> = BTreeMap::new();
        for member in self.lists.values().flat_map(|list| &list.members) {
            let known = members.entry(&member.node_id).or_insert(member);
            if member.is_ready && !known.is_ready {
                *known = member;
            }
        }
        members
    }

    /// Stations that count as live, recently lost ones included.
    pub fn live_node_ids(&self) -> Vec<String> {
        let mut live: Vec<String> = self.seen.keys().cloned().collect();
        live.extend(self.members().keys().filter(|s| !self.seen.contains_key(**s)).map(|s| s.to_string()));
        live.sort();
        live
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_lost_gateway_leaves_the_members_at_once_and_the_living_late() {
        let at = |secs: i64| Timestamp::from_micros(secs * 1_000_000);
        let list = |number, node_ids: &[(&str, bool)]| SessionList {
            sequence: number,
            members: node_ids
                .iter()
                .map(|(s, ready)| Member { node_id: s.to_string(), is_ready: *ready, ..Member::default() })
                .collect(),
        };
        let mut table = SessionTable::default();
        assert!(table.update(at(0), "c1", 1, &list(1, &[("a", true), ("b", true)])));
        assert!(table.update(at(0), "c2", 1, &list(1, &[("c", true)])));
        table.expire(at(0));
        assert_eq!(table.live_node_ids(), ["a", "b", "c"]);
        // One is lost; an older list, come late, does not bring it back.
        assert!(table.update(at(1), "c1", 1, &list(3, &[("a", true)])));
        assert!(!table.update(at(1), "c1", 1, &list(2, &[("a", true), ("b", true)])));
        table.expire(at(1));
        assert_eq!((table.members().len(), table.live_node_ids().len()), (2, 3));
        // A control process falls silent; its gateway shows up elsewhere, not ready at first.
        table.update(at(3), "c2", 1, &list(2, &[("c", true), ("a", false)]));
        assert!(table.members()["a"].is_ready);
        table.heartbeat_received(at(6), "c2", 1);
        table.expire(at(6));
        assert!(!table.members()["a"].is_ready);
        table.heartbeat_received(at(9), "c2", 1);
        table.expire(at(9));
        table.heartbeat_received(at(12), "c2", 1);
        table.expire(at(12));
        assert_eq!(table.live_node_ids(), ["a", "c"]);
        // Its next life counts from the beginning.
        assert!(table.update(at(12), "c1", 2, &list(1, &[("d", true)])));
    }
}
