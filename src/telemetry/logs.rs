//! Log setup: text lines or JSON objects on standard error or standard output.

use std::num::NonZeroUsize;
use std::result;
use std::sync::Arc;

use spdlog::formatter::{Formatter, JsonFormatter, PatternFormatter, pattern};
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, SinkPropAccess as _, StdStream, StdStreamSink};
use spdlog::{LevelFilter, Logger, ThreadPool, terminal_style};

use crate::settings::common;

/// The result of setting up the log.
pub type Result<T> = result::Result<T, LogError>;

/// LogError is returned if the log could not be set up.
#[derive(Debug, thiserror::Error)]
#[error("The log could not be set up.")]
pub struct LogError(#[from] spdlog::Error);

/// Capacity of the queue to the log's thread. When it is full, new lines are dropped so that the
/// process never waits for the log.
const MAX_QUEUED_LINES: usize = 1_024;

/// Writes the process's log to standard error.
///
/// # Errors
///
/// Returns an error if the logger cannot be created.
pub fn start(settings: &common::LogSettings) -> Result<()> {
    let sink = sink(StdStream::Stderr, settings)?;
    let logger = Logger::builder()
        .sink(sink)
        .level_filter(level_filter(settings.level))
        .flush_level_filter(LevelFilter::All)
        .build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

/// Writes the process's log to standard output. A reader that is slow or gone never blocks the
/// process: lines that cannot be queued are dropped.
///
/// # Errors
///
/// Returns an error if the log's thread cannot be started.
pub fn start_on_stdout(settings: &common::LogSettings) -> Result<()> {
    let pool = ThreadPool::builder().capacity(queue_capacity()).build()?;
    let sink = AsyncPoolSink::builder()
        .sink(sink(StdStream::Stdout, settings)?)
        .thread_pool(Arc::new(pool))
        .overflow_policy(OverflowPolicy::DropIncoming)
        .build()?;
    let logger = Logger::builder()
        .sink(Arc::new(sink))
        .level_filter(level_filter(settings.level))
        .flush_level_filter(LevelFilter::All)
        .build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

fn queue_capacity() -> NonZeroUsize {
    NonZeroUsize::new(MAX_QUEUED_LINES).unwrap_or(NonZeroUsize::MIN)
}

fn sink(stream: StdStream, settings: &common::LogSettings) -> Result<Arc<StdStreamSink>> {
    let sink = StdStreamSink::builder()
        .std_stream(stream)
        .style_mode(terminal_style::StyleMode::Never)
        .build()?;
    sink.set_formatter(formatter(settings.format));
    Ok(Arc::new(sink))
}

fn formatter(format: common::LogFormat) -> Box<dyn Formatter> {
    match format {
        common::LogFormat::Text => Box::new(PatternFormatter::new(pattern!(
            "{date}T{time}.{millisecond} {level} {payload}{eol}"
        ))),
        common::LogFormat::Json => Box::new(JsonFormatter::new()),
    }
}

fn level_filter(level: common::LogLevel) -> LevelFilter {
    match level {
        common::LogLevel::Info => LevelFilter::MoreSevereEqual(spdlog::Level::Info),
        common::LogLevel::Warn => LevelFilter::MoreSevereEqual(spdlog::Level::Warn),
        common::LogLevel::Error => LevelFilter::MoreSevereEqual(spdlog::Level::Error),
    }
}
