//! What the bytes on a link are for.
//!
//! Bytes that are not the users' own count as control: on a token stream all of
//! an event that is no token, and in a token the field that carries the load;
//! on a connection for control calls all bytes.

/// A direction of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkWay {
    /// From the side that connected.
    Up,
    /// From the side that listens.
    Down,
}

/// Finds out what the bytes of one direction are for.
pub trait ByteScan: Send + 'static {
    /// Scan of one direction of a link whose first bytes upwards are given.
    fn new(first: &[u8], way: LinkWay) -> Self;

    /// Take in what passes, and say how much of it is control.
    fn scan(&mut self, bytes: &[u8]) -> u64;
}

/// Counts nothing as control, where only the sum of the bytes is asked for.
#[derive(Debug)]
pub struct NoScan;

impl ByteScan for NoScan {
    fn new(_first: &[u8], _way: LinkWay) -> Self {
        Self
    }

    fn scan(&mut self, _bytes: &[u8]) -> u64 {
        0
    }
}

/// The answer of an agent to an entry that reads a token stream, in chunked
/// encoding with one event a chunk.
#[derive(Debug)]
pub struct StreamScan {
    way: LinkWay,
    pending: Vec<u8>,
    has_headers: bool,
}

const HEADERS_END: &[u8] = b"\r\n\r\n";
const LINE_END: &[u8] = b"\r\n";
const TOKEN_START: &[u8] = b"event: token\n";
/// A quote in a token's text is escaped, so the field cannot be found in it.
const LOAD_START: &[u8] = b",\"l\":[";
const LOAD_END: u8 = b']';
/// Events that close or describe a stream belong to its request.
const REQUEST_STARTS: [&[u8]; 5] = [
    b"event: end\n",
    b"event: stale\n",
    b"event: mismatch\n",
    b"event: lost\n",
    b"event: record\n",
];

impl ByteScan for StreamScan {
    fn new(_first: &[u8], way: LinkWay) -> Self {
        Self {
            way,
            pending: Vec::new(),
            has_headers: false,
        }
    }

    fn scan(&mut self, bytes: &[u8]) -> u64 {
        // Upwards goes the request alone.
        if self.way == LinkWay::Up {
            return 0;
        }
        self.pending.extend_from_slice(bytes);
        if !self.has_headers {
            let Some(end) = find(&self.pending, HEADERS_END) else {
                return 0;
            };
            self.pending.drain(..end + HEADERS_END.len());
            self.has_headers = true;
        }
        let mut control = 0;
        while let Some((whole, event)) = first_chunk(&self.pending) {
            control += control_bytes(event, whole);
            self.pending.drain(..whole);
        }
        control
    }
}

/// The first whole chunk: its bytes with framing, and its content.
fn first_chunk(bytes: &[u8]) -> Option<(usize, &[u8])> {
    let line = find(bytes, LINE_END)?;
    let size = std::str::from_utf8(&bytes[..line]).ok()?;
    let size = usize::from_str_radix(size, 16).ok()?;
    let start = line + LINE_END.len();
    let whole = start + size + LINE_END.len();
    (bytes.len() >= whole).then(|| (whole, &bytes[start..start + size]))
}

fn control_bytes(event: &[u8], whole: usize) -> u64 {
    if event.is_empty() || REQUEST_STARTS.iter().any(|start| event.starts_with(start)) {
        return 0;
    }
    if !event.starts_with(TOKEN_START) {
        return whole as u64;
    }
    let Some(start) = find(event, LOAD_START) else {
        return 0;
    };
    let load = &event[start..];
    let end = load.iter().position(|byte| *byte == LOAD_END);
    end.map_or(0, |end| end as u64 + 1)
}

fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}

/// A connection for control calls: all of it is control of the entry if the
/// entry tells news on it, and not if an agent asks another one.
#[derive(Debug)]
pub struct TellScan {
    is_telling: bool,
}

const TELL_METHOD: &[u8] = b"\"agent_tell\"";

impl ByteScan for TellScan {
    fn new(first: &[u8], _way: LinkWay) -> Self {
        Self {
            is_telling: find(first, TELL_METHOD).is_some(),
        }
    }

    fn scan(&mut self, bytes: &[u8]) -> u64 {
        if self.is_telling {
            bytes.len() as u64
        } else {
            0
        }
    }
}
