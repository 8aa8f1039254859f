//! The object store.

use std::future::Future;

use crate::StoreError;

/// Whole objects by key, written once.
pub trait ObjectStore: Clone + Send + Sync + 'static {
    /// Read an object, if it is there.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<String>, StoreError>> + Send;

    /// Write an object.
    fn put(&self, key: &str, value: &str) -> impl Future<Output = Result<(), StoreError>> + Send;
}
