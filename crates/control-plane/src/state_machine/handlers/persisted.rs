//! Writes of records, and the actions that follow once they are on disk.

use crate::state_machine::persistence::PendingWrite;
use crate::state_machine::records::Record;
use crate::state_machine::StateMachine;
use kitepass_coordination::protocol::AcceptResponse;
use kitepass_time::Timestamp;
use log::info;

impl StateMachine {
    /// Writes records to disk, preceded by the deferred ones.
    pub(in crate::state_machine) fn persist(&mut self, records: Vec<Record>, pending_write: PendingWrite) {
        let request_id = self.next_request_id();
        let action = self.persistence.write(request_id, records, pending_write);
        self.push_action(action);
    }

    /// Handles the completion of the [`Action::Persist`](crate::state_machine::Action::Persist) with this request id:
    /// its records are on disk.
    pub fn records_persisted(&mut self, now: Timestamp, request_id: u64) {
        match self.persistence.write_completed(request_id) {
            Some(PendingWrite::Accept { node_id, response, reservation }) => {
                reservation
                    .into_iter()
                    .for_each(|reservation| self.proposals.reservation_persisted(reservation));
                let response = AcceptResponse { is_complete: self.lifecycle.is_complete(), ..response };
                self.deliver_accept_response(now, &node_id, response);
            }
            Some(PendingWrite::Promise { node_id, response, reservation }) => {
                self.proposals.reservation_persisted(reservation);
                self.deliver_prepare_response(now, &node_id, response);
            }
            Some(PendingWrite::Vote { node_id, recorded, vote }) => {
                self.coordinator.vote_recorded(recorded);
                self.deliver_lease_vote(now, &node_id, vote);
            }
            Some(PendingWrite::Completeness) => {
                self.lifecycle.set_complete(true);
                info!("event=disk-complete");
                self.finish_catch_up(now);
            }
            Some(PendingWrite::Nothing) | None => {}
        }
        self.resume_requests(now);
    }
}
