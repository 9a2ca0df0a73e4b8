//! Rules about the resource usage of processes: it stays within limits and does not keep growing.

use super::{Finding, Rule};
use crate::history::{Event, Micros, ProcessChange, Record, ResourceSample};
use std::collections::BTreeMap;

const MAX_MEMORY_KIB: u64 = 256 * 1024;
const MAX_DESCRIPTORS: u64 = 1_500;
const MAX_THREADS: u64 = 4;
const MAX_DISK_BYTES: u64 = 96 << 20;
/// Average over the time since the start of the soak test, which is taken as at least a minute.
const MAX_LOG_BYTES_PER_S: u64 = 16 * 1024;
/// Growth is checked for incarnations with at least this many samples.
const MIN_SAMPLES: usize = 40;
/// The lowest sample in the last quarter of an incarnation may be at most this percentage of the highest in its second
/// quarter, plus the slack of the resource.
const MAX_GROWTH_PERCENT: u64 = 150;
const MEMORY_SLACK_KIB: u64 = 12 * 1024;
const DESCRIPTOR_SLACK: u64 = 60;

/// The samples of one incarnation of a process.
type Samples<'a> = Vec<(Micros, &'a ResourceSample)>;

pub(super) fn check(records: &[Record]) -> Vec<Finding> {
    let mut by_incarnation: BTreeMap<(&str, usize), Samples> = BTreeMap::new();
    let mut incarnations: BTreeMap<&str, usize> = BTreeMap::new();
    for record in records {
        match &record.event {
            Event::Process { node, change: ProcessChange::Started { .. } } => {
                *incarnations.entry(node).or_default() += 1
            }
            Event::Sample(sample) => {
                let incarnation = incarnations.get(&*sample.node).copied().unwrap_or_default();
                by_incarnation.entry((&sample.node, incarnation)).or_default().push((record.at, sample));
            }
            _ => {}
        }
    }
    by_incarnation
        .values()
        .filter_map(|samples| check_limits(samples).or_else(|| check_growth(samples)))
        .collect()
}

fn check_limits(samples: &Samples) -> Option<Finding> {
    samples.iter().find_map(|(at, sample)| {
        let seconds = (at / 1_000_000).max(60);
        let bounds = [
            ("memory-kib", sample.memory_kib, MAX_MEMORY_KIB),
            ("descriptors", sample.descriptors, MAX_DESCRIPTORS),
            ("threads", sample.threads, MAX_THREADS),
            ("disk-bytes", sample.disk_bytes, MAX_DISK_BYTES),
            ("log-bytes-per-s", sample.log_bytes / seconds, MAX_LOG_BYTES_PER_S),
        ];
        let (name, value, bound) = bounds.into_iter().find(|(_, value, bound)| value > bound)?;
        Some(Finding::new(Rule::Resources, *at, &sample.node, format!("{name}={value} bound={bound}")))
    })
}

fn check_growth(samples: &Samples) -> Option<Finding> {
    if samples.len() < MIN_SAMPLES {
        return None;
    }
    let quarter = samples.len() / 4;
    let (at, sample) = samples[samples.len() - 1];
    let find_growth = |name: &str, value: fn(&ResourceSample) -> u64, slack: u64| {
        let early = samples[quarter..2 * quarter].iter().map(|(_, sample)| value(sample)).max()?;
        let late = samples[3 * quarter..].iter().map(|(_, sample)| value(sample)).min()?;
        let is_grown = late > early * MAX_GROWTH_PERCENT / 100 + slack;
        is_grown.then(|| {
            Finding::new(Rule::Resources, at, &sample.node, format!("{name} grew from={early} to={late}"))
        })
    };
    find_growth("memory-kib", |sample| sample.memory_kib, MEMORY_SLACK_KIB)
        .or_else(|| find_growth("descriptors", |sample| sample.descriptors, DESCRIPTOR_SLACK))
}
