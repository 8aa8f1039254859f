//! HTTP client of the platform's store.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use derive_more::{Display, Error};
use domain::store_position::{EraNews, StoreEra, StorePosition};
use http::{HeaderValue, Request, StatusCode, header};
use http_body_util::{BodyExt, Limited};
use platform::store_call::{RowPage, WRITE_PATH, decode_era, decode_write, feed_path, rows_path};
use tokio::time::{Instant, timeout_at};

use crate::{
    backend_connection::{BackendConnection, RequestBody},
    front_state::FrontState,
};

/// Time for a response in addition to the requested hold of a long poll. The store
/// usually takes a few milliseconds, and a few hundred when it is slow.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(700);
/// Limit of a response body; the store sends up to 1 MB of values, encoded in base64.
const RESPONSE_BYTES_MAX: usize = 4 << 20;

/// Error of a store call.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub(crate) enum StoreError {
    /// There was no connection, no complete response, or an invalid one.
    #[display("unreachable")]
    Unreachable,
    /// The store responded with an error status.
    #[display("refused")]
    Refused,
    /// The store no longer has the changes after the requested version.
    #[display("history_gone")]
    HistoryGone,
    /// The store has come back from an older copy since the requested version.
    #[display("restored")]
    Restored,
    /// The answer is from before a return of the store that is known.
    #[display("outdated")]
    Outdated,
    /// A row that the write depends on has another version.
    #[display("conflict")]
    Conflict,
}

impl StoreError {
    /// Whether the table has to be listed again.
    pub(crate) fn needs_listing(self) -> bool {
        matches!(self, Self::HistoryGone | Self::Restored)
    }
}

/// Response of the store, with its whole body.
struct StoreResponse {
    status: StatusCode,
    era: Option<StoreEra>,
    body: Bytes,
}

/// Client that keeps one connection and carries one call at a time.
#[derive(Debug, Default)]
pub(crate) struct StoreClient {
    link: Option<(SocketAddr, BackendConnection)>,
}

impl StoreClient {
    /// Lists all rows of a table.
    pub(crate) async fn list(
        &mut self,
        state: &FrontState,
        table: &str,
    ) -> Result<RowPage, StoreError> {
        let mut listed: Option<RowPage> = None;
        loop {
            let from = listed.as_ref().and_then(|page| page.last_key.clone());
            let path = rows_path(table, from.as_deref());
            let mut page = self.read(state, &path, RESPONSE_TIMEOUT).await?;
            if page.has_more && page.last_key <= from {
                log::warn!(table = table; "store listing does not advance");
                return Err(StoreError::Unreachable);
            }
            if let Some(before) = listed {
                if before.position.era != page.position.era {
                    return Err(StoreError::Restored);
                }
                // The feed that follows starts at the version of the first page and
                // repeats any change made since.
                page.position = before.position;
                page.unreadable += before.unreadable;
                page.rows.splice(0..0, before.rows);
            }
            if !page.has_more {
                return Ok(page);
            }
            listed = Some(page);
        }
    }

    /// Reads the rows that changed after `since`; the store holds the call for up to
    /// `hold` while there are none.
    pub(crate) async fn feed(
        &mut self,
        state: &FrontState,
        table: &str,
        since: StorePosition,
        hold: Duration,
    ) -> Result<RowPage, StoreError> {
        let hold_ms = u64::try_from(hold.as_millis()).unwrap_or(u64::MAX);
        let path = feed_path(table, since, hold_ms);
        let page = self.read(state, &path, hold + RESPONSE_TIMEOUT).await?;
        match page.position.era.judge(Some(since), state.era()) {
            EraNews::Same => Ok(page),
            EraNews::Restored => Err(StoreError::Restored),
            EraNews::Outdated => Err(StoreError::Outdated),
        }
    }

    /// Writes rows. A write without a response may have been applied, or may still
    /// be applied later, so this is only for idempotent writes.
    pub(crate) async fn write(
        &mut self,
        state: &FrontState,
        body: Vec<u8>,
    ) -> Result<(), StoreError> {
        let request = Request::post(WRITE_PATH)
            .header(header::CONTENT_TYPE, "application/json")
            .body(RequestBody::from(Bytes::from(body)));
        self.exchange(state, request, RESPONSE_TIMEOUT)
            .await
            .map(|_| ())
    }

    /// Writes rows under the conditions in the body and returns their version. A write
    /// without a response may have been applied.
    pub(crate) async fn write_if(
        &mut self,
        state: &FrontState,
        body: Vec<u8>,
    ) -> Result<StorePosition, StoreError> {
        let request = Request::post(WRITE_PATH)
            .header(header::CONTENT_TYPE, "application/json")
            .body(RequestBody::from(Bytes::from(body)));
        let (era, body) = self.exchange(state, request, RESPONSE_TIMEOUT).await?;
        decode_write(&body, era).map_err(|error| {
            log::warn!(error:%; "store response cannot be decoded");
            StoreError::Unreachable
        })
    }

    async fn read(
        &mut self,
        state: &FrontState,
        path: &str,
        timeout: Duration,
    ) -> Result<RowPage, StoreError> {
        let request = Request::get(path).body(RequestBody::default());
        let (era, body) = self.exchange(state, request, timeout).await?;
        if era.judge(None, state.era()) == EraNews::Outdated {
            return Err(StoreError::Outdated);
        }
        RowPage::decode(&body, era).map_err(|error| {
            log::warn!(error:%; "store response cannot be decoded");
            StoreError::Unreachable
        })
    }

    /// Returns the body of a successful response and the era of the store. A store that
    /// does not number its eras stays in the one that is known.
    async fn exchange(
        &mut self,
        state: &FrontState,
        request: http::Result<Request<RequestBody>>,
        timeout: Duration,
    ) -> Result<(StoreEra, Bytes), StoreError> {
        let store = state.settings.load().store;
        let deadline = Instant::now() + timeout;
        let mut request = request.map_err(|_| StoreError::Unreachable)?;
        let host = HeaderValue::from_str(&store.to_string());
        let host = host.map_err(|_| StoreError::Unreachable)?;
        request.headers_mut().insert(header::HOST, host);
        let sent = timeout_at(deadline, self.send(store, request)).await;
        // A connection with an outstanding response is not reused.
        let (link, response) = sent.unwrap_or(Err(StoreError::Unreachable))?;
        self.link = Some((store, link));
        let StoreResponse { status, era, body } = response;
        if let Some(era) = era {
            state.record_era(era);
        }
        match status {
            StatusCode::OK => Ok((era.unwrap_or(state.era()), body)),
            StatusCode::PRECONDITION_FAILED => Err(StoreError::Conflict),
            StatusCode::GONE => Err(StoreError::HistoryGone),
            status => {
                log::debug!(status = status.as_u16(); "store responded with an error status");
                Err(StoreError::Refused)
            }
        }
    }

    async fn send(
        &mut self,
        store: SocketAddr,
        request: Request<RequestBody>,
    ) -> Result<(BackendConnection, StoreResponse), StoreError> {
        let kept = self
            .link
            .take()
            .filter(|(address, link)| *address == store && link.sender.is_ready());
        let mut link = match kept {
            Some((_, link)) => link,
            None => BackendConnection::open(store)
                .await
                .map_err(|_| StoreError::Unreachable)?,
        };
        let response = link
            .sender
            .send_request(request)
            .await
            .map_err(|_| StoreError::Unreachable)?;
        let status = response.status();
        let era = decode_era(response.headers());
        let body = Limited::new(response.into_body(), RESPONSE_BYTES_MAX)
            .collect()
            .await
            .map_err(|_| StoreError::Unreachable)?;
        let body = body.to_bytes();
        Ok((link, StoreResponse { status, era, body }))
    }
}
