//! Parses the command line.

use super::error::{Error, UsageSnafu};
use lexopt::prelude::*;
use std::collections::BTreeSet;
use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The environment variable with the addresses of the control processes to call if there is no `--at`.
const ADDRESSES_VARIABLE: &str = "KITEPASS_AT";

/// The parsed command line. Whether the command accepts these arguments and options is checked later.
#[derive(Default)]
pub(super) struct Arguments {
    /// Positional arguments. The first is the command's name, until the caller removes it.
    pub(super) values: Vec<String>,
    /// `--settings`
    pub(super) settings: Option<PathBuf>,
    /// `--at`, which may be given several times
    addresses: Vec<SocketAddr>,
    /// `--out`
    pub(super) output_file: Option<PathBuf>,
    /// `--against`
    pub(super) base_file: Option<PathBuf>,
    /// `--json`
    pub(super) wants_json: bool,
    pub(super) wants_help: bool,
    pub(super) wants_version: bool,
    /// Names of the command-specific options that were given.
    pub(super) options: BTreeSet<&'static str>,
}

impl Arguments {
    /// Parses the arguments that follow the program's name.
    ///
    /// # Errors
    ///
    /// Fails on an unknown option, an option without its value, or an invalid address.
    pub(super) fn parse(arguments: impl Iterator<Item = OsString>) -> Result<Arguments, lexopt::Error> {
        let mut parser = lexopt::Parser::from_args(arguments);
        let mut parsed = Arguments::default();
        while let Some(argument) = parser.next()? {
            match argument {
                Long("help") | Short('h') => parsed.wants_help = true,
                Long("version") | Short('V') => parsed.wants_version = true,
                Long("json") => {
                    parsed.options.insert("json");
                    parsed.wants_json = true;
                }
                Long("settings") => {
                    parsed.options.insert("settings");
                    parsed.settings = Some(PathBuf::from(parser.value()?));
                }
                Long("out") => {
                    parsed.options.insert("out");
                    parsed.output_file = Some(PathBuf::from(parser.value()?));
                }
                Long("against") => {
                    parsed.options.insert("against");
                    parsed.base_file = Some(PathBuf::from(parser.value()?));
                }
                Long("at") => {
                    parsed.options.insert("at");
                    parsed.addresses.extend(parse_addresses("--at", &parser.value()?.string()?)?);
                }
                Value(value) => parsed.values.push(value.string()?),
                other => return Err(other.unexpected()),
            }
        }
        Ok(parsed)
    }

    /// Returns the addresses of the control processes to call, from `--at` or otherwise from the environment.
    ///
    /// # Errors
    ///
    /// [`Error::Usage`] if no address is given, or the variable contains an invalid one.
    pub(super) fn control_addresses(&self) -> Result<Vec<SocketAddr>, Error> {
        let mut addresses = self.addresses.clone();
        if addresses.is_empty() {
            let text = std::env::var(ADDRESSES_VARIABLE).unwrap_or_default();
            addresses =
                parse_addresses(ADDRESSES_VARIABLE, &text).map_err(|reason| Error::Usage { reason })?;
        }
        if addresses.is_empty() {
            let reason =
                format!("nobody to ask: name control desks with --at ADDR[,ADDR..] or {ADDRESSES_VARIABLE}");
            return UsageSnafu { reason }.fail();
        }
        Ok(addresses)
    }
}

/// Parses comma-separated addresses. The error message names `origin`, the option or variable that contains them.
fn parse_addresses(origin: &str, text: &str) -> Result<Vec<SocketAddr>, String> {
    let parts = text.split(',').map(str::trim).filter(|part| !part.is_empty());
    let parse = |part: &str| {
        part.parse().map_err(|_| format!("{origin}: {part:?} is no address and port, as 10.1.0.35:8688 is"))
    };
    parts.map(parse).collect()
}
