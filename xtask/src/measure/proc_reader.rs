//! What the kernel says of a process under `/proc`.

use std::{fs, path::PathBuf, time::Duration};

use miette::{IntoDiagnostic, Result, miette};

/// Reads the figures of one process.
#[derive(Clone, Debug)]
pub struct ProcReader {
    folder: PathBuf,
}

impl ProcReader {
    /// Reader of the process with an identity.
    pub fn new(pid: u32) -> Self {
        Self {
            folder: PathBuf::from(format!("/proc/{pid}")),
        }
    }

    /// Resident memory, in bytes: `VmRSS` of `status`.
    pub fn resident_bytes(&self) -> Result<f64> {
        let status = fs::read_to_string(self.folder.join("status")).into_diagnostic()?;
        let kilobytes: f64 = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))
            .and_then(|rest| rest.split_whitespace().next())
            .and_then(|number| number.parse().ok())
            .ok_or_else(|| miette!("no VmRSS in {}", self.folder.display()))?;
        Ok(kilobytes * 1024.0)
    }

    /// Processor time of all threads: the first field of each `schedstat`,
    /// which counts nanoseconds where `stat` counts hundredths of a second.
    pub fn processor_time(&self) -> Result<Duration> {
        let mut total = Duration::ZERO;
        for thread in fs::read_dir(self.folder.join("task")).into_diagnostic()? {
            let path = thread.into_diagnostic()?.path().join("schedstat");
            // A thread may have ended since the folder was read.
            let Ok(text) = fs::read_to_string(path) else {
                continue;
            };
            let nanos = text.split_whitespace().next();
            let nanos = nanos.and_then(|number| number.parse().ok());
            total += Duration::from_nanos(nanos.unwrap_or(0));
        }
        Ok(total)
    }
}
