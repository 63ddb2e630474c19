//! Puts one request's log lines of several processes in order.
//!
//! Besides the lines that name the request, its story has those of the same process that tell of the
//! targets it was sent to while it was on its way: a pause, a group that closes, a target that goes.
//! docs/OPERATIONS.md shows how to read it.

use std::collections::BTreeSet;

use serde::Deserialize;

/// The event with which a daemon starts; it names the process.
const STARTED: &str = "E0001";

/// LogLine is one line of a process's log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogLine {
    /// When it was written, in Unix milliseconds of its host's clock.
    pub at_ms: u64,
    /// The process, as far as the log tells.
    pub process: String,
    /// The event and its fields.
    pub text: String,
}

#[derive(Deserialize)]
struct Written {
    timestamp: u64,
    payload: String,
}

impl LogLine {
    /// Reads a line of a JSON log. What a collector puts before the object may end with the name of
    /// the process; `process` is used where it does not. None where the line is no such line.
    pub fn parse(line: &str, process: &str) -> Option<Self> {
        let begin = line.find('{')?;
        let written: Written = serde_json::from_str(&line[begin..]).ok()?;
        let collected = line[..begin].split_whitespace().next_back();
        let process = collected.unwrap_or(process).to_owned();
        Some(Self { at_ms: written.timestamp, process, text: written.payload })
    }

    /// Returns the value of a field.
    fn field(&self, name: &str) -> Option<&str> {
        let words = self.text.split(' ');
        words.filter_map(|word| word.split_once('=')).find(|(key, _)| *key == name).map(|(_, v)| v)
    }

    fn tells_of(&self, targets: &BTreeSet<&str>) -> bool {
        self.field("target").is_some_and(|target| targets.contains(target))
    }
}

/// Returns the name of the process whose log a file's lines are, where they tell it.
pub fn process_name<'a>(lines: impl IntoIterator<Item = &'a str>) -> Option<String> {
    let started = lines.into_iter().filter(|line| line.contains(STARTED));
    let named = started.filter_map(|line| LogLine::parse(line, ""));
    named.filter_map(|line| line.field("name").map(str::to_owned)).next()
}

/// Returns the lines of a request's story in order.
pub fn lines_for_request<'a>(id: &str, lines: &'a [LogLine]) -> Vec<&'a LogLine> {
    let own: Vec<&LogLine> = lines.iter().filter(|line| line.field("id") == Some(id)).collect();
    let targets: BTreeSet<&str> = own
        .iter()
        .flat_map(|line| [line.field("target"), line.field("targets")])
        .flatten()
        .flat_map(|targets| targets.split(','))
        .filter(|target| !target.is_empty())
        .collect();
    let processes: BTreeSet<&str> = own.iter().map(|line| line.process.as_str()).collect();
    let began = own.iter().map(|line| began_ms(line)).min();
    let ended = own.iter().map(|line| line.at_ms).max();
    let meanwhile = |line: &&LogLine| {
        let span = began.zip(ended);
        let within = span.is_some_and(|(began, ended)| (began..=ended).contains(&line.at_ms));
        within && processes.contains(line.process.as_str()) && line.tells_of(&targets)
    };
    let others = lines.iter().filter(|line| line.field("id").is_none()).filter(meanwhile);
    let mut story: Vec<&LogLine> = own.iter().copied().chain(others).collect();
    story.sort_by_key(|line| line.at_ms);
    story
}

/// Returns when a request arrived, by a line that tells how long it took, or the line's own time.
fn began_ms(line: &LogLine) -> u64 {
    let took = line.field("took_ms").and_then(|took| took.parse().ok()).unwrap_or(0);
    line.at_ms.saturating_sub(took)
}
