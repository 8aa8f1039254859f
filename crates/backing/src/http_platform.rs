//! The platform over its published HTTP interface.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering::Relaxed},
    },
    time::Duration,
};

use domain::store_position::StoreEra;

use exchange::{ExchangeCall, ExchangeClient, ExchangeError, ExchangeReply};
use http::{Method, StatusCode};
use wire::{
    table::{ERA_HEADER, ReadMessage, RowsReply, ScanMessage, TransactMessage, TransactReply},
    vm::VmListMessage,
};

use crate::{
    ObjectStore, StoreError, TableRow, TableStore, TableWrite, TransactOutcome, VmEntry, VmList,
};

/// Maximum size in bytes of an answer that holds the whole state: that of 13,000 teams, of
/// a few hundred bytes each.
pub(crate) const STATE_BYTES_MAX: usize = 16 << 20;

/// Client of the platform.
#[derive(Clone)]
pub struct HttpPlatform {
    exchange: ExchangeClient,
    address: SocketAddr,
    timeout: Duration,
    era: Arc<AtomicU64>,
}

impl HttpPlatform {
    /// Client of the platform at `address`, which answers within `timeout` or
    /// counts as down.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            exchange: ExchangeClient::pooled(),
            address,
            timeout,
            era: Arc::default(),
        }
    }

    async fn ask(&self, call: ExchangeCall<'_>) -> Result<ExchangeReply, StoreError> {
        let call = call.timeout(self.timeout);
        let sent = self
            .exchange
            .send(call.answer_bytes_max(STATE_BYTES_MAX))
            .await;
        let reply = sent.map_err(store_error)?;
        if let Some(era) = reply.number(ERA_HEADER) {
            self.era.fetch_max(era, Relaxed);
        }
        if reply.status == StatusCode::SERVICE_UNAVAILABLE {
            // The published interface promises that this status applies nothing.
            return Err(StoreError::Unavailable {
                reason: "the store refuses".to_owned(),
            });
        }
        Ok(reply)
    }
}

fn store_error(error: ExchangeError) -> StoreError {
    let reason = error.to_string();
    match error {
        ExchangeError::NotSent { .. } => StoreError::Unavailable { reason },
        ExchangeError::Lost { .. } | ExchangeError::Malformed { .. } => {
            StoreError::AnswerLost { reason }
        }
    }
}

fn unexpected(reply: &ExchangeReply) -> StoreError {
    StoreError::AnswerLost {
        reason: format!("unexpected status {}", reply.status),
    }
}

fn rows(reply: &ExchangeReply) -> Result<Vec<TableRow>, StoreError> {
    let reply: RowsReply = reply.json().map_err(store_error)?;
    Ok(reply.rows.into_iter().map(TableRow::from).collect())
}

impl TableStore for HttpPlatform {
    fn era(&self) -> StoreEra {
        self.era.load(Relaxed).into()
    }

    async fn read(&self, keys: &[&str]) -> Result<Vec<TableRow>, StoreError> {
        let keys = keys.iter().map(|&key| key.to_owned()).collect();
        let call = ExchangeCall::post(self.address, "/v1/table/read").json(&ReadMessage { keys });
        rows(&self.ask(call).await?)
    }

    async fn scan(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<TableRow>, StoreError> {
        let scan = ScanMessage {
            prefix: prefix.to_owned(),
            after: after.to_owned(),
            limit,
        };
        let call = ExchangeCall::post(self.address, "/v1/table/scan").json(&scan);
        rows(&self.ask(call).await?)
    }

    async fn transact(&self, writes: &[TableWrite<'_>]) -> Result<TransactOutcome, StoreError> {
        let writes = writes.iter().map(Into::into).collect();
        let call = ExchangeCall::post(self.address, "/v1/table/transact")
            .json(&TransactMessage { writes });
        let reply = self.ask(call).await?;
        let TransactReply { failed } = reply.json().map_err(store_error)?;
        if failed.is_empty() {
            return Ok(TransactOutcome::Committed);
        }
        Ok(TransactOutcome::Refused { failed })
    }
}

impl ObjectStore for HttpPlatform {
    async fn get(&self, key: &str) -> Result<Option<String>, StoreError> {
        let path = format!("/v1/objects/{key}");
        let reply = self.ask(ExchangeCall::get(self.address, &path)).await?;
        match reply.status {
            StatusCode::OK => Ok(Some(String::from_utf8_lossy(&reply.body).into_owned())),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(unexpected(&reply)),
        }
    }

    async fn put(&self, key: &str, value: &str) -> Result<(), StoreError> {
        let path = format!("/v1/objects/{key}");
        let call = ExchangeCall::new(Method::PUT, self.address, &path).body(value.as_bytes());
        let reply = self.ask(call).await?;
        if !reply.status.is_success() {
            return Err(unexpected(&reply));
        }
        Ok(())
    }
}

impl VmList for HttpPlatform {
    async fn list(&self) -> Result<Vec<VmEntry>, StoreError> {
        let reply = self.ask(ExchangeCall::get(self.address, "/v1/vms")).await?;
        let list: VmListMessage = reply.json().map_err(store_error)?;
        Ok(list.vms.iter().map(VmEntry::from).collect())
    }
}
