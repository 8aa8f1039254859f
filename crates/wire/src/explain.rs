//! Question where an entry would send a request now, and its answer.

use derive_more::{Display, Error};
use domain::kv_placement::CostTerms;
use serde::{Deserialize, Serialize};

/// Path of the question at an entry's admin listener. The question follows as JSON,
/// percent-encoded, after a question mark.
pub const EXPLAIN_PATH: &str = "/explain";

/// A request that might be sent.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct ExplainMessage {
    /// Name of its route, instead of host and path.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub route: Option<String>,
    /// Host that it names.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub host: Option<String>,
    /// Path of its URL.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub path: Option<String>,
    /// API key of its caller.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// Tokens of its prompt and of its output at most.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tokens: Option<(u64, u64)>,
    /// Output tokens that its caller expects.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub length_hint: Option<u64>,
    /// Ids of the shared parts of its prompt.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub parts: Vec<String>,
}

/// Why a question cannot be read.
#[derive(Debug, Display, Error)]
pub enum QuestionFault {
    /// A percent sign is not followed by two hexadecimal digits, or the bytes are no text.
    #[display("the question is not percent-encoded text")]
    Encoding,
    /// The JSON does not have the expected fields.
    #[display("the question is not valid: {reason}")]
    Fields {
        /// Description of the mistake.
        #[error(not(source))]
        reason: String,
    },
}

impl ExplainMessage {
    /// Path and query of the question.
    pub fn to_uri(&self) -> Result<String, serde_json::Error> {
        let text = serde_json::to_string(self)?;
        let mut uri = format!("{EXPLAIN_PATH}?");
        for byte in text.bytes() {
            if byte.is_ascii_alphanumeric() {
                uri.push(char::from(byte));
            } else {
                uri.push_str(&format!("%{byte:02X}"));
            }
        }
        Ok(uri)
    }

    /// Reads the question from a query.
    pub fn from_query(query: &str) -> Result<Self, QuestionFault> {
        let text = decode_percent(query).ok_or(QuestionFault::Encoding)?;
        Self::from_json(&text)
    }

    /// Reads the question from JSON.
    pub fn from_json(text: &str) -> Result<Self, QuestionFault> {
        serde_json::from_str(text).map_err(|error| QuestionFault::Fields {
            reason: error.to_string(),
        })
    }
}

fn decode_percent(text: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        rest = tail;
        if *first != b'%' {
            bytes.push(*first);
            continue;
        }
        let (digits, tail) = rest.split_at_checked(2)?;
        let digits = std::str::from_utf8(digits).ok()?;
        bytes.push(u8::from_str_radix(digits, 16).ok()?);
        rest = tail;
    }
    String::from_utf8(bytes).ok()
}

/// Where an entry would send a request now.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ExplanationMessage {
    /// Name of the route.
    pub route: String,
    /// Team of the key, if the key was checked.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub team: Option<String>,
    /// Effective priority; 0 is the most urgent.
    pub priority: u8,
    /// The services of the route.
    pub services: Vec<ServiceExplanation>,
}

/// What would happen at one service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServiceExplanation {
    /// Name of the service.
    pub service: String,
    /// Part of the route's requests that go there, in percent.
    pub share_percent: f64,
    /// Whether the request would be sent, wait or be refused.
    pub outcome: OutcomeMessage,
    /// Why.
    pub reason: String,
    /// Prompt and expected output tokens; none for a plain call.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tokens: Option<(u64, u64)>,
    /// The servers, the best one first.
    pub servers: Vec<ServerExplanation>,
    /// Servers that are left out at the end of the list.
    pub omitted: usize,
}

/// What would happen to the request.
#[derive(Clone, Copy, Debug, Deserialize, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OutcomeMessage {
    /// It would be sent at once.
    #[display("sent")]
    Sent,
    /// It would wait for a server.
    #[display("waits")]
    Waits,
    /// It would be refused.
    #[display("refused")]
    Refused,
}

/// How a server looks to the placement of the request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServerExplanation {
    /// Name of the instance.
    pub instance: String,
    /// Address.
    pub address: String,
    /// Failure domain.
    pub domain: String,
    /// Learned time of work there, in percent of the usual.
    pub speed_percent: u32,
    /// Reported requests that run and wait, and the age of the report in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub report: Option<(u32, u32, u64)>,
    /// Rule by which it gets nothing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub excluded: Option<String>,
    /// Terms of the cost there.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cost: Option<CostMessage>,
}

/// Terms of the cost, in milliseconds.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct CostMessage {
    /// Sum of the others.
    pub total: u64,
    /// What waits at the server.
    pub wait: u64,
    /// The request itself.
    pub own: u64,
    /// Delay of others there.
    pub others: u64,
    /// Another failure domain.
    pub domain: u64,
    /// Too little free KV cache.
    pub kv: u64,
    /// The server or its failure domain appears to be down.
    pub suspect: u64,
}

impl From<CostTerms> for CostMessage {
    fn from(terms: CostTerms) -> Self {
        Self {
            total: terms.total_ms(),
            wait: terms.wait_ms,
            own: terms.own_ms,
            others: terms.others_ms,
            domain: terms.domain_ms,
            kv: terms.kv_ms,
            suspect: terms.suspect_ms,
        }
    }
}
