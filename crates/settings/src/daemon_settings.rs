//! What the settings of all daemons have in common.

use crate::{FindingReport, PortProbe};

/// Settings of one daemon.
pub trait DaemonSettings: Sized {
    /// Read a settings file; `ports` says which addresses can be listened on.
    fn read(name: &str, text: &str, ports: &impl PortProbe) -> Result<Self, FindingReport>;
}
