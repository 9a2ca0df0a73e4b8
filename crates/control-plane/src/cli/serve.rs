//! `serve`: runs a control process.

use super::arguments::Arguments;
use super::error::{Error, NoSettingsSnafu, ServeSnafu};
use crate::server::Server;
use snafu::{OptionExt, ResultExt};
use std::path::PathBuf;

pub(super) fn run(arguments: &Arguments) -> Result<(), Error> {
    kitepass_node::log_to_stderr(kitepass_node::level_from_env());
    let from_environment = || std::env::var_os(kitepass_node::SETTINGS_VARIABLE).map(PathBuf::from);
    let path = arguments.settings.clone().or_else(from_environment).context(NoSettingsSnafu)?;
    Server::open(path).and_then(Server::run).context(ServeSnafu)
}
