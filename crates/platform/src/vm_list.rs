//! The lagging list of live and leaving VMs.

use std::future::Future;

use domain::backend_server::ServerSpec;
use wire::vm::VmMessage;

use crate::StoreError;

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
