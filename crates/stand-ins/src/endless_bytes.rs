//! Bytes without end, as a worker in trouble sends them.

use std::{io, time::Duration};

use tokio::{io::AsyncWriteExt, net::TcpStream, time::sleep};

/// Bytes of one write.
const WRITE_BYTES: usize = 32 << 10;
/// Bytes of one write at a slow pace.
const SLOW_WRITE_BYTES: usize = 1 << 10;
/// Pause between two writes at a slow pace.
const SLOW_PAUSE: Duration = Duration::from_millis(5);

/// Part of an answer that never ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndlessPart {
    /// One header line.
    HeaderLine,
    /// Header lines.
    Headers,
    /// Interim answers (status 100).
    Interim,
    /// A body in chunks.
    Chunks,
    /// One chunk of a body.
    OneChunk,
    /// A body that ends with its connection.
    Body,
    /// A body of an announced length.
    Announced,
    /// Trailers after a body.
    Trailers,
}

/// How fast they are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndlessPace {
    /// As fast as the peer reads.
    Fast,
    /// A kilobyte every few milliseconds.
    Slow,
}

impl EndlessPart {
    /// Start of the answer: after it only [`unit`](Self::unit) repeats.
    fn start(self, id: &str) -> String {
        let head = format!(
            "HTTP/1.1 200 OK\r\nx-bamboocross-request-id: {id}\r\n\
             x-bamboocross-server-seal: seal-{id}\r\n"
        );
        match self {
            Self::HeaderLine => head + "x-long: ",
            Self::Headers => head,
            Self::Interim => String::new(),
            Self::Chunks => head + "transfer-encoding: chunked\r\n\r\n",
            Self::OneChunk => head + "transfer-encoding: chunked\r\n\r\nfffffffffffffff\r\n",
            Self::Body => head + "connection: close\r\n\r\n",
            Self::Announced => head + "content-length: 999999999999\r\n\r\n",
            Self::Trailers => head + "transfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n",
        }
    }

    /// What repeats.
    fn unit(self) -> &'static str {
        match self {
            Self::HeaderLine | Self::OneChunk | Self::Body | Self::Announced => "x",
            Self::Headers | Self::Trailers => "x-more: more\r\n",
            Self::Interim => "HTTP/1.1 100 Continue\r\n\r\n",
            Self::Chunks => "10\r\nxxxxxxxxxxxxxxxx\r\n",
        }
    }
}

/// Sends the answer until the peer closes, and returns the number of bytes sent.
pub(crate) async fn send_endless(
    stream: &mut TcpStream,
    id: &str,
    part: EndlessPart,
    pace: EndlessPace,
) -> io::Result<u64> {
    stream.write_all(part.start(id).as_bytes()).await?;
    let size = match pace {
        EndlessPace::Fast => WRITE_BYTES,
        EndlessPace::Slow => SLOW_WRITE_BYTES,
    };
    let piece = part.unit().repeat(size / part.unit().len());
    let mut sent = 0;
    // The peer's close is the only end.
    while stream.write_all(piece.as_bytes()).await.is_ok() {
        sent += piece.len() as u64;
        if pace == EndlessPace::Slow {
            sleep(SLOW_PAUSE).await;
        }
    }
    Ok(sent)
}
