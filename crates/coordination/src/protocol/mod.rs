//! The protocol between the system's own processes: what they say to each other, and how it travels.

pub mod framing;
mod messages;

pub use framing::{pack, Assembler};
pub use messages::*;
