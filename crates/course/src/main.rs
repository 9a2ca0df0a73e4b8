//! `course`: kitepass' data plane in the system.

use std::process::ExitCode;

fn main() -> ExitCode {
    kitepass_course::command::main()
}
