//! `check`: validates a change locally, without contacting a control process.

use super::arguments::Arguments;
use super::change_file::read_items;
use super::error::Error;
use super::output::print;
use kitepass_config::{validate, ItemStore, SchemaValidator};
use std::path::Path;

pub(super) fn run(arguments: &Arguments) -> Result<(), Error> {
    let path = Path::new(&arguments.values[0]);
    let schema = SchemaValidator::new();
    let mut base = ItemStore::new();
    if let Some(base_file) = &arguments.base_file {
        for item in read_items(&schema, base_file)? {
            base.apply(item);
        }
    }
    let items = read_items(&schema, path)?;
    validate(&base, &items)
        .map_err(|error| Error::Invalid { path: path.to_owned(), reason: error.to_string() })?;
    let effective = items.iter().filter(|item| base.is_newer(item)).count();
    print(&format!("{}: valid, {} items, {effective} of them with an effect\n", path.display(), items.len()))
}
