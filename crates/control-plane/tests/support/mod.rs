//! What the tests of the program share.
#![allow(dead_code)] // each test file uses its part

pub mod cluster;
pub mod command;
pub mod golden;
