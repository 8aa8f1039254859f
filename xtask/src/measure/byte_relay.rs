//! A link that counts what goes over it, and how much of that is control.

use std::{
    marker::PhantomData,
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

use crate::measure::byte_scan::{ByteScan, LinkWay, NoScan};

/// Bytes carried at once.
const BUFFER_BYTES: usize = 16 * 1024;

/// Carries connections to a target; ends when it is dropped.
pub struct ByteRelay<S = NoScan> {
    /// Where it listens.
    pub address: SocketAddr,
    counts: Arc<RelayCounts>,
    task: tokio::task::JoinHandle<()>,
    scan: PhantomData<fn() -> S>,
}

/// Bytes both ways, without the headers of TCP and IP.
#[derive(Debug, Default)]
struct RelayCounts {
    all: AtomicU64,
    control: AtomicU64,
}

impl RelayCounts {
    fn note(&self, bytes: &[u8], scan: &mut impl ByteScan) {
        self.all.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        self.control.fetch_add(scan.scan(bytes), Ordering::Relaxed);
    }
}

impl<S: ByteScan> ByteRelay<S> {
    /// Start a relay.
    pub async fn start(target: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
            .await
            .into_diagnostic()?;
        let address = listener.local_addr().into_diagnostic()?;
        let counts = Arc::new(RelayCounts::default());
        let task = tokio::spawn(accept::<S>(listener, target, Arc::clone(&counts)));
        Ok(Self {
            address,
            counts,
            task,
            scan: PhantomData,
        })
    }

    /// Bytes carried so far.
    pub fn bytes(&self) -> f64 {
        self.counts.all.load(Ordering::Relaxed) as f64
    }

    /// Those of them that are control.
    pub fn control_bytes(&self) -> f64 {
        self.counts.control.load(Ordering::Relaxed) as f64
    }
}

impl<S> Drop for ByteRelay<S> {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept<S: ByteScan>(listener: TcpListener, target: SocketAddr, counts: Arc<RelayCounts>) {
    while let Ok((near, _)) = listener.accept().await {
        let counts = Arc::clone(&counts);
        tokio::spawn(async move { connect::<S>(near, target, &counts).await });
    }
}

/// Carry one connection; its first bytes tell what it is for.
async fn connect<S: ByteScan>(near: TcpStream, target: SocketAddr, counts: &RelayCounts) {
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let (mut near_read, near_write) = near.into_split();
    let (far_read, mut far_write) = far.into_split();
    let mut first = vec![0; BUFFER_BYTES];
    let Ok(read @ 1..) = near_read.read(&mut first).await else {
        return;
    };
    first.truncate(read);
    let mut up = S::new(&first, LinkWay::Up);
    let down = S::new(&first, LinkWay::Down);
    counts.note(&first, &mut up);
    if far_write.write_all(&first).await.is_err() {
        return;
    }
    tokio::join!(
        carry(near_read, far_write, up, counts),
        carry(far_read, near_write, down, counts),
    );
}

async fn carry(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut scan: impl ByteScan,
    counts: &RelayCounts,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let read = match from.read(&mut buffer).await {
            Ok(0) | Err(_) => return,
            Ok(read) => read,
        };
        counts.note(&buffer[..read], &mut scan);
        if to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}
