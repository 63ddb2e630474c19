//! Sets the log up: text lines or JSON objects on standard error.

use std::result;
use std::sync::Arc;

use spdlog::formatter::{Formatter, JsonFormatter, PatternFormatter, pattern};
use spdlog::sink::{SinkPropAccess as _, StdStream, StdStreamSink};
use spdlog::{LevelFilter, Logger, terminal_style};

use crate::settings::common;

/// The result of setting the log up.
pub type Result<T> = result::Result<T, LogError>;

/// LogError says that the log could not be set up.
#[derive(Debug, thiserror::Error)]
#[error("The log on standard error cannot be set up.")]
pub struct LogError(#[from] spdlog::Error);

/// Makes standard error the process's log.
///
/// # Errors
///
/// Returns an error where standard error cannot be written to.
pub fn start(settings: &common::LogSettings) -> Result<()> {
    let sink = StdStreamSink::builder()
        .std_stream(StdStream::Stderr)
        .style_mode(terminal_style::StyleMode::Never)
        .build()?;
    sink.set_formatter(formatter(settings.format));
    let logger = Logger::builder()
        .sink(Arc::new(sink))
        .level_filter(filter(settings.level))
        .flush_level_filter(LevelFilter::All)
        .build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
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
