//! Reading of HTTP/1.1 messages from a socket.

use std::{
    io::{self, Read},
    net::TcpStream,
};

#[derive(Debug)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body ended as its framing announces.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Method and target of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.first.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    pub fn status(&self) -> u16 {
        self.first
            .split(' ')
            .nth(1)
            .and_then(|word| word.parse().ok())
            .unwrap_or(0)
    }
}

/// A socket with the bytes that were read ahead.
pub struct Channel {
    pub stream: TcpStream,
    held: Vec<u8>,
}

impl Channel {
    pub fn new(stream: TcpStream) -> Self {
        stream.set_nodelay(true).ok();
        Self {
            stream,
            held: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 16 << 10];
        let count = self.stream.read(&mut bytes)?;
        self.held.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.held.windows(2).position(|pair| pair == b"\r\n") {
                let line = String::from_utf8_lossy(&self.held[..end]).into_owned();
                self.held.drain(..end + 2);
                return Ok(Some(line));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    fn bytes(&mut self, count: usize, body: &mut Vec<u8>) -> io::Result<bool> {
        while self.held.len() < count {
            if self.fill()? == 0 {
                return Ok(false);
            }
        }
        body.extend(self.held.drain(..count));
        Ok(true)
    }

    /// Reads a message; `None` at the end of the channel.
    pub fn message(&mut self) -> io::Result<Option<Message>> {
        let Some(first) = self.line()? else {
            return Ok(None);
        };
        let mut headers = Vec::new();
        loop {
            match self.line()? {
                None => return Ok(None),
                Some(line) if line.is_empty() => break,
                Some(line) => {
                    let (name, value) = line.split_once(':').unwrap_or((&line, ""));
                    headers.push((name.trim().to_owned(), value.trim().to_owned()));
                }
            }
        }
        let mut message = Message {
            first,
            headers,
            body: Vec::new(),
            is_whole: true,
        };
        let is_chunked = message
            .header("transfer-encoding")
            .is_some_and(|value| value.contains("chunked"));
        if is_chunked {
            message.is_whole = self.chunks(&mut message.body)?;
        } else if let Some(length) = message
            .header("content-length")
            .and_then(|value| value.parse().ok())
        {
            let mut body = Vec::new();
            message.is_whole = self.bytes(length, &mut body)?;
            message.body = body;
        }
        Ok(Some(message))
    }

    fn chunks(&mut self, body: &mut Vec<u8>) -> io::Result<bool> {
        loop {
            let Some(line) = self.line()? else {
                return Ok(false);
            };
            let Ok(length) = usize::from_str_radix(line.trim(), 16) else {
                return Ok(false);
            };
            if !self.bytes(length, body)? || self.line()?.is_none() {
                return Ok(false);
            }
            if length == 0 {
                return Ok(true);
            }
        }
    }
}
