//! The error shape that clients of the `OpenAI` API expect.

use serde::{Deserialize, Serialize};

/// Body of an error answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Body {
    /// The error.
    pub error: Detail,
}

/// What went wrong.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Detail {
    /// For people; names the remedy.
    pub message: String,
    /// Class of the error.
    #[serde(rename = "type")]
    pub class: String,
    /// Stable name of the error.
    pub code: Option<String>,
    /// Offending parameter.
    pub param: Option<String>,
    /// What became of the request; only in the last event of a failed stream, which has no headers left.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<jaystand_types::Outcome>,
}

impl Body {
    /// The body as JSON.
    #[must_use]
    pub fn to_json(&self) -> Vec<u8> {
        // Strings and options always serialise.
        serde_json::to_vec(self).unwrap_or_default()
    }
}
