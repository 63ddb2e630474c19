//! Sets the log up: text lines or JSON objects on standard error or standard output.

use std::num::NonZeroUsize;
use std::result;
use std::sync::Arc;

use spdlog::formatter::{Formatter, JsonFormatter, PatternFormatter, pattern};
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, SinkPropAccess as _, StdStream, StdStreamSink};
use spdlog::{LevelFilter, Logger, ThreadPool, terminal_style};

use crate::settings::common;

/// The result of setting the log up.
pub type Result<T> = result::Result<T, LogError>;

/// LogError says that the log could not be set up.
#[derive(Debug, thiserror::Error)]
#[error("The log cannot be set up.")]
pub struct LogError(#[from] spdlog::Error);

/// Lines that wait to be written; beyond that lines are dropped rather than waited for.
const MAX_WAITING_LINES: usize = 1_024;

/// Makes standard error the process's log.
///
/// # Errors
///
/// Returns an error where standard error cannot be written to.
pub fn start(settings: &common::LogSettings) -> Result<()> {
    let sink = sink(StdStream::Stderr, settings)?;
    let logger = Logger::builder()
        .sink(sink)
        .level_filter(filter(settings.level))
        .flush_level_filter(LevelFilter::All)
        .build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

/// Makes standard output the process's log. A reader that is slow or gone never holds the process
/// up: lines that cannot be written in time are dropped.
///
/// # Errors
///
/// Returns an error where the log's thread cannot be started.
pub fn start_on_stdout(settings: &common::LogSettings) -> Result<()> {
    let pool = ThreadPool::builder().capacity(waiting_lines()).build()?;
    let sink = AsyncPoolSink::builder()
        .sink(sink(StdStream::Stdout, settings)?)
        .thread_pool(Arc::new(pool))
        .overflow_policy(OverflowPolicy::DropIncoming)
        .build()?;
    let logger = Logger::builder()
        .sink(Arc::new(sink))
        .level_filter(filter(settings.level))
        .flush_level_filter(LevelFilter::All)
        .build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

fn waiting_lines() -> NonZeroUsize {
    NonZeroUsize::new(MAX_WAITING_LINES).unwrap_or(NonZeroUsize::MIN)
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

fn filter(level: common::LogLevel) -> LevelFilter {
    match level {
        common::LogLevel::Info => LevelFilter::MoreSevereEqual(spdlog::Level::Info),
        common::LogLevel::Warn => LevelFilter::MoreSevereEqual(spdlog::Level::Warn),
        common::LogLevel::Error => LevelFilter::MoreSevereEqual(spdlog::Level::Error),
    }
}
