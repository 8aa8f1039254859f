//! Refusals and errors towards callers, as problem+json.

use serde::{Deserialize, Serialize};

/// Media type of a problem report.
pub const PROBLEM_MEDIA_TYPE: &str = "application/problem+json";

/// One problem, in the form of RFC 9457.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct ProblemReport {
    /// Kind of the problem, stable for programs.
    #[serde(rename = "type")]
    pub kind: String,
    /// Short summary.
    pub title: String,
    /// HTTP status code.
    pub status: u16,
    /// What was wrong with this request.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub detail: String,
    /// Field of the request at fault.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub field: Option<String>,
    /// What became of the request: `not run`, `unknown` or `ran`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<String>,
}
