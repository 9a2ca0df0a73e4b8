//! Tests of the request lifecycle, [`kitepass_data_plane::attempt`], under all orders of events.

mod backend_responses;
mod calls;
mod model;
mod model_state;
mod response_reader;
