//! The chat completion request: the router reads a few fields and passes every other one on as it came.

use std::{borrow::Cow, fmt};

use serde::{
    Deserialize, Deserializer,
    de::{MapAccess, Visitor},
};
use serde_json::value::RawValue;

/// A chat completion request that borrows from the caller's body.
#[derive(Debug)]
pub struct Request<'a> {
    /// Model wanted.
    pub model: Cow<'a, str>,
    /// Messages as JSON, in order.
    pub messages: Vec<&'a RawValue>,
    /// Whether the caller wants a stream.
    pub stream: bool,
    /// Whether a streaming caller wants a last chunk with the usage.
    pub include_usage: bool,
    /// Longest answer wanted, in tokens.
    pub max_tokens: Option<u32>,
    /// Number of alternative answers.
    pub choices: u32,
    fields: Fields<'a>,
}

/// The body is not a chat completion request.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Not JSON, or not an object.
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
    /// There is no message.
    #[error("`messages` is empty")]
    NoMessages,
}

impl Error {
    /// The offending field.
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

#[derive(Debug)]
struct Fields<'a>(Vec<(Cow<'a, str>, &'a RawValue)>);

#[derive(Deserialize)]
struct Key<'a>(#[serde(borrow)] Cow<'a, str>);

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
                while let Some((Key(key), value)) = map.next_entry::<Key<'de>, &'de RawValue>()? {
                    fields.push((key, value));
                }
                Ok(Fields(fields))
            }
        }
        deserializer.deserialize_map(FieldsVisitor)
    }
}

impl<'a> Fields<'a> {
    fn get(&self, name: &'static str) -> Result<Option<&'a RawValue>, Error> {
        let mut found = self.0.iter().filter(|(key, _)| key == name);
        let first = found.next().map(|(_, value)| *value);
        if found.next().is_some() {
            return Err(Error::Duplicate(name));
        }
        Ok(first)
    }

    fn parse<T: Deserialize<'a>>(&self, name: &'static str) -> Result<Option<T>, Error> {
        let Some(value) = self.get(name)? else {
            return Ok(None);
        };
        // `null` means the same as an absent field.
        serde_json::from_str(value.get()).map_err(|error| Error::Invalid { field: name, error })
    }
}

impl<'a> TryFrom<&'a [u8]> for Request<'a> {
    type Error = Error;

    fn try_from(body: &'a [u8]) -> Result<Self, Error> {
        let fields: Fields<'a> = serde_json::from_slice(body).map_err(Error::Json)?;
        let Key(model) = fields.parse("model")?.ok_or(Error::Missing("model"))?;
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
    /// The body for an engine: always streamed, every other field as the caller wrote it. A caller without
    /// a stream gets its usage from the last chunk, which is asked for in its name.
    /// `continuation` is the text already sent, added as a last `assistant` message.
    #[must_use]
    pub fn to_engine_body(&self, continuation: Option<&str>) -> Vec<u8> {
        let size: usize = self
            .fields
            .0
            .iter()
            .map(|(key, value)| key.len() + value.get().len() + 4)
            .sum();
        let mut out = Vec::with_capacity(size + 80 + continuation.map_or(0, str::len));
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
    // Writing a string into memory cannot fail.
    let _ = serde_json::to_writer(out, text);
}
