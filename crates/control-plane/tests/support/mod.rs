//! Helpers for the tests that run the program.
#![allow(dead_code)] // each test file uses only some of these items

pub(crate) mod cluster;
pub(crate) mod command;
pub(crate) mod golden;
pub(crate) mod long_change;
