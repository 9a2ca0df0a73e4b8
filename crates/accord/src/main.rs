//! `accord`: kitepass' control plane, and the operators' commands.

use std::process::ExitCode;

fn main() -> ExitCode {
    kitepass_accord::command::main()
}
