//! What is measured of a process, and how it is printed: a table's name, a row's name and a figure, with tabs between.

use bytes::Bytes;
use std::time::Duration;

/// Messages and bytes in and out, and the processor's time.
#[derive(Clone, Copy, Default)]
pub(crate) struct Load {
    messages_in: f64,
    messages_out: f64,
    bytes_in: f64,
    bytes_out: f64,
    pub(crate) busy: Duration,
}

/// Which of a load's figures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Figure {
    MessagesIn,
    MessagesOut,
    BytesIn,
    BytesOut,
    ProcessorMs,
}

impl Figure {
    const ALL: [Figure; 5] =
        [Figure::MessagesIn, Figure::MessagesOut, Figure::BytesIn, Figure::BytesOut, Figure::ProcessorMs];

    /// The figure's name in docs/CAPACITY.md.
    fn name(self) -> &'static str {
        match self {
            Figure::MessagesIn => "words in",
            Figure::MessagesOut => "words out",
            Figure::BytesIn => "bytes in",
            Figure::BytesOut => "bytes out",
            Figure::ProcessorMs => "processor ms",
        }
    }
}

impl Load {
    pub(crate) fn figure(&self, figure: Figure) -> f64 {
        match figure {
            Figure::MessagesIn => self.messages_in,
            Figure::MessagesOut => self.messages_out,
            Figure::BytesIn => self.bytes_in,
            Figure::BytesOut => self.bytes_out,
            Figure::ProcessorMs => self.busy.as_secs_f64() * 1e3,
        }
    }

    pub(crate) fn received(&mut self, bytes: usize) {
        self.messages_in += 1.0;
        self.bytes_in += bytes as f64;
    }

    pub(crate) fn sent(&mut self, bytes: usize) {
        self.messages_out += 1.0;
        self.bytes_out += bytes as f64;
    }
}

/// The mean of some processes' loads, each divided by `over`: seconds, or seconds times sessions.
pub(crate) fn mean(loads: &[Load], over: f64) -> Load {
    let divisor = over * loads.len() as f64;
    let mean_of = |value: fn(&Load) -> f64| loads.iter().map(value).sum::<f64>() / divisor;
    Load {
        messages_in: mean_of(|load| load.messages_in),
        messages_out: mean_of(|load| load.messages_out),
        bytes_in: mean_of(|load| load.bytes_in),
        bytes_out: mean_of(|load| load.bytes_out),
        busy: Duration::from_secs_f64(mean_of(|load| load.busy.as_secs_f64())),
    }
}

/// Messages and bytes of one kind.
#[derive(Clone, Copy, Default)]
pub(crate) struct Volume {
    pub(crate) messages: f64,
    pub(crate) bytes: f64,
}

impl Volume {
    pub(crate) fn add(&mut self, bytes: usize) {
        self.messages += 1.0;
        self.bytes += bytes as f64;
    }
}

/// The loads of the three kinds of process.
#[derive(Clone, Copy, Default)]
pub(crate) struct Loads {
    /// A control process that is not the coordinator: the mean.
    pub(crate) session_holder: Load,
    pub(crate) coordinator: Load,
    /// One gateway's session: the mean.
    pub(crate) gateway: Load,
}

impl Loads {
    /// The loads with their names in docs/CAPACITY.md.
    pub(crate) fn by_role(&self) -> [(&'static str, Load); 3] {
        [
            ("session holder", self.session_holder),
            ("steward", self.coordinator),
            ("a gateway's session", self.gateway),
        ]
    }

    /// The mean of several measurements.
    pub(crate) fn mean(measurements: &[Loads]) -> Loads {
        let mean_of =
            |role: fn(&Loads) -> Load| mean(&measurements.iter().map(role).collect::<Vec<_>>(), 1.0);
        Loads {
            session_holder: mean_of(|loads| loads.session_holder),
            coordinator: mean_of(|loads| loads.coordinator),
            gateway: mean_of(|loads| loads.gateway),
        }
    }
}

pub(crate) fn print_figure(row: &str, figure: f64) {
    println!("{row}\t{figure}");
}

pub(crate) fn print_loads(table: &str, loads: &Loads) {
    for (role, load) in loads.by_role() {
        for figure in Figure::ALL {
            // A simulated gateway's processor time says nothing: the data plane's example measures it.
            let value = load.figure(figure);
            if value != 0.0 {
                print_figure(&format!("{table}\t{role}: {}", figure.name()), value);
            }
        }
    }
}

/// Resident bytes of this process.
pub(crate) fn resident_bytes() -> f64 {
    const PAGE_BYTES: f64 = 4096.0;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES
}

/// Fills the free space of the heap, so that what comes next shows in the resident memory. The filling is to be kept
/// for as long as that is measured.
pub(crate) fn fill_heap() -> Vec<Bytes> {
    let (mut filling, mut rises, mut last) = (Vec::with_capacity(10_000_000), 0, resident_bytes());
    while rises < 3 {
        (0..10_000).for_each(|n| filling.push(Bytes::copy_from_slice(&[n as u8; 96])));
        let now = resident_bytes();
        rises = if now - last > 0.9e6 { rises + 1 } else { 0 };
        last = now;
    }
    filling
}
