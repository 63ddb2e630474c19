//! What the kernel says of a process: processor time, memory and bytes moved.

#![allow(dead_code, reason = "each bench uses its own part of the readings")]

use std::time::Duration;
use std::{fs, io};

/// Clock ticks in a second, as `/proc` counts processor time on Linux.
const TICKS_PER_SECOND: u64 = 100;
/// Where the time in user mode stands after the program's name in `/proc/PID/stat`.
const USER_TIME_FIELD: usize = 11;

/// Usage is what a process had used at one moment.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Processor time, in user mode and in the kernel.
    pub processor: Duration,
    /// Resident memory.
    pub resident_bytes: u64,
    /// Bytes that it read from files and sockets.
    pub read_bytes: u64,
    /// Bytes that it wrote to files and sockets.
    pub written_bytes: u64,
}

/// Reads what a process has used so far.
///
/// # Errors
///
/// Returns an error where the process is gone.
pub fn usage(process: u32) -> io::Result<Usage> {
    let status = fs::read_to_string(format!("/proc/{process}/status"))?;
    let traffic = fs::read_to_string(format!("/proc/{process}/io"))?;
    Ok(Usage {
        processor: processor_time(process)?,
        resident_bytes: field(&status, "VmRSS:") * 1024,
        read_bytes: field(&traffic, "rchar:"),
        written_bytes: field(&traffic, "wchar:"),
    })
}

/// Reads the processor time that a process has used so far.
///
/// # Errors
///
/// Returns an error where the process is gone.
pub fn processor_time(process: u32) -> io::Result<Duration> {
    let stat = fs::read_to_string(format!("/proc/{process}/stat"))?;
    let after_name = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let times = after_name.split_whitespace().skip(USER_TIME_FIELD).take(2);
    let ticks: u64 = times.filter_map(|ticks| ticks.parse::<u64>().ok()).sum();
    Ok(Duration::from_millis(ticks * 1000 / TICKS_PER_SECOND))
}

/// Reads the processor time of every thread that a process has, in nanoseconds.
///
/// # Errors
///
/// Returns an error where the process is gone.
pub fn thread_time(process: u32) -> io::Result<Duration> {
    let mut nanos = 0;
    for thread in fs::read_dir(format!("/proc/{process}/task"))? {
        let text = fs::read_to_string(thread?.path().join("schedstat")).unwrap_or_default();
        let run = text.split_whitespace().next().and_then(|run| run.parse::<u64>().ok());
        nanos += run.unwrap_or_default();
    }
    Ok(Duration::from_nanos(nanos))
}

fn field(text: &str, name: &str) -> u64 {
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.and_then(|number| number.parse().ok()).unwrap_or_default()
}
