//! The lagging list of live and leaving VMs.

use std::{future::Future, time::Duration};

use domain::backend_server::ServerSpec;
use wire::vm::VmMessage;

use crate::StoreError;

/// Bytes of the list that a process reads a second, on average.
const LIST_BYTES_PER_SECOND: u32 = 1_500;

/// Bytes of one VM in the list.
const VM_BYTES: u32 = 180;

/// VMs up to which the list is small and read at every turn.
const LIST_SMALL: usize = 64;

/// Time between two readings of a list of `known` VMs; at least `refresh`.
///
/// The list comes whole, so a long one is read seldom.
pub fn list_interval(refresh: Duration, known: usize) -> Duration {
    if known <= LIST_SMALL {
        return refresh;
    }
    let bytes = VM_BYTES * u32::try_from(known).unwrap_or(u32::MAX);
    refresh.max(Duration::from_secs(1) * bytes / LIST_BYTES_PER_SECOND)
}

/// One VM of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmEntry {
    /// The backend server on the VM.
    pub spec: ServerSpec,
    /// Whether the platform says that it is leaving.
    pub leaving: bool,
}

/// The list as the platform gives it.
pub trait VmList: Clone + Send + Sync + 'static {
    /// Read the list.
    fn list(&self) -> impl Future<Output = Result<Vec<VmEntry>, StoreError>> + Send;
}

impl From<&VmMessage> for VmEntry {
    fn from(message: &VmMessage) -> Self {
        Self {
            spec: message.into(),
            leaving: message.leaving,
        }
    }
}
