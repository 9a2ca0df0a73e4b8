//! The lifecycle of a request, [`kitepass_data_plane::attempt`], in all orders of what may happen to it.

mod backend_responses;
mod calls;
mod model;
mod model_state;
mod response_reader;
