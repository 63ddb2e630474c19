//! Shows a watch until the operator stops the program, and reopens it after an interruption.

use std::io::Write;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use futures_util::StreamExt;
use tokio::time;

use crate::cli::client::Client;
use crate::cli::error::{CliError, Result};
use crate::cli::options::Output;
use crate::cli::show;
use crate::resources::documents::WatchLine;
use crate::resources::kinds::Kind;

/// A watch that sends no data, not even a bookmark, for this time is considered interrupted.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// The delay before an interrupted watch is reopened.
const REOPEN_DELAY: Duration = Duration::from_secs(1);

pub(super) async fn watch(
    client: &Client,
    kind: Kind,
    output: Output,
    out: &mut impl Write,
) -> Result<()> {
    let mut version = None;
    loop {
        match follow(client, kind, &mut version, output, out).await {
            Ok(()) | Err(CliError::Unreachable { .. }) => time::sleep(REOPEN_DELAY).await,
            Err(error) => return Err(error),
        }
    }
}

/// Shows one watch until it is interrupted. `version` is the version from which the next one
/// resumes.
async fn follow(
    client: &Client,
    kind: Kind,
    version: &mut Option<u64>,
    output: Output,
    out: &mut impl Write,
) -> Result<()> {
    let mut answer = client.watch(kind, *version).await?;
    let mut buf = BytesMut::new();
    while let Ok(Some(Ok(chunk))) = time::timeout(IDLE_TIMEOUT, answer.next()).await {
        buf.extend_from_slice(&chunk);
        while let Some(line) = take_line(&mut buf) {
            show_line(&line, version, output, out)?;
        }
    }
    Ok(())
}

/// Advances the version from which the next watch resumes.
///
/// Has no effect before the first bookmark: until then the watch lists the current resources, and a
/// watch can resume only after a complete list.
fn advance(version: &mut Option<u64>, seen: Option<u64>) {
    if version.is_some() {
        *version = (*version).max(seen);
    }
}

fn take_line(buf: &mut BytesMut) -> Option<Bytes> {
    let end = buf.iter().position(|byte| *byte == b'\n')?;
    let line = buf.split_to(end).freeze();
    buf.advance(1);
    Some(line)
}

fn show_line(
    text: &[u8],
    version: &mut Option<u64>,
    output: Output,
    out: &mut impl Write,
) -> Result<()> {
    let line: WatchLine = serde_json::from_slice(text).map_err(|error| {
        CliError::InvalidAnswer { entry: String::from("of the watch"), reason: error.to_string() }
    })?;
    match &line {
        WatchLine::Bookmark(bookmark) => *version = Some(bookmark.resource_version),
        // The history no longer contains the changes after this version, so the next watch begins
        // with a list of all current resources.
        WatchLine::Error(_) => *version = None,
        WatchLine::Added(document) | WatchLine::Modified(document) => {
            advance(version, document.metadata.resource_version);
        }
        WatchLine::Deleted(tombstone) => advance(version, tombstone.metadata.resource_version),
        WatchLine::Status(_) => {}
    }
    if output == Output::Json {
        return show::json(&line, out);
    }
    match &line {
        WatchLine::Added(document) => show::line("added", document, out),
        WatchLine::Modified(document) => show::line("modified", document, out),
        WatchLine::Status(document) => show::line("status", document, out),
        WatchLine::Deleted(tombstone) => {
            writeln!(out, "deleted {}", tombstone.metadata.name).map_err(show::output_error)
        }
        WatchLine::Bookmark(_) => Ok(()),
        WatchLine::Error(problem) => writeln!(out, "error {problem}").map_err(show::output_error),
    }
}
