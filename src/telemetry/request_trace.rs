//! Collects the log lines of one request from the logs of several processes, in order of time.
//!
//! Besides the lines that name the request, the trace contains lines of the same processes about
//! the targets to which it was sent, written while it was in progress: an ejection, a group that
//! closes, a target that is removed. docs/OPERATIONS.md shows how to read it.

use std::collections::BTreeSet;

use serde::Deserialize;

/// The event that a daemon logs first, which contains the name of the process.
const PROCESS_STARTED: &str = "E0001";

/// LogLine is one event in the log of a process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogLine {
    /// When the line was written, in Unix milliseconds by the clock of its host.
    pub at_ms: u64,
    /// The name of the process, or of the file if the log does not contain it.
    pub process: String,
    /// The event's number, title and fields.
    pub text: String,
}

#[derive(Deserialize)]
struct JsonLine {
    timestamp: u64,
    payload: String,
}

impl LogLine {
    /// Parses a line of a JSON log, and returns `None` if it is not one. A log collector may have
    /// put a prefix before the JSON object; the prefix's last word is then the name of the process,
    /// and otherwise the name is `process`.
    pub fn parse(line: &str, process: &str) -> Option<Self> {
        let object_start = line.find('{')?;
        let json: JsonLine = serde_json::from_str(&line[object_start..]).ok()?;
        let prefix_name = line[..object_start].split_whitespace().next_back();
        let process = prefix_name.unwrap_or(process).to_owned();
        Some(Self { at_ms: json.timestamp, process, text: json.payload })
    }

    /// Returns the value of the first field `name=value` with this name.
    fn field(&self, name: &str) -> Option<&str> {
        let words = self.text.split(' ');
        words.filter_map(|word| word.split_once('=')).find(|(key, _)| *key == name).map(|(_, v)| v)
    }

    fn concerns_any(&self, targets: &BTreeSet<&str>) -> bool {
        self.field("target").is_some_and(|target| targets.contains(target))
    }
}

/// Returns the name of the process that wrote a log, or `None` if no line contains it.
pub fn process_name<'a>(lines: impl IntoIterator<Item = &'a str>) -> Option<String> {
    let started = lines.into_iter().filter(|line| line.contains(PROCESS_STARTED));
    let named = started.filter_map(|line| LogLine::parse(line, ""));
    named.filter_map(|line| line.field("name").map(str::to_owned)).next()
}

/// Returns the lines of the trace of a request, in order of time.
pub fn lines_for_request<'a>(id: &str, lines: &'a [LogLine]) -> Vec<&'a LogLine> {
    let request_lines: Vec<&LogLine> =
        lines.iter().filter(|line| line.field("id") == Some(id)).collect();
    let targets: BTreeSet<&str> = request_lines
        .iter()
        .flat_map(|line| [line.field("target"), line.field("targets")])
        .flatten()
        .flat_map(|targets| targets.split(','))
        .filter(|target| !target.is_empty())
        .collect();
    let processes: BTreeSet<&str> =
        request_lines.iter().map(|line| line.process.as_str()).collect();
    let started_ms = request_lines.iter().map(|line| start_ms(line)).min();
    let ended_ms = request_lines.iter().map(|line| line.at_ms).max();
    let is_related = |line: &&LogLine| {
        let span = started_ms.zip(ended_ms);
        let in_progress = span.is_some_and(|(start, end)| (start..=end).contains(&line.at_ms));
        in_progress && processes.contains(line.process.as_str()) && line.concerns_any(&targets)
    };
    let related = lines.iter().filter(|line| line.field("id").is_none()).filter(is_related);
    let mut trace: Vec<&LogLine> = request_lines.iter().copied().chain(related).collect();
    trace.sort_by_key(|line| line.at_ms);
    trace
}

/// Returns when the request of a line arrived: the time of the line, less the duration of the
/// request if the line contains it.
fn start_ms(line: &LogLine) -> u64 {
    let duration_ms = line.field("took_ms").and_then(|took| took.parse().ok()).unwrap_or(0);
    line.at_ms.saturating_sub(duration_ms)
}
