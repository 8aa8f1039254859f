//! Release notes and stops, passed on to peers that ask.

use std::sync::Arc;

use backing::{TableStore, VmList};
use domain::ConfigVersion;
use volo_http::{
    response::Response,
    server::{
        IntoResponse,
        extract::{Json, Query},
    },
    utils::Extension,
};
use wire::note::{UpdateMessage, UpdateQuery};

use crate::EntryState;

/// Pass on what the asker lacks.
pub async fn pass_notes<P: TableStore + VmList>(
    Extension(state): Extension<Arc<EntryState<P>>>,
    Query(query): Query<UpdateQuery>,
) -> Response {
    let ledger = state.notes.ledger();
    let update = ledger.update_since(ConfigVersion(query.after));
    let mut message = UpdateMessage::new(ledger.version(), &update);
    if !query.server.is_empty() {
        let news = state.news_for(&query.server);
        let is_new = news.order.version > query.orders || news.is_listed_leaving;
        message.news = is_new.then_some(news);
    }
    Json(message).into_response()
}
