//! The JSON body of an error, in the form that clients of the `OpenAI` API expect.

use serde::{Deserialize, Serialize};

/// The body of an answer that reports an error.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Body {
    /// The error.
    pub error: Detail,
}

/// The description of an error.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Detail {
    /// The message for people, which names the remedy.
    pub message: String,
    /// The class of the error.
    #[serde(rename = "type")]
    pub class: String,
    /// The stable name of the error.
    pub code: Option<String>,
    /// The offending parameter.
    pub param: Option<String>,
    /// The outcome of the request. Set only in the last event of a failed stream, whose headers are already sent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<jaystand_types::Outcome>,
}

impl Body {
    /// Returns the body as JSON.
    #[must_use]
    pub fn to_json(&self) -> Vec<u8> {
        // Strings and options always serialise, so the default is never used.
        serde_json::to_vec(self).unwrap_or_default()
    }
}
