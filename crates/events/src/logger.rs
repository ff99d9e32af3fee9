//! Set-up of the process's logger.

use std::io::Write;

use flexi_logger::{DeferredNow, FlexiLoggerError, LoggerHandle, Record};
use snafu::{ResultExt, Snafu};

use crate::queue::Queue;

/// Format of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// `TIME LEVEL E300 route.chosen {…}`.
    Text,
    /// Each line is a JSON object.
    Json,
}

/// Failure to start the logger.
#[derive(Debug, Snafu)]
pub enum LogError {
    /// The logging library rejected its configuration.
    #[snafu(display("The logger could not be started: {source}."))]
    Start {
        /// Error of the logging library.
        source: FlexiLoggerError,
    },
}

/// Handle of the running logger.
pub struct Logger {
    handle: LoggerHandle,
}

impl Logger {
    /// Starts logging to standard error at `level`, such as `info` or `warn`.
    ///
    /// # Errors
    ///
    /// The logging library rejects its configuration.
    pub fn open(level: &str, format: Format) -> Result<Self, LogError> {
        let write = match format {
            Format::Text => write_text,
            Format::Json => write_json,
        };
        let handle = flexi_logger::Logger::try_with_str(level)
            .context(StartSnafu)?
            .log_to_stderr()
            .format(write)
            .start()
            .context(StartSnafu)?;
        Ok(Self { handle })
    }

    /// Starts logging to standard output through a queue and a writing thread. If standard output is
    /// not read, lines are counted and dropped, and callers do not block.
    ///
    /// # Errors
    ///
    /// The logging library rejects its configuration.
    pub fn open_queued(level: &str, format: Format) -> Result<Self, LogError> {
        let write = match format {
            Format::Text => write_text,
            Format::Json => write_json,
        };
        let handle = flexi_logger::Logger::try_with_str(level)
            .context(StartSnafu)?
            .log_to_writer(Box::new(Queue::spawn(write)))
            .start()
            .context(StartSnafu)?;
        Ok(Self { handle })
    }

    /// Flushes and stops the logger.
    pub fn close(self) {
        self.handle.flush();
        self.handle.shutdown();
    }
}

fn write_text(w: &mut dyn Write, now: &mut DeferredNow, record: &Record) -> std::io::Result<()> {
    let time = now.format_rfc3339();
    let message = record.args().to_string();
    let Some((number, fields)) = split_event(&message) else {
        return write!(
            w,
            "{time} {} - {} {message}",
            record.level(),
            record.target()
        );
    };
    write!(
        w,
        "{time} {} E{number} {} {fields}",
        record.level(),
        record.target()
    )
}

fn write_json(w: &mut dyn Write, now: &mut DeferredNow, record: &Record) -> std::io::Result<()> {
    let time = now.format_rfc3339();
    let level = record.level();
    let name = serde_json::Value::from(record.target());
    let message = record.args().to_string();
    let Some((number, fields)) = split_event(&message) else {
        let text = serde_json::Value::from(message);
        return write!(
            w,
            r#"{{"time":"{time}","level":"{level}","name":{name},"text":{text}}}"#
        );
    };
    write!(
        w,
        r#"{{"time":"{time}","level":"{level}","event":{number},"name":{name},"fields":{fields}}}"#
    )
}

fn split_event(message: &str) -> Option<(u16, &str)> {
    let start = message.find('{')?;
    let number = message[..start].parse().ok()?;
    Some((number, &message[start..]))
}
