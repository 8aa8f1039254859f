//! Logs as lines of `key=value`.

use std::io::Write;

use flexi_logger::{DeferredNow, FlexiLoggerError, LogSpecification, Logger, LoggerHandle};
use log::{
    Record,
    kv::{Error, Key, Value, VisitSource},
};

use crate::BoundedWriter;

/// Where log lines go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogTarget {
    /// Standard error, written by the thread that logs.
    StandardError,
    /// Standard output, through a bounded queue that drops what does not fit.
    BoundedOutput,
}

/// Start logging with a filter; logging ends when the handle is dropped.
pub fn start_logs(filter: &str, target: LogTarget) -> Result<LoggerHandle, FlexiLoggerError> {
    let logger = Logger::with(LogSpecification::parse(filter)?).format(write_line);
    match target {
        LogTarget::StandardError => logger.log_to_stderr().start(),
        LogTarget::BoundedOutput => {
            let writer = BoundedWriter::start(std::io::stdout());
            logger.log_to_writer(Box::new(writer)).start()
        }
    }
}

struct PairWriter<'a> {
    out: &'a mut dyn Write,
}

impl<'kvs> VisitSource<'kvs> for PairWriter<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        write!(self.out, " {key}={value}")?;
        Ok(())
    }
}

pub(crate) fn write_line(
    out: &mut dyn Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> Result<(), std::io::Error> {
    write!(
        out,
        "{} {:5} {} {}",
        now.format_rfc3339(),
        record.level(),
        record.target(),
        record.args()
    )?;
    let mut writer = PairWriter { out };
    record
        .key_values()
        .visit(&mut writer)
        .map_err(std::io::Error::other)
}
