//! The directory API: which gateways a client of the service connects to.

use super::connections::ConnectionId;
use super::http_response::HttpResponse;
use super::Server;
use crate::request::{LookupQuery, NO_QUORUM_REASON};
use serde_json::json;

/// Seconds for which an answer of the directory is valid, if the settings' bound is not below. A look-up is cheap, and
/// clients use a lost gateway until the answer expires: at 5 s a deployment of the planned size took twice as long to
/// recover from the loss of all processes.
const LOOKUP_TTL_S: f64 = 1.0;

impl Server {
    /// Answers with the gateways for a client, the best first.
    pub(super) fn look_up(&mut self, id: ConnectionId, query: &LookupQuery) {
        // Invariant: a process out of contact cannot know which gateways are gone, and must not name them.
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
