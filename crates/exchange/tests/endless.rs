//! Servers that send bytes without end. A process must not keep them all.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering::Relaxed},
    },
    time::Duration,
};

use exchange::{ExchangeCall, ExchangeClient};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

/// Bytes that a client may have taken from a connection: the largest answer, and what the
/// buffers of both sockets hold.
const TAKEN_MAX: usize = 24 << 20;

/// Starts a server that sends `head` and then `unit` until its peer closes. Returns its
/// address and the number of bytes that it has sent.
async fn start_endless(head: &'static str, unit: &'static str) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("the listener is bound");
    let sent = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&sent);
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut request = [0; 1_024];
        let _ = stream.read(&mut request).await;
        let _ = stream.write_all(head.as_bytes()).await;
        let block = unit.repeat((32 << 10) / unit.len());
        while stream.write_all(block.as_bytes()).await.is_ok() {
            counter.fetch_add(block.len(), Relaxed);
        }
    });
    (address, sent)
}

fn check_taken(sent: &AtomicUsize) {
    let sent = sent.load(Relaxed);
    assert!(sent <= TAKEN_MAX, "{sent} bytes were taken");
}

#[tokio::test]
async fn answer_without_end_is_given_up() {
    let (address, sent) = start_endless("HTTP/1.1 200 OK\r\n\r\n", "junk").await;
    let call = ExchangeCall::get(address, "/").timeout(Duration::from_secs(3));
    assert!(ExchangeClient::unpooled().send(call).await.is_err());
    check_taken(&sent);
}

#[tokio::test]
async fn head_without_end_is_given_up() {
    let (address, sent) = start_endless("HTTP/1.1 200 OK\r\nx-long: ", "junk").await;
    let call = ExchangeCall::get(address, "/").timeout(Duration::from_secs(3));
    assert!(ExchangeClient::unpooled().send(call).await.is_err());
    check_taken(&sent);
}

#[tokio::test]
async fn error_without_end_in_place_of_a_stream_is_given_up() {
    let (address, sent) = start_endless("HTTP/1.1 500 X\r\n\r\n", "junk").await;
    let call = ExchangeCall::get(address, "/").timeout(Duration::from_secs(1));
    let client = ExchangeClient::unpooled();
    let opened = tokio::time::timeout(Duration::from_secs(3), client.open_events(call)).await;
    assert!(opened.expect("the call ends").is_err());
    check_taken(&sent);
}

#[tokio::test]
async fn event_without_end_is_given_up() {
    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\ndata: ";
    let (address, sent) = start_endless(head, "junk").await;
    let call = ExchangeCall::get(address, "/");
    let opened = ExchangeClient::unpooled().open_events(call).await;
    let mut events = opened.expect("an answer").expect("a stream");
    let read = tokio::time::timeout(Duration::from_secs(3), events.read()).await;
    assert!(read.expect("the read ends").is_err());
    check_taken(&sent);
}

/// A stream is as long as it needs to be; only one event is bounded.
#[tokio::test]
async fn long_stream_of_short_events_is_read() {
    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";
    let (address, _) = start_endless(head, "data: a token\r\n\r\n").await;
    let opened = ExchangeClient::unpooled()
        .open_events(ExchangeCall::get(address, "/"))
        .await;
    let mut events = opened.expect("an answer").expect("a stream");
    for _ in 0..200_000 {
        let event = events.read().await.expect("an event").expect("no end");
        assert_eq!(event.data, "a token");
    }
}
