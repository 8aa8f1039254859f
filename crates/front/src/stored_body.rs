//! Body of a request or an answer in memory, in blocks of bounded size.
//!
//! Blocks of one size are reused by the allocator. Large bodies in one allocation each,
//! which grew in steps, left it with holes of as many bytes again.

use std::{
    convert::Infallible,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use bytes::Bytes;
use domain::{
    buffer_budget::BufferShare,
    ingress_budget::{BodyShare, NoBodyMemory},
};
use hyper::body::{Body, Frame, SizeHint};

/// Size of a block in bytes. Ordinary requests have a few.
const BLOCK_BYTES: usize = 16 << 10;
/// Size of the first block of a body without a known length.
const FIRST_BYTES: usize = 1 << 10;

/// Part of a memory budget that a body occupies; returned when dropped.
pub(crate) trait MemoryShare {
    /// Why a body cannot grow.
    type Refusal;

    /// Charges a body that grows to `size` bytes.
    fn grow_to(&mut self, size: usize) -> Result<(), Self::Refusal>;
}

/// The memory for large answers is in use.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NoAnswerMemory;

impl MemoryShare for BodyShare {
    type Refusal = NoBodyMemory;

    fn grow_to(&mut self, size: usize) -> Result<(), NoBodyMemory> {
        Self::grow_to(self, size)
    }
}

impl MemoryShare for BufferShare {
    type Refusal = NoAnswerMemory;

    fn grow_to(&mut self, size: usize) -> Result<(), NoAnswerMemory> {
        Self::grow_to(self, size)
            .then_some(())
            .ok_or(NoAnswerMemory)
    }
}

/// A whole body. Its memory is charged until the last clone is dropped.
#[derive(Debug)]
pub(crate) struct StoredBody<S> {
    blocks: Arc<BodyBlocks<S>>,
    /// Blocks that were sent already.
    sent: usize,
    /// Bytes that were not sent yet.
    left: usize,
}

#[derive(Debug)]
struct BodyBlocks<S> {
    blocks: Vec<Bytes>,
    _share: Option<S>,
}

impl<S> StoredBody<S> {
    /// The whole body in one piece, for parsers; a copy if it has several blocks.
    pub(crate) fn to_bytes(&self) -> Bytes {
        match &self.blocks.blocks[..] {
            [block] => block.clone(),
            blocks => Bytes::from(blocks.concat()),
        }
    }
}

impl<S> Clone for StoredBody<S> {
    fn clone(&self) -> Self {
        Self {
            blocks: Arc::clone(&self.blocks),
            ..*self
        }
    }
}

impl<S> Default for StoredBody<S> {
    fn default() -> Self {
        Self::from(Bytes::new())
    }
}

impl<S> From<Bytes> for StoredBody<S> {
    fn from(bytes: Bytes) -> Self {
        Self {
            left: bytes.len(),
            sent: 0,
            blocks: Arc::new(BodyBlocks {
                blocks: vec![bytes],
                _share: None,
            }),
        }
    }
}

impl<S> Body for StoredBody<S> {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.left == 0 {
            return Poll::Ready(None);
        }
        let Some(block) = self.blocks.blocks.get(self.sent).cloned() else {
            return Poll::Ready(None);
        };
        self.sent += 1;
        self.left -= block.len();
        Poll::Ready(Some(Ok(Frame::data(block))))
    }

    fn is_end_stream(&self) -> bool {
        self.left == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left as u64)
    }
}

/// A body that is being read.
#[derive(Debug)]
pub(crate) struct BodyBuffer<S> {
    blocks: Vec<Bytes>,
    /// The block that is being filled.
    last: Vec<u8>,
    /// Bytes of all blocks, also unused ones.
    allocated: usize,
    length: usize,
    announced: Option<usize>,
    share: S,
}

impl<S: MemoryShare> BodyBuffer<S> {
    /// Starts an empty body with the length that was announced for it, if there was one.
    pub(crate) fn new(announced: Option<usize>, share: S) -> Self {
        Self {
            blocks: Vec::new(),
            last: Vec::new(),
            allocated: 0,
            length: 0,
            announced,
            share,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.length
    }

    /// Copies bytes: a tiny piece would keep its whole read buffer alive. Whole blocks are
    /// charged, not only their used part.
    pub(crate) fn append(&mut self, mut data: &[u8]) -> Result<(), S::Refusal> {
        while !data.is_empty() {
            if self.last.len() == self.last.capacity() {
                self.add_block()?;
            }
            let count = data.len().min(self.last.capacity() - self.last.len());
            let (part, rest) = data.split_at(count);
            self.last.extend_from_slice(part);
            self.length += count;
            data = rest;
        }
        Ok(())
    }

    fn add_block(&mut self) -> Result<(), S::Refusal> {
        let wanted = match self.announced {
            Some(announced) => announced.saturating_sub(self.length).max(1),
            None => self.length.max(FIRST_BYTES),
        };
        let size = wanted.min(BLOCK_BYTES);
        self.share.grow_to(self.allocated + size)?;
        self.allocated += size;
        let full = std::mem::replace(&mut self.last, Vec::with_capacity(size));
        if !full.is_empty() {
            self.blocks.push(Bytes::from(full));
        }
        Ok(())
    }

    /// Ends the body.
    pub(crate) fn finish(mut self) -> StoredBody<S> {
        if !self.last.is_empty() {
            self.blocks.push(Bytes::from(self.last));
        }
        StoredBody {
            blocks: Arc::new(BodyBlocks {
                blocks: self.blocks,
                _share: Some(self.share),
            }),
            sent: 0,
            left: self.length,
        }
    }
}
