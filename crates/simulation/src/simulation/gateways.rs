//! The gateways and their sessions with the control plane.

use super::events::Event;
use super::{Simulation, TICK_INTERVAL};
use crate::history::HistoryEvent;
use crate::network::{Host, SessionId};
use crate::scenario::SECOND;
use kitepass_coordination::protocol::Message;
use kitepass_data_plane::control_session::CandidateOutcome;
use kitepass_time::Timestamp;

/// Offset of the gateways' monotonic clocks from simulated time.
const CLOCK_OFFSET: i64 = 5 * SECOND;

impl Simulation {
    fn gateway_time(&self) -> Timestamp {
        Timestamp::from_micros(self.now + CLOCK_OFFSET)
    }

    pub(super) fn gateway_tick(&mut self, gateway_index: usize) {
        let now = self.gateway_time();
        let random = self.rng.next_u64();
        let result = self.gateways[gateway_index].tick(now, random);
        let gateway = &mut self.gateways[gateway_index];
        let session = if result.should_close_session { gateway.session.take() } else { None };
        let candidate = if result.should_close_candidate { gateway.candidate.take() } else { None };
        for closed in session.into_iter().chain(candidate) {
            self.close_session(closed, false);
        }
        let node = result.connect_to.and_then(|address| self.node_by_address(&address));
        if let Some(node) = node {
            self.connect_gateway(gateway_index, node);
        }
        self.send_from_gateway(gateway_index);
        self.schedule(self.now + TICK_INTERVAL, Event::GatewayTick { gateway: gateway_index });
    }

    /// Opens a session from a gateway. Behind a partition there is no response, and the control session times
    /// out.
    fn connect_gateway(&mut self, gateway_index: usize, node: usize) {
        if self.nodes[node].process.is_none() {
            self.gateways[gateway_index].candidate_lost("refused");
        } else if !self.network.is_unreachable(self.now, Host::Gateway(gateway_index), Host::Node(node)) {
            self.gateways[gateway_index].candidate = Some(self.open_session(gateway_index, node));
        }
    }

    /// Sends a gateway's pending messages. They are lost if it has no session.
    fn send_from_gateway(&mut self, gateway_index: usize) {
        let gateway = &mut self.gateways[gateway_index];
        let on_session = (gateway.session, gateway.take_messages());
        let on_candidate = (gateway.candidate, gateway.take_candidate_messages());
        for (session, messages) in [on_session, on_candidate] {
            let Some(session) = session else { continue };
            for message in messages {
                self.send(session.to_node(), message);
            }
        }
    }

    pub(super) fn gateway_message(&mut self, gateway_index: usize, session: SessionId, message: Message) {
        if self.gateways[gateway_index].candidate == Some(session) {
            return self.candidate_message(gateway_index, session, &message);
        }
        if self.gateways[gateway_index].session != Some(session) {
            return;
        }
        let now = self.gateway_time();
        let result = self.gateways[gateway_index].receive(now, message);
        for write in result.applied {
            self.history.push(HistoryEvent::WriteApplied { at: self.now, gateway: gateway_index, write });
        }
        if result.should_close_session {
            self.gateways[gateway_index].session_lost("not-current");
            self.close_session(session, false);
        }
        self.send_from_gateway(gateway_index);
    }

    /// Handles a hello message on a session that is being opened, which becomes the current session or is
    /// closed. Other messages are ignored.
    fn candidate_message(&mut self, gateway_index: usize, session: SessionId, message: &Message) {
        let Message::Hello(hello) = message else { return };
        let now = self.gateway_time();
        let gateway = &mut self.gateways[gateway_index];
        gateway.candidate = None;
        let closed = match gateway.receive_hello(now, hello) {
            CandidateOutcome::Promoted => gateway.session.replace(session),
            CandidateOutcome::Rejected => Some(session),
        };
        if let Some(closed) = closed {
            self.close_session(closed, false);
        }
    }

    /// Restarts a gateway process, which loses its state.
    pub(super) fn restart_gateway(&mut self, gateway: usize) {
        let sessions = [self.gateways[gateway].session.take(), self.gateways[gateway].candidate.take()];
        for session in sessions.into_iter().flatten() {
            self.close_session(session, false);
        }
        let (addresses, regions) = (self.bootstrap_addresses(), self.regions_by_zone());
        let incarnation = self.rng.next_u64();
        self.gateways[gateway].restart(incarnation, addresses, regions);
        self.history.push(HistoryEvent::GatewayRestarted { gateway });
    }

    pub(super) fn restart_all_gateways(&mut self) {
        for gateway in 0..self.gateways.len() {
            self.restart_gateway(gateway);
        }
    }
}
