//! The records of this process on its disk: opening them, writing them, and learning what is safely written.

use super::{DiskSnafu, Error, EventSource, MissingSnafu, Server, SystemSnafu};
use kitepass_net::poller::Poller;
use kitepass_node::Settings;
use kitepass_storage::Store;
use snafu::{OptionExt, ResultExt};

/// The log on disk is compacted beyond this many bytes.
const MAX_LOG_BYTES: u64 = 4 * 1024 * 1024;

/// A record's key and value.
pub(super) type Record = (Vec<u8>, Vec<u8>);

/// Opens the store in the settings' data directory, has the poller watch it, and gives the records that it holds.
///
/// # Errors
///
/// [`Error::Missing`] if the settings name no directory, [`Error::Disk`] if it cannot be opened or read.
pub(super) fn open(settings: &Settings, poller: &Poller) -> Result<(Store, Vec<Record>), Error> {
    let data_dir = settings.data_dir.as_ref().context(MissingSnafu { field: "archive-dir" })?;
    let (store, records) = Store::open(data_dir, MAX_LOG_BYTES).context(DiskSnafu)?;
    poller.add(store.event_fd(), EventSource::Store.token()).context(SystemSnafu { what: "epoll" })?;
    Ok((store, records))
}

impl Server {
    /// Tells the state machine which of its writes are on disk.
    ///
    /// # Errors
    ///
    /// [`Error::Disk`]: nothing that is written from now on would be safe.
    pub(super) fn report_persisted_records(&mut self) -> Result<(), Error> {
        let now = self.clock.now();
        for request_id in self.store.take_completed().context(DiskSnafu)? {
            self.state_machine.records_persisted(now, request_id);
        }
        Ok(())
    }
}
