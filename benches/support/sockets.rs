//! Bytes on the connections of processes, as the kernel's socket table counts them.

use std::process::Command;

use bitternwall::collections::Map;

/// Traffic is what one process's open connections have carried.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Bytes sent.
    pub sent: u64,
    /// Bytes received.
    pub received: u64,
}

/// Reads the traffic of every connection that is open now, by process and local and remote
/// address; empty where the machine has no `ss`.
pub fn connections() -> Map<(u32, String), Traffic> {
    let output = Command::new("ss").args(["-HtinpO", "state", "established"]).output();
    let Ok(output) = output else { return Map::default() };
    let text = String::from_utf8_lossy(&output.stdout);
    text.lines().filter_map(connection).collect()
}

/// Returns the traffic of each process between two readings, over connections in both.
pub fn between(
    before: &Map<(u32, String), Traffic>,
    after: &Map<(u32, String), Traffic>,
) -> Map<u32, Traffic> {
    let mut moved: Map<u32, Traffic> = Map::default();
    for (connection, now) in after {
        let Some(then) = before.get(connection) else { continue };
        let row = moved.entry(connection.0).or_default();
        row.sent += now.sent.saturating_sub(then.sent);
        row.received += now.received.saturating_sub(then.received);
    }
    moved
}

fn connection(line: &str) -> Option<((u32, String), Traffic)> {
    let process = number_after(line, "pid=")?.try_into().ok()?;
    let addresses = line.split_whitespace().skip(2).take(2).collect::<Vec<_>>().join(" ");
    let traffic = Traffic {
        sent: number_after(line, "bytes_sent:").unwrap_or_default(),
        received: number_after(line, "bytes_received:").unwrap_or_default(),
    };
    Some(((process, addresses), traffic))
}

fn number_after(line: &str, name: &str) -> Option<u64> {
    let (_, rest) = line.split_once(name)?;
    let end = rest.find(|c: char| !c.is_ascii_digit()).unwrap_or(rest.len());
    rest[..end].parse().ok()
}
