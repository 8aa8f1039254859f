//! Reading of whole answers of backend servers into memory.

use std::sync::Arc;

use derive_more::{Display, Error};
use domain::buffer_budget::{BufferBudget, BufferShare};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use crate::stored_body::{BodyBuffer, NoAnswerMemory, StoredBody};

/// Maximum size of an answer, in bytes. Answers of plain services are a few
/// kilobytes.
const ANSWER_BYTES_MAX: usize = 4 << 20;

/// A whole answer. The memory of a large one is charged until it is dropped.
pub(crate) type AnswerBody = StoredBody<BufferShare>;

/// Why an answer could not be read.
#[derive(Debug, Display, Error)]
pub(crate) enum BodyError {
    /// The answer is larger than any answer may be.
    #[display("answer exceeds {ANSWER_BYTES_MAX} bytes")]
    TooLarge,
    /// Other large answers occupy the memory for them.
    #[display("the memory for large answers is in use")]
    NoMemory,
    /// The answer ended before its announced end.
    #[display("{_0}")]
    Broken(hyper::Error),
}

impl From<NoAnswerMemory> for BodyError {
    fn from(_: NoAnswerMemory) -> Self {
        Self::NoMemory
    }
}

/// Reads a whole body. The memory of a large one is charged to `budget`.
pub(crate) async fn read_body(
    budget: &Arc<BufferBudget>,
    mut body: Incoming,
) -> Result<AnswerBody, BodyError> {
    let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if announced > ANSWER_BYTES_MAX {
        return Err(BodyError::TooLarge);
    }
    let announced = Some(announced).filter(|announced| *announced > 0);
    let mut buffer = BodyBuffer::new(announced, budget.share());
    while let Some(frame) = body.frame().await {
        // Trailers are not relayed.
        let Ok(data) = frame.map_err(BodyError::Broken)?.into_data() else {
            continue;
        };
        if buffer.len() + data.len() > ANSWER_BYTES_MAX {
            return Err(BodyError::TooLarge);
        }
        buffer.append(&data)?;
    }
    Ok(buffer.finish())
}
