//! HTTP client that classifies failures by what they prove.

use std::{error::Error as _, io, time::Duration};

use bytes::Bytes;
use derive_more::Display;
use http::{HeaderMap, StatusCode};
use http_body_util::{BodyExt, Limited};
use serde::de::DeserializeOwned;
use tokio::time::Instant;
use volo_http::{
    body::Body,
    client::{Client, sse::SseExt},
    error::client::{ClientError, ErrorKind},
    response::Response,
};

use crate::{EventStream, ExchangeCall, event_bound::EventBound};

/// Failure of a call.
#[derive(Debug, Display, derive_more::Error)]
pub enum ExchangeError {
    /// No connection was established, which proves that nothing was sent.
    #[display("no connection: {reason}")]
    NotSent {
        /// Error message of the HTTP library.
        #[error(not(source))]
        reason: String,
    },
    /// The request may have been received; no complete response arrived.
    #[display("answer lost: {reason}")]
    Lost {
        /// Error message of the HTTP library.
        #[error(not(source))]
        reason: String,
    },
    /// The response does not have the expected format.
    #[display("malformed answer with status {status}: {reason}")]
    Malformed {
        /// Status of the response.
        #[error(not(source))]
        status: StatusCode,
        /// Description of the format error.
        reason: String,
    },
}

impl From<ClientError> for ExchangeError {
    fn from(error: ClientError) -> Self {
        let reason = error.to_string();
        match error.kind() {
            ErrorKind::Builder | ErrorKind::Connect | ErrorKind::LoadBalance => {
                Self::NotSent { reason }
            }
            _ if is_connect_failure(&error) => Self::NotSent { reason },
            _ => Self::Lost { reason },
        }
    }
}

/// Returns whether a failed request is in fact a failed connection attempt.
///
/// The library reports some of them as request errors. Only its connector
/// returns unwrapped I/O errors; those of an established connection are wrapped
/// by the HTTP implementation.
fn is_connect_failure(error: &ClientError) -> bool {
    error
        .source()
        .is_some_and(|source| source.is::<io::Error>())
}

/// Response to a call.
#[derive(Clone, Debug)]
pub struct ExchangeReply {
    /// Status code.
    pub status: StatusCode,
    /// Header fields.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

impl ExchangeReply {
    /// Number that a header field holds.
    pub fn number(&self, field: &str) -> Option<u64> {
        self.headers.get(field)?.to_str().ok()?.parse().ok()
    }

    /// Decodes the body as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, ExchangeError> {
        serde_json::from_slice(&self.body).map_err(|error| ExchangeError::Malformed {
            status: self.status,
            reason: error.to_string(),
        })
    }
}

/// HTTP client with an optional connection pool.
#[derive(Clone)]
pub struct ExchangeClient {
    client: Client,
}

impl ExchangeClient {
    /// Time limit for establishing a connection.
    const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

    /// Time after which an idle connection is discarded, since it may be broken.
    const IDLE_TIMEOUT: Duration = Duration::from_secs(2);

    /// Creates a client that keeps idle connections for a short time.
    pub fn pooled() -> Self {
        Self::with_idle_connections(64)
    }

    /// Creates a client that opens a new connection for every call.
    pub fn unpooled() -> Self {
        Self::with_idle_connections(0)
    }

    fn with_idle_connections(idle_connections_max: usize) -> Self {
        let mut builder = Client::builder();
        builder
            .set_connect_timeout(Self::CONNECT_TIMEOUT)
            .set_pool_idle_timeout(Self::IDLE_TIMEOUT)
            .set_max_idle_per_host(idle_connections_max);
        Self {
            client: builder.build().expect("the configuration is constant"),
        }
    }

    /// Sends a call and reads the complete response.
    pub async fn send(&self, call: ExchangeCall<'_>) -> Result<ExchangeReply, ExchangeError> {
        let deadline = Instant::now() + call.timeout;
        let bytes_max = call.answer_bytes_max;
        let response = self.open(call).await?;
        read_reply(response, bytes_max, deadline).await
    }

    /// Sends a call and returns its response as an event stream.
    ///
    /// A response with an unsuccessful status is read completely and returned as the
    /// inner error.
    pub async fn open_events(
        &self,
        call: ExchangeCall<'_>,
    ) -> Result<Result<EventStream, ExchangeReply>, ExchangeError> {
        let deadline = Instant::now() + call.timeout;
        let bytes_max = call.answer_bytes_max;
        let response = self.open(call).await?;
        let status = response.status();
        if !status.is_success() {
            return read_reply(response, bytes_max, deadline).await.map(Err);
        }
        match response.map(EventBound::new).into_sse() {
            Ok(reader) => Ok(Ok(EventStream::new(reader))),
            Err(error) => Err(ExchangeError::Malformed {
                status,
                reason: error.to_string(),
            }),
        }
    }

    async fn open(&self, call: ExchangeCall<'_>) -> Result<Response<Body>, ExchangeError> {
        let uri = format!("http://{}{}", call.address, call.path);
        let mut request = self.client.request(call.method, uri);
        for (name, value) in call.headers {
            request = request.header(name, value);
        }
        let sent = request.body(Body::from(call.body)).send();
        match tokio::time::timeout(call.timeout, sent).await {
            Ok(response) => Ok(response?),
            Err(_) => Err(ExchangeError::Lost {
                reason: "timeout before the answer".to_owned(),
            }),
        }
    }
}

/// Reads a whole response until `deadline`.
async fn read_reply(
    response: Response<Body>,
    bytes_max: usize,
    deadline: Instant,
) -> Result<ExchangeReply, ExchangeError> {
    let status = response.status();
    let headers = response.headers().clone();
    let body = Limited::new(response.into_body(), bytes_max);
    match tokio::time::timeout_at(deadline, body.collect()).await {
        Ok(Ok(body)) => Ok(ExchangeReply {
            headers,
            status,
            body: body.to_bytes(),
        }),
        Ok(Err(error)) => Err(ExchangeError::Lost {
            reason: error.to_string(),
        }),
        Err(_) => Err(ExchangeError::Lost {
            reason: "timeout in the middle of the answer".to_owned(),
        }),
    }
}
