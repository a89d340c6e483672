//! The chat completion request. The router reads a few fields, and passes all others on to the engine as the caller
//! wrote them.

use std::{borrow::Cow, fmt};

use serde::{
    Deserialize, Deserializer,
    de::{MapAccess, Visitor},
};
use serde_json::value::RawValue;

/// A chat completion request that borrows from the caller's body.
#[derive(Debug)]
pub struct Request<'a> {
    /// The model that the caller asks for.
    pub model: Cow<'a, str>,
    /// The messages as JSON, in order.
    pub messages: Vec<&'a RawValue>,
    /// Whether the caller asks for a stream.
    pub stream: bool,
    /// Whether the caller asks for the usage in the last chunk of its stream.
    pub include_usage: bool,
    /// The greatest length of the answer that the caller allows, in tokens.
    pub max_tokens: Option<u32>,
    /// The number of alternative answers.
    pub choices: u32,
    fields: Fields<'a>,
}

/// The error returned when a body is not a chat completion request.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The body is not JSON, or not an object.
    #[error("the body is not a JSON object: {0}")]
    Json(serde_json::Error),
    /// A field is missing.
    #[error("`{0}` is missing")]
    Missing(&'static str),
    /// A field appears twice, so that two readers could disagree on its value.
    #[error("`{0}` appears more than once")]
    Duplicate(&'static str),
    /// A field has the wrong type.
    #[error("`{field}` is not valid: {error}")]
    Invalid {
        /// The field.
        field: &'static str,
        /// What is wrong.
        error: serde_json::Error,
    },
    /// The list of messages is empty.
    #[error("`messages` is empty")]
    NoMessages,
}

impl Error {
    /// Returns the name of the offending field. `None` when the fault is in the body as a whole.
    #[must_use]
    pub fn field(&self) -> Option<&'static str> {
        match self {
            Self::Json(_) => None,
            Self::Missing(field) | Self::Duplicate(field) | Self::Invalid { field, .. } => {
                Some(field)
            }
            Self::NoMessages => Some("messages"),
        }
    }
}

/// The fields of the body in the caller's order, duplicates included.
#[derive(Debug)]
struct Fields<'a>(Vec<(Cow<'a, str>, &'a RawValue)>);

/// A string that borrows from the body where it has no escapes. A bare `Cow` would always copy.
#[derive(Deserialize)]
struct Text<'a>(#[serde(borrow)] Cow<'a, str>);

/// The part of `stream_options` that the router reads. Serde writes the name of this type into an [`Error`].
#[derive(Default, Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: Option<bool>,
}

impl<'de: 'a, 'a> Deserialize<'de> for Fields<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct FieldsVisitor;
        impl<'de> Visitor<'de> for FieldsVisitor {
            type Value = Fields<'de>;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("an object")
            }

            fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Fields<'de>, A::Error> {
                let mut fields = Vec::with_capacity(8);
                while let Some((Text(key), value)) = map.next_entry::<Text<'de>, &'de RawValue>()? {
                    fields.push((key, value));
                }
                Ok(Fields(fields))
            }
        }
        deserializer.deserialize_map(FieldsVisitor)
    }
}

impl<'a> Fields<'a> {
    /// Returns the value of a field. Fails when the field appears more than once.
    fn get(&self, name: &'static str) -> Result<Option<&'a RawValue>, Error> {
        let mut matches = self.0.iter().filter(|(key, _)| key == name);
        let first = matches.next().map(|(_, value)| *value);
        if matches.next().is_some() {
            return Err(Error::Duplicate(name));
        }
        Ok(first)
    }

    /// Parses the value of a field. Returns `None` when the field is absent or `null`.
    fn parse<T: Deserialize<'a>>(&self, name: &'static str) -> Result<Option<T>, Error> {
        let Some(value) = self.get(name)? else {
            return Ok(None);
        };
        // `T` is read as an option, so that `null` means the same as an absent field.
        serde_json::from_str(value.get()).map_err(|error| Error::Invalid { field: name, error })
    }
}

impl<'a> TryFrom<&'a [u8]> for Request<'a> {
    type Error = Error;

    fn try_from(body: &'a [u8]) -> Result<Self, Error> {
        let fields: Fields<'a> = serde_json::from_slice(body).map_err(Error::Json)?;
        let Text(model) = fields.parse("model")?.ok_or(Error::Missing("model"))?;
        let messages: Vec<&RawValue> = fields
            .parse("messages")?
            .ok_or(Error::Missing("messages"))?;
        if messages.is_empty() {
            return Err(Error::NoMessages);
        }
        let options: StreamOptions = fields.parse("stream_options")?.unwrap_or_default();
        let max_tokens = match fields.parse("max_completion_tokens")? {
            Some(tokens) => Some(tokens),
            None => fields.parse("max_tokens")?,
        };
        Ok(Self {
            model,
            messages,
            stream: fields.parse("stream")?.unwrap_or(false),
            include_usage: options.include_usage.unwrap_or(false),
            max_tokens,
            choices: fields.parse("n")?.unwrap_or(1),
            fields,
        })
    }
}

impl Request<'_> {
    /// Returns the body for an engine. It always asks for a stream, and keeps all fields that the router does not
    /// replace as the caller wrote them.
    ///
    /// For a caller without a stream it also asks for the usage in the last chunk, since the complete answer contains
    /// the usage. `continuation` is the text of the answer that is already sent. It is added as a last message of the
    /// `assistant`, so that the engine continues from it.
    #[must_use]
    pub fn to_engine_body(&self, continuation: Option<&str>) -> Vec<u8> {
        let fields_bytes: usize = self
            .fields
            .0
            .iter()
            .map(|(key, value)| key.len() + value.get().len() + 4)
            .sum();
        // The 4 bytes above are the quotes, colon and comma of a field; the 80 are for the fields that are added.
        let mut out = Vec::with_capacity(fields_bytes + 80 + continuation.map_or(0, str::len));
        out.push(b'{');
        for (key, value) in &self.fields.0 {
            match &**key {
                "stream" => continue,
                "stream_options" if !self.stream => continue,
                "messages" if continuation.is_some() => {
                    push_key(&mut out, key);
                    self.push_messages(&mut out, continuation.unwrap_or_default());
                }
                _ => {
                    push_key(&mut out, key);
                    out.extend_from_slice(value.get().as_bytes());
                }
            }
            out.push(b',');
        }
        out.extend_from_slice(br#""stream":true"#);
        if !self.stream {
            out.extend_from_slice(br#","stream_options":{"include_usage":true}"#);
        }
        out.push(b'}');
        out
    }

    fn push_messages(&self, out: &mut Vec<u8>, continuation: &str) {
        out.push(b'[');
        for message in &self.messages {
            out.extend_from_slice(message.get().as_bytes());
            out.push(b',');
        }
        out.extend_from_slice(br#"{"role":"assistant","content":"#);
        push_string(out, continuation);
        out.extend_from_slice(b"}]");
    }
}

fn push_key(out: &mut Vec<u8>, key: &str) {
    push_string(out, key);
    out.push(b':');
}

fn push_string(out: &mut Vec<u8>, text: &str) {
    // Writing a string to a vector cannot fail.
    let _ = serde_json::to_writer(out, text);
}
