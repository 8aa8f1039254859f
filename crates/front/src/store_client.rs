//! Calls to the platform's store.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use derive_more::{Display, Error};
use http::{HeaderValue, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use platform::store_call::{RowPage, RowVersion, WRITE_PATH, feed_path, rows_path};
use tokio::time::{Instant, timeout_at};

use crate::backend_link::BackendLink;

/// Time for an answer beyond the time that the store was asked to wait. The
/// store takes some milliseconds; a slow one some hundred.
const ANSWER_TIME: Duration = Duration::from_millis(700);
/// Largest answer, in bytes; the store sends 1 MB at most, and its base64.
const ANSWER_MAX: usize = 4 << 20;

/// Why a call gave no rows.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub(crate) enum StoreError {
    /// No connection, no answer, or one that cannot be read.
    #[display("unreachable")]
    Unreachable,
    /// The store refuses for now.
    #[display("refused")]
    Refused,
    /// The history asked for is gone.
    #[display("history_gone")]
    HistoryGone,
}

/// Client for one watch; it keeps one connection.
#[derive(Debug, Default)]
pub(crate) struct StoreClient {
    link: Option<(SocketAddr, BackendLink)>,
}

impl StoreClient {
    /// All rows of a table.
    pub(crate) async fn list(
        &mut self,
        store: SocketAddr,
        table: &str,
    ) -> Result<RowPage, StoreError> {
        let mut whole: Option<RowPage> = None;
        loop {
            let from = whole
                .as_ref()
                .and_then(|page| page.rows.last())
                .map(|row| row.key.clone());
            let path = rows_path(table, from.as_deref());
            let mut page = self.call(store, &path, ANSWER_TIME).await?;
            if let Some(before) = whole {
                // Changes after the first page come with the feed from there.
                page.version = before.version;
                page.unreadable += before.unreadable;
                page.rows.splice(0..0, before.rows);
            }
            if !page.has_more || page.rows.is_empty() {
                return Ok(page);
            }
            whole = Some(page);
        }
    }

    /// Rows that changed after a version; waits for the first one.
    pub(crate) async fn feed(
        &mut self,
        store: SocketAddr,
        table: &str,
        since: RowVersion,
        wait: Duration,
    ) -> Result<RowPage, StoreError> {
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        let path = feed_path(table, since, wait_ms);
        self.call(store, &path, wait + ANSWER_TIME).await
    }

    /// Write rows. A write whose answer is lost may be done, also later, so
    /// only rows that may be written twice are written here.
    pub(crate) async fn write(
        &mut self,
        store: SocketAddr,
        body: Vec<u8>,
    ) -> Result<(), StoreError> {
        let request = Request::post(WRITE_PATH)
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::from(body));
        self.exchange(store, request, ANSWER_TIME).await.map(|_| ())
    }

    async fn call(
        &mut self,
        store: SocketAddr,
        path: &str,
        time: Duration,
    ) -> Result<RowPage, StoreError> {
        let request = Request::get(path).body(Full::default());
        let body = self.exchange(store, request, time).await?;
        RowPage::decode(&body).map_err(|error| {
            log::warn!(error:%; "answer of the store cannot be read");
            StoreError::Unreachable
        })
    }

    async fn exchange(
        &mut self,
        store: SocketAddr,
        request: http::Result<Request<Full<Bytes>>>,
        time: Duration,
    ) -> Result<Bytes, StoreError> {
        let limit = Instant::now() + time;
        let mut request = request.map_err(|_| StoreError::Unreachable)?;
        let host = HeaderValue::from_str(&store.to_string());
        let host = host.map_err(|_| StoreError::Unreachable)?;
        request.headers_mut().insert(header::HOST, host);
        let called = timeout_at(limit, self.send(store, request)).await;
        // A connection on which an answer is missing delivers nothing further.
        let (link, answered) = called.unwrap_or(Err(StoreError::Unreachable))?;
        self.link = Some((store, link));
        let (status, body) = answered;
        match status {
            StatusCode::OK => Ok(body),
            StatusCode::GONE => Err(StoreError::HistoryGone),
            status => {
                log::debug!(status = status.as_u16(); "store refused");
                Err(StoreError::Refused)
            }
        }
    }

    async fn send(
        &mut self,
        store: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<(BackendLink, (StatusCode, Bytes)), StoreError> {
        let kept = self
            .link
            .take()
            .filter(|(address, link)| *address == store && link.sender.is_ready());
        let mut link = match kept {
            Some((_, link)) => link,
            None => BackendLink::open(store)
                .await
                .map_err(|_| StoreError::Unreachable)?,
        };
        let response = link
            .sender
            .send_request(request)
            .await
            .map_err(|_| StoreError::Unreachable)?;
        let status = response.status();
        let body = Limited::new(response.into_body(), ANSWER_MAX)
            .collect()
            .await
            .map_err(|_| StoreError::Unreachable)?;
        Ok((link, (status, body.to_bytes())))
    }
}
