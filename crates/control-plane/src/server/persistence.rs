//! Opens the store with this process's records, and reports which writes are durable.

use super::{DiskSnafu, Error, EventSource, MissingSnafu, Server, SystemSnafu};
use kitepass_net::poller::Poller;
use kitepass_node::Settings;
use kitepass_storage::Store;
use snafu::{OptionExt, ResultExt};

/// The store's log is compacted before it exceeds this size.
const MAX_LOG_BYTES: u64 = 4 * 1024 * 1024;

/// Key and value of a record.
pub(super) type Record = (Vec<u8>, Vec<u8>);

/// Opens the store in the settings' data directory, and adds it to the poller. Returns the store and its records.
///
/// # Errors
///
/// [`Error::Missing`] if the settings contain no data directory, [`Error::Disk`] if the store cannot be opened or read,
/// [`Error::System`] if it cannot be added to the poller.
pub(super) fn open(settings: &Settings, poller: &Poller) -> Result<(Store, Vec<Record>), Error> {
    let data_dir = settings.data_dir.as_ref().context(MissingSnafu { field: "archive-dir" })?;
    let (store, records) = Store::open(data_dir, MAX_LOG_BYTES).context(DiskSnafu)?;
    poller.add(store.event_fd(), EventSource::Store.token()).context(SystemSnafu { what: "epoll" })?;
    Ok((store, records))
}

impl Server {
    /// Informs the state machine of the writes that have become durable.
    ///
    /// # Errors
    ///
    /// [`Error::Disk`] if the store has failed, after which no write would be durable.
    pub(super) fn report_persisted_records(&mut self) -> Result<(), Error> {
        let now = self.clock.now();
        for request_id in self.store.take_completed().context(DiskSnafu)? {
            self.state_machine.records_persisted(now, request_id);
        }
        Ok(())
    }
}
