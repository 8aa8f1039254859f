//! Logs as lines of `key=value` on standard error.

use std::io::Write;

use flexi_logger::{DeferredNow, FlexiLoggerError, LogSpecification, Logger, LoggerHandle};
use log::{
    Record,
    kv::{Error, Key, Value, VisitSource},
};

/// Start logging with a filter; logging ends when the handle is dropped.
pub fn start_logs(filter: &str) -> Result<LoggerHandle, FlexiLoggerError> {
    Logger::with(LogSpecification::parse(filter)?)
        .log_to_stderr()
        .format(write_line)
        .start()
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

fn write_line(
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
