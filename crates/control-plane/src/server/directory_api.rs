//! The directory API: tells clients which gateways they should use.

use super::connections::ConnectionId;
use super::http_response::HttpResponse;
use super::Server;
use crate::request::{LookupQuery, NO_QUORUM_REASON};
use serde_json::json;

/// Validity of a look-up response in seconds, unless the settings set a lower limit. Look-ups are cheap, and clients
/// keep using a lost gateway until the response expires: with 5 s, a deployment of the planned size took twice as long
/// to recover from the loss of all processes.
const LOOKUP_TTL_S: f64 = 1.0;

impl Server {
    /// Responds with the addresses of the gateways for a client, the preferred ones first.
    pub(super) fn look_up(&mut self, id: ConnectionId, query: &LookupQuery) {
        // Invariant: without quorum contact a process cannot know which gateways are gone, and must not return any.
        if !self.state_machine.can_look_up(self.clock.now()) {
            return self.respond(id, &HttpResponse::unavailable(NO_QUORUM_REASON));
        }
        let addresses = self.state_machine.look_up(query, &self.settings.zones);
        if addresses.is_empty() {
            return self.respond(id, &HttpResponse::unavailable("no gateway is ready"));
        }
        let valid_s = self.settings.bounds.max_directory_ttl.as_secs_f64().min(LOOKUP_TTL_S);
        let body = json!({"addresses": addresses, "valid-s": valid_s});
        self.respond(id, &HttpResponse::json(body.to_string()));
    }
}
