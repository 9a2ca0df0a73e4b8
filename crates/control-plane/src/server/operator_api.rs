//! The operators' API: reads and changes the configuration, evacuates zones, and lists the members. Operators rely on
//! its paths, JSON names and texts.

use super::api_client::MAX_ITEM_BYTES;
use super::connections::{ConnectionId, Role, ServerConnection};
use super::http_response::HttpResponse;
use super::worker::{parse_change, Job, MIN_OFFLOAD_BYTES};
use super::Server;
use crate::request::{ApiCall, Request, ABANDONED_REASON};
use crate::state_machine::{millis, ReplicaContact, COORDINATOR_ROLE};
use kitepass_coordination::protocol::Member;
use kitepass_coordination::quorum_contact::CONTACT_TIMEOUT;
use kitepass_time::Timestamp;
use log::info;
use serde_json::{json, Value};

impl Server {
    /// Responds to a call, or passes it to the state machine, which responds later.
    pub(super) fn handle_call(&mut self, now: Timestamp, id: ConnectionId, call: ApiCall, body: Vec<u8>) {
        match call {
            ApiCall::Request(request) => self.submit(now, id, request),
            ApiCall::Patch => self.patch(now, id, body),
            ApiCall::Lookup(client) => self.look_up(id, &client),
            ApiCall::Members => self.members(id),
            ApiCall::Unknown => self.respond(id, &HttpResponse::text(404, "no such call")),
            ApiCall::WrongMethod => self.respond(id, &HttpResponse::text(405, "not by this method")),
        }
    }

    fn patch(&mut self, now: Timestamp, id: ConnectionId, body: Vec<u8>) {
        if body.len() < MIN_OFFLOAD_BYTES {
            let change = parse_change(&self.schema, &body);
            return self.submit_change(now, id, change);
        }
        self.await_response(id);
        self.worker.submit(Job::ParseChange { client: id, body });
    }

    /// Passes a change to the state machine if its body could be parsed, and otherwise rejects it.
    pub(super) fn submit_change(
        &mut self,
        now: Timestamp,
        id: ConnectionId,
        change: Result<Request, String>,
    ) {
        match change {
            Ok(request) if request.item_bytes() > MAX_ITEM_BYTES => self.reject_too_long(id),
            Ok(request) => self.submit(now, id, request),
            Err(reason) => {
                info!("event=request-invalid why={reason:?}");
                self.respond(id, &HttpResponse::text(400, reason));
            }
        }
    }

    fn submit(&mut self, now: Timestamp, id: ConnectionId, request: Request) {
        if matches!(&request, Request::Evacuate { zone, .. } if self.is_unknown_zone(now, zone)) {
            return self.respond(id, &HttpResponse::text(404, "no such zone"));
        }
        let Some(connection) = self.connections.get(id) else { return };
        if request.is_change() && connection.has_client_left() {
            info!("event=caller-left request={} phase=unread", request.name());
            return self.respond(id, &HttpResponse::unavailable(ABANDONED_REASON));
        }
        let arrived_at = connection.api_client().map_or(now, |client| client.waits_since);
        self.await_response(id);
        self.state_machine.handle_request(now, id.0, request, arrived_at);
    }

    /// Marks the client as waiting for a response. Its next request is read only afterwards.
    fn await_response(&mut self, id: ConnectionId) {
        if let Some(ServerConnection { role: Role::ApiClient(client), .. }) = self.connections.get_mut(id) {
            client.awaits_response = true;
        }
    }

    /// Returns whether the settings list zones, but not this one. Always false while this process accepts no
    /// requests, as without quorum contact, because other control processes may have newer settings.
    fn is_unknown_zone(&self, now: Timestamp, zone: &str) -> bool {
        let zones = &self.settings.zones;
        self.state_machine.accepts_requests(now) && !zones.is_empty() && !zones.contains_key(zone)
    }

    fn members(&mut self, id: ConnectionId) {
        let now = self.clock.now();
        let state_machine = &self.state_machine;
        let gateways: Vec<Value> = state_machine.members().iter().map(gateway_json).collect();
        let replicas: Vec<Value> = state_machine.replica_contacts(now).iter().map(replica_json).collect();
        let body = json!({
            "asked": self.settings.node_id,
            "standing": state_machine.replica_state().wire_name(),
            "contact": state_machine.has_quorum(now),
            "contact-age-ms": state_machine.contact_age(now).map(millis),
            "duty": {COORDINATOR_ROLE: state_machine.lease_term(now).is_some()},
            "core": replicas,
            "gateways": gateways,
            "long-turns": self.turn_monitor.long_turn_count(),
            "longest-turn-ms": millis(self.turn_monitor.longest_turn()),
            "evacuated": state_machine.evacuated_zones(),
        });
        self.respond(id, &HttpResponse::json(body.to_string()));
    }
}

fn gateway_json(member: &Member) -> Value {
    json!({
        "station": member.node_id,
        "front": member.client_address,
        "district": member.zone,
        "ready": member.is_ready,
    })
}

fn replica_json(contact: &ReplicaContact) -> Value {
    let ReplicaContact { replica, is_responsive: heard, contact_age: age } = contact;
    json!({
        "station": replica.node_id,
        "ip": replica.address,
        "district": replica.zone,
        "heard": heard,
        "contact": age.is_some_and(|age| age <= CONTACT_TIMEOUT),
        "contact-age-ms": age.map(millis),
    })
}
