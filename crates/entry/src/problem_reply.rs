//! Refusals and errors as callers see them.

use std::time::Duration;

use domain::team_budget::AdmissionRefusal;
use http::{HeaderValue, StatusCode, header};
use volo_http::{body::Body, response::Response};
use wire::{ProblemReport, problem::PROBLEM_MEDIA_TYPE};

/// A refusal in the making.
#[derive(Clone, Debug)]
pub struct ProblemReply {
    report: Box<ProblemReport>,
    retry_after: Option<Duration>,
}

impl ProblemReply {
    /// Refusal before anything was dispatched.
    pub fn refused(status: StatusCode, kind: &str, detail: impl Into<String>) -> Self {
        let mut reply = Self::new(status, kind, detail);
        reply.report.outcome = Some("not run".to_owned());
        reply
    }

    /// Refusal that names the field at fault.
    pub fn field(field: &str, detail: impl Into<String>) -> Self {
        let mut reply = Self::refused(StatusCode::BAD_REQUEST, "invalid-field", detail);
        reply.report.field = Some(field.to_owned());
        reply
    }

    /// Problem with an outcome of its own.
    pub fn with_outcome(
        status: StatusCode,
        kind: &str,
        detail: impl Into<String>,
        outcome: &str,
    ) -> Self {
        let mut reply = Self::new(status, kind, detail);
        reply.report.outcome = Some(outcome.to_owned());
        reply
    }

    /// Ask the caller to come back later.
    #[must_use]
    pub const fn retry_after(mut self, pause: Duration) -> Self {
        self.retry_after = Some(pause);
        self
    }

    /// The problem as a response.
    pub fn into_response(self) -> Response {
        let status =
            StatusCode::from_u16(self.report.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let body = serde_json::to_vec(self.report.as_ref()).expect("wire types are plain data");
        let mut response = Response::new(Body::from(body));
        *response.status_mut() = status;
        let headers = response.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static(PROBLEM_MEDIA_TYPE),
        );
        if let Some(pause) = self.retry_after {
            let seconds = pause.as_secs().max(1);
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }

    fn new(status: StatusCode, kind: &str, detail: impl Into<String>) -> Self {
        Self {
            report: Box::new(ProblemReport {
                kind: kind.to_owned(),
                title: status.canonical_reason().unwrap_or("problem").to_owned(),
                status: status.as_u16(),
                detail: detail.into(),
                ..ProblemReport::default()
            }),
            retry_after: None,
        }
    }
}

impl From<AdmissionRefusal> for ProblemReply {
    fn from(refusal: AdmissionRefusal) -> Self {
        Self::refused(
            StatusCode::TOO_MANY_REQUESTS,
            "over-capacity",
            refusal.to_string(),
        )
        .retry_after(refusal.retry_after)
    }
}
