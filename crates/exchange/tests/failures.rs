//! Classification of failures by whether the request may have been sent.

use std::net::SocketAddr;

use exchange::{ExchangeCall, ExchangeClient, ExchangeError};
use tokio::{io::AsyncReadExt, net::TcpListener};

#[derive(Debug, PartialEq, Eq)]
enum Proof {
    NotSent,
    Lost,
}

/// Sends a call to `address` and checks what its failure proves.
async fn check(address: SocketAddr, expected: Proof) {
    let call = ExchangeCall::post(address, "/").body(b"order");
    let proof = match ExchangeClient::unpooled().send(call).await {
        Err(ExchangeError::NotSent { .. }) => Proof::NotSent,
        Err(ExchangeError::Lost { .. }) => Proof::Lost,
        other => panic!("unexpected {other:?}"),
    };
    assert_eq!(proof, expected);
}

#[tokio::test]
async fn refused_connection_proves_that_nothing_was_sent() {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    drop(listener);
    check(address, Proof::NotSent).await;
}

#[tokio::test]
async fn request_may_be_received_if_the_connection_closes_after_one_byte() {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection is accepted");
        let mut byte = [0];
        stream
            .read_exact(&mut byte)
            .await
            .expect("a byte is received");
    });
    check(address, Proof::Lost).await;
}
