//! `apply`: submits a configuration change.

use super::arguments::Arguments;
use super::change_file::read_change_request;
use super::client;
use super::error::{CallSnafu, Error};
use super::output::print;
use snafu::ResultExt;
use std::path::Path;

pub(super) fn run(arguments: &Arguments) -> Result<(), Error> {
    let addresses = arguments.control_addresses()?;
    let path = Path::new(&arguments.values[0]);
    let request = read_change_request(path)?;
    client::patch_configuration(&addresses, &request).context(CallSnafu)?;
    print(&format!("{}: taken\n", path.display()))
}
