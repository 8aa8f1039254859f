//! Release notes, passed on to peers that ask.

use std::sync::Arc;

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

use crate::AgentState;

/// Pass on what the asker lacks.
pub async fn pass_notes(
    Extension(state): Extension<Arc<AgentState>>,
    Query(query): Query<UpdateQuery>,
) -> Response {
    let ledger = state.notes.ledger();
    let update = ledger.update_since(ConfigVersion(query.after));
    Json(UpdateMessage::new(ledger.version(), &update)).into_response()
}
