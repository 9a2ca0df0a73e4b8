//! Event handlers of the state machine. A handler queries the components, passes one component's decisions to the
//! others, and collects the resulting actions. It has no access to the components' private state.

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
