//! Sending calls, and sorting their failures by what they prove.

use std::{error::Error as _, io, time::Duration};

use bytes::Bytes;
use derive_more::Display;
use http::StatusCode;
use http_body_util::BodyExt;
use serde::de::DeserializeOwned;
use tokio::time::Instant;
use volo_http::{
    body::Body,
    client::{Client, sse::SseExt},
    error::client::{ClientError, ErrorKind},
    response::Response,
};

use crate::{EventStream, ExchangeCall};

/// Failure of a call.
#[derive(Debug, Display, derive_more::Error)]
pub enum ExchangeError {
    /// No connection was made: proof that nothing was sent.
    #[display("no connection: {reason}")]
    NotSent {
        /// What the library said.
        #[error(not(source))]
        reason: String,
    },
    /// The call may have arrived; no answer came.
    #[display("answer lost: {reason}")]
    Lost {
        /// What the library said.
        #[error(not(source))]
        reason: String,
    },
    /// An answer came that is not of the expected form.
    #[display("malformed answer with status {status}: {reason}")]
    Malformed {
        /// Status of the answer.
        #[error(not(source))]
        status: StatusCode,
        /// What is wrong with it.
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

/// Whether no connection was made, although the library reports a failed
/// request.
///
/// Only its connector hands out bare I/O errors; those of a connection that
/// stood are wrapped by the HTTP implementation.
fn is_connect_failure(error: &ClientError) -> bool {
    error
        .source()
        .is_some_and(|source| source.is::<io::Error>())
}

/// Answer to a call.
#[derive(Clone, Debug)]
pub struct ExchangeReply {
    /// Status code.
    pub status: StatusCode,
    /// Body, whole.
    pub body: Bytes,
}

impl ExchangeReply {
    /// Decode the body.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, ExchangeError> {
        serde_json::from_slice(&self.body).map_err(|error| ExchangeError::Malformed {
            status: self.status,
            reason: error.to_string(),
        })
    }
}

/// HTTP client of a process.
#[derive(Clone)]
pub struct ExchangeClient {
    client: Client,
}

impl ExchangeClient {
    /// Time until a connection must stand.
    const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

    /// Age after which an idle connection is under suspicion.
    const IDLE_MAX: Duration = Duration::from_secs(2);

    /// Client that keeps idle connections for a short time.
    pub fn pooled() -> Self {
        Self::with_idle_connections(64)
    }

    /// Client that opens a new connection for every call.
    pub fn unpooled() -> Self {
        Self::with_idle_connections(0)
    }

    fn with_idle_connections(idle_max: usize) -> Self {
        let mut builder = Client::builder();
        builder
            .set_connect_timeout(Self::CONNECT_TIMEOUT)
            .set_pool_idle_timeout(Self::IDLE_MAX)
            .set_max_idle_per_host(idle_max);
        Self {
            client: builder.build().expect("the settings are constant"),
        }
    }

    /// Send a call and read the whole answer.
    pub async fn send(&self, call: ExchangeCall<'_>) -> Result<ExchangeReply, ExchangeError> {
        let deadline = Instant::now() + call.timeout;
        let response = self.open(call).await?;
        let status = response.status();
        let read = tokio::time::timeout_at(deadline, response.into_body().collect());
        match read.await {
            Ok(Ok(body)) => Ok(ExchangeReply {
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

    /// Send a call and read its answer as a stream of events.
    ///
    /// An answer other than success is returned whole as the inner error.
    pub async fn open_events(
        &self,
        call: ExchangeCall<'_>,
    ) -> Result<Result<EventStream, ExchangeReply>, ExchangeError> {
        let response = self.open(call).await?;
        let status = response.status();
        if !status.is_success() {
            let body = response.into_body().collect().await;
            let body = body.map(|whole| whole.to_bytes()).unwrap_or_default();
            return Ok(Err(ExchangeReply { status, body }));
        }
        match response.into_sse() {
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
