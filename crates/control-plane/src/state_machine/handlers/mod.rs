//! What the state machine does with each kind of event. A handler asks the parts, carries what one of them decides to
//! the others, and collects the actions; the parts' own state is not in its reach.

mod accept;
mod catch_up;
mod commit;
mod contact;
mod election;
mod gateways;
mod heartbeat;
mod peers;
mod persisted;
mod prepare;
mod replica_set_change;
mod requests;
mod resolve;
mod tombstones;
