//! A request's way, [`kitepass_data_plane::attempt`], tried in all orders of what may happen to it.

mod calls;
mod model;
mod reading;
