//! What the tests of the program share.
#![allow(dead_code)] // each test file uses its part

pub(crate) mod cluster;
pub(crate) mod command;
pub(crate) mod golden;
