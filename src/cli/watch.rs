//! Shows a watch until the operator stops it, and opens it again where it breaks.

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

/// A watch that sends no bookmark for so long is dead.
const SILENCE_LIMIT: Duration = Duration::from_secs(30);
/// The pause before a broken watch is opened again.
const REOPEN_PAUSE: Duration = Duration::from_secs(1);

pub(super) async fn watch(
    client: &Client,
    kind: Kind,
    output: Output,
    out: &mut impl Write,
) -> Result<()> {
    let mut version = None;
    loop {
        match follow(client, kind, &mut version, output, out).await {
            Ok(()) | Err(CliError::Unreachable { .. }) => time::sleep(REOPEN_PAUSE).await,
            Err(error) => return Err(error),
        }
    }
}

/// Shows one watch until it breaks.
async fn follow(
    client: &Client,
    kind: Kind,
    version: &mut Option<u64>,
    output: Output,
    out: &mut impl Write,
) -> Result<()> {
    let mut answer = client.watch(kind, *version).await?;
    let mut buf = BytesMut::new();
    while let Ok(Some(Ok(piece))) = time::timeout(SILENCE_LIMIT, answer.next()).await {
        buf.extend_from_slice(&piece);
        while let Some(line) = take_line(&mut buf) {
            show_line(&line, version, output, out)?;
        }
    }
    Ok(())
}

/// Moves the version forward. Before the first bookmark the watch lists what is present, and only
/// a whole list may be followed on.
fn reach(version: &mut Option<u64>, reached: Option<u64>) {
    if version.is_some() {
        *version = (*version).max(reached);
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
    let line: WatchLine = serde_json::from_slice(text).map_err(|error| CliError::Garbled {
        entry: String::from("of the watch"),
        reason: error.to_string(),
    })?;
    match &line {
        WatchLine::Bookmark(bookmark) => *version = Some(bookmark.resource_version),
        // The next watch begins with all present resources, which history cannot tell any more.
        WatchLine::Error(_) => *version = None,
        WatchLine::Added(document) | WatchLine::Modified(document) => {
            reach(version, document.metadata.resource_version);
        }
        WatchLine::Deleted(tombstone) => reach(version, tombstone.metadata.resource_version),
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
