//! Reads the resource usage of processes from `/proc`.

use crate::history::ResourceSample;
use crate::topology::Topology;
use std::fs;
use std::path::Path;

/// Length of the clock tick in which `/proc` counts CPU time (`sysconf(_SC_CLK_TCK)` is 100 on Linux).
const TICK_MS: u64 = 10;
/// Index in `/proc/PID/stat`, counted after the command's closing parenthesis, of the user time in ticks;
/// the system time follows it.
const USER_TIME_FIELD: usize = 11;

/// Samples the resource usage of a running process; none if it has exited.
pub fn sample(topology: &Topology, index: usize, pid: u32) -> Option<ResourceSample> {
    let folder = format!("/proc/{pid}");
    let status = fs::read_to_string(format!("{folder}/status")).ok()?;
    let status_field = |name: &str| {
        let line = status.lines().find_map(|line| line.strip_prefix(name))?;
        line.split_whitespace().next()?.parse::<u64>().ok()
    };
    let stat = fs::read_to_string(format!("{folder}/stat")).ok()?;
    let times = stat.rsplit(')').next()?.split_whitespace().skip(USER_TIME_FIELD).take(2);
    let ticks: u64 = times.filter_map(|time| time.parse::<u64>().ok()).sum();
    Some(ResourceSample {
        node: topology.nodes[index].name.clone(),
        memory_kib: status_field("VmRSS:")?,
        descriptors: fs::read_dir(format!("{folder}/fd")).ok()?.count() as u64,
        threads: status_field("Threads:")?,
        processor_ms: ticks * TICK_MS,
        log_bytes: fs::metadata(topology.log_path(index)).map_or(0, |log| log.len()),
        disk_bytes: topology.data_directory(index).map_or(0, |directory| directory_bytes(&directory)),
    })
}

fn directory_bytes(folder: &Path) -> u64 {
    let files = fs::read_dir(folder).into_iter().flatten().flatten();
    files.filter_map(|file| file.metadata().ok()).map(|metadata| metadata.len()).sum()
}

/// The upper limit for the memory of a soak test, in KiB: half of the machine's memory.
pub fn memory_limit_kib() -> Option<u64> {
    let meminfo = fs::read_to_string("/proc/meminfo").ok()?;
    let line = meminfo.lines().find_map(|line| line.strip_prefix("MemTotal:"))?;
    Some(line.split_whitespace().next()?.parse::<u64>().ok()? / 2)
}
