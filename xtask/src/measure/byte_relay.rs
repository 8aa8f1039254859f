//! A link that counts what goes over it.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use miette::{IntoDiagnostic, Result};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
};

/// Bytes carried at once.
const BUFFER_BYTES: usize = 16 * 1024;

/// Carries connections to a target; ends when it is dropped.
pub struct ByteRelay {
    /// Where it listens.
    pub address: SocketAddr,
    bytes: Arc<AtomicU64>,
    task: tokio::task::JoinHandle<()>,
}

impl ByteRelay {
    /// Start a relay.
    pub async fn start(target: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
            .await
            .into_diagnostic()?;
        let address = listener.local_addr().into_diagnostic()?;
        let bytes = Arc::new(AtomicU64::new(0));
        let task = tokio::spawn(accept(listener, target, Arc::clone(&bytes)));
        Ok(Self {
            address,
            bytes,
            task,
        })
    }

    /// Bytes carried so far, both ways, without the headers of TCP and IP.
    pub fn bytes(&self) -> f64 {
        self.bytes.load(Ordering::Relaxed) as f64
    }
}

impl Drop for ByteRelay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, bytes: Arc<AtomicU64>) {
    while let Ok((near, _)) = listener.accept().await {
        let bytes = Arc::clone(&bytes);
        tokio::spawn(async move {
            let Ok(far) = TcpStream::connect(target).await else {
                return;
            };
            let (near_read, near_write) = near.into_split();
            let (far_read, far_write) = far.into_split();
            tokio::join!(
                carry(near_read, far_write, &bytes),
                carry(far_read, near_write, &bytes),
            );
        });
    }
}

async fn carry(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, bytes: &AtomicU64) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let read = match from.read(&mut buffer).await {
            Ok(0) | Err(_) => return,
            Ok(read) => read,
        };
        bytes.fetch_add(read as u64, Ordering::Relaxed);
        if to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}
