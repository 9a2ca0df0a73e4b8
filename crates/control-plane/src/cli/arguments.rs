//! Reads the program's arguments.

use super::error::{Error, UsageSnafu};
use lexopt::prelude::*;
use std::collections::BTreeSet;
use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Control processes to call where `--at` names none.
const ADDRESSES_VARIABLE: &str = "KITEPASS_AT";

/// The arguments as they came; whether a command takes them is checked afterwards.
#[derive(Default)]
pub(super) struct Arguments {
    /// Those that are no options: the command's name first, until it is taken off.
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
    /// The options of commands that were given, by name.
    pub(super) options: BTreeSet<&'static str>,
}

impl Arguments {
    /// # Errors
    ///
    /// An unknown option, an option without its value, or an address that is none.
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

    /// The control processes to call, by `--at` or else by the environment.
    ///
    /// # Errors
    ///
    /// [`Error::Usage`] if there are none, or the variable holds what is no address.
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

/// Addresses separated by commas; the error is a text for the operator that says where they came from.
fn parse_addresses(origin: &str, text: &str) -> Result<Vec<SocketAddr>, String> {
    let parts = text.split(',').map(str::trim).filter(|part| !part.is_empty());
    let parse = |part: &str| {
        part.parse().map_err(|_| format!("{origin}: {part:?} is no address and port, as 10.1.0.35:8688 is"))
    };
    parts.map(parse).collect()
}
