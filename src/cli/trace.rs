//! `trace`: the log lines of one request, merged from the logs of several processes.

use std::fs;
use std::io::Write;
use std::path::{Path, PathBuf};

use serde_json::json;

use crate::cli::error::{CliError, Result};
use crate::cli::options::Output;
use crate::cli::show;
use crate::telemetry::request_trace::{self, LogLine};

/// Prints the lines of a request from the logs in `files`, with the time since the first of them.
///
/// # Errors
///
/// Returns an error if a file cannot be read or no line names the request.
pub fn trace(id: &str, files: &[PathBuf], output: Output, out: &mut impl Write) -> Result<()> {
    let mut lines = Vec::new();
    for file in files {
        lines.extend(read(file)?);
    }
    let story = request_trace::lines_for_request(id, &lines);
    let Some(first) = story.first() else {
        return Err(CliError::UnknownRequest { id: id.to_owned(), lines: lines.len() });
    };
    for line in &story {
        let after_ms = line.at_ms - first.at_ms;
        let written = match output {
            Output::Table => writeln!(out, "+{after_ms} ms {} {}", line.process, line.text),
            Output::Json => {
                let LogLine { at_ms, process, text } = line;
                writeln!(out, "{}", json!({ "at_ms": at_ms, "process": process, "text": text }))
            }
        };
        written.map_err(show::output_error)?;
    }
    Ok(())
}

fn read(file: &Path) -> Result<Vec<LogLine>> {
    let text = fs::read_to_string(file)
        .map_err(|source| CliError::Unreadable { file: file.to_owned(), source })?;
    let process =
        request_trace::process_name(text.lines()).unwrap_or_else(|| file.display().to_string());
    Ok(text.lines().filter_map(|line| LogLine::parse(line, &process)).collect())
}
