//! Queue of a stream's pieces to its caller, bounded in bytes over all streams.

use std::time::Duration;

use bytes::Bytes;
use derive_more::{AsRef, Display, Error};
use domain::ingress_budget::PieceCharge;
use tokio::{
    sync::mpsc::Sender,
    time::{Instant, timeout},
};

use crate::{ingress::Ingress, reply::StreamChunk};

/// Time between two looks for connections that are not read while memory is short.
const SHORTAGE_CHECK_PERIOD: Duration = Duration::from_secs(1);

/// The caller has disconnected.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("the caller has disconnected")]
pub(crate) struct CallerGone;

/// Bytes of a piece, with their charge.
#[derive(AsRef)]
struct ChargedPiece {
    #[as_ref([u8])]
    bytes: Bytes,
    _charge: PieceCharge,
}

/// Queues a piece. When pieces of all streams exceed their budget, it waits until the
/// stream's own queue is empty, which holds up the server.
pub(crate) async fn send_piece(
    ingress: &Ingress,
    chunks: &Sender<StreamChunk>,
    bytes: Bytes,
) -> Result<(), CallerGone> {
    let charge = match ingress.pieces.try_charge(bytes.len()) {
        Some(charge) => charge,
        None => {
            wait_empty(ingress, chunks).await?;
            ingress.pieces.charge_only(bytes.len())
        }
    };
    let piece = ChargedPiece {
        bytes,
        _charge: charge,
    };
    let chunk = StreamChunk::Events(Bytes::from_owner(piece));
    chunks.send(chunk).await.map_err(|_| CallerGone)
}

/// Waits until a stream's queue is empty. Connections that are not read at all are
/// closed meanwhile.
async fn wait_empty(ingress: &Ingress, chunks: &Sender<StreamChunk>) -> Result<(), CallerGone> {
    loop {
        ingress.callers.close_stalled(Instant::now());
        let all = chunks.reserve_many(chunks.max_capacity());
        match timeout(SHORTAGE_CHECK_PERIOD, all).await {
            Ok(Ok(_)) => return Ok(()),
            Ok(Err(_)) => return Err(CallerGone),
            Err(_) => {}
        }
    }
}
