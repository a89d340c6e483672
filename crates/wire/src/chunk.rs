//! The chunks of a streamed chat completion, and the complete answer that is assembled from them for callers without
//! a stream.

use std::borrow::Cow;

use jaystand_types::{RequestId, parse_request_id, render_request_id};
use serde::{Deserialize, Serialize};
use serde_json::Value;

const ID_PREFIX: &str = "chatcmpl-";

/// The fields of a chunk that the router reads.
#[derive(Debug, Deserialize)]
pub struct Chunk<'a> {
    /// The id, `chatcmpl-<request id>`.
    #[serde(borrow)]
    pub id: Cow<'a, str>,
    /// The time of the answer, in seconds since the Unix epoch.
    #[serde(default)]
    pub created: u64,
    /// The model that answers.
    #[serde(borrow, default)]
    pub model: Cow<'a, str>,
    /// What the chunk adds to each of the alternative answers.
    #[serde(borrow, default)]
    pub choices: Vec<Choice<'a>>,
    /// The token counts. Set in the last chunk.
    #[serde(default)]
    pub usage: Option<Value>,
    /// The error that the engine reports inside the stream.
    #[serde(default)]
    pub error: Option<Value>,
}

/// What a chunk adds to one of the alternative answers.
#[derive(Debug, Deserialize)]
pub struct Choice<'a> {
    /// The index of the alternative answer.
    #[serde(default)]
    pub index: u32,
    /// The addition.
    #[serde(borrow, default)]
    pub delta: Delta<'a>,
    /// The reason for the end of the answer. Set in its last chunk.
    #[serde(borrow, default)]
    pub finish_reason: Option<Cow<'a, str>>,
}

/// An addition to an answer.
#[derive(Debug, Default, Deserialize)]
pub struct Delta<'a> {
    /// The text.
    #[serde(borrow, default)]
    pub content: Option<Cow<'a, str>>,
    /// The role of the author. Set in the first chunk.
    #[serde(borrow, default)]
    pub role: Option<Cow<'a, str>>,
    /// Fragments of tool calls. Fragments with the same index belong to the same call.
    #[serde(default)]
    pub tool_calls: Option<Vec<Value>>,
    /// The text of a refusal by the model.
    #[serde(borrow, default)]
    pub refusal: Option<Cow<'a, str>>,
    /// The text of the model's reasoning, under the name that several engines give it.
    #[serde(borrow, default)]
    pub reasoning_content: Option<Cow<'a, str>>,
}

impl Chunk<'_> {
    /// Returns the id of the request that the chunk answers, or `None` when the chunk's id has another form.
    #[must_use]
    pub fn request(&self) -> Option<RequestId> {
        parse_request_id(self.id.strip_prefix(ID_PREFIX)?)
    }

    /// Returns whether the chunk adds only text to the first alternative answer. Only such an answer can be continued
    /// from its text.
    #[must_use]
    pub fn is_plain_text(&self) -> bool {
        self.choices.iter().all(|choice| {
            let delta = &choice.delta;
            choice.index == 0
                && delta.tool_calls.as_ref().is_none_or(Vec::is_empty)
                && delta.refusal.is_none()
                && delta.reasoning_content.is_none()
        })
    }
}

/// Returns the `id` of the chunks that answer a request.
#[must_use]
pub fn render_id(request: RequestId) -> String {
    format!("{ID_PREFIX}{}", render_request_id(request))
}

/// A complete answer, assembled from the chunks of its stream.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Completion {
    id: String,
    created: u64,
    model: String,
    choices: Vec<AssembledChoice>,
    usage: Option<Value>,
}

/// One alternative answer, assembled so far.
#[derive(Clone, Debug, Default, PartialEq)]
struct AssembledChoice {
    index: u32,
    role: Option<String>,
    content: Option<String>,
    refusal: Option<String>,
    reasoning: Option<String>,
    tool_calls: Vec<Value>,
    finish_reason: Option<String>,
}

/// The JSON form of a [`Completion`].
#[derive(Serialize)]
struct RenderedCompletion<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: Vec<RenderedChoice<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<&'a Value>,
}

#[derive(Serialize)]
struct RenderedChoice<'a> {
    index: u32,
    message: Message<'a>,
    finish_reason: Option<&'a str>,
}

#[derive(Serialize)]
struct Message<'a> {
    role: &'a str,
    content: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    refusal: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    reasoning_content: Option<&'a str>,
    #[serde(skip_serializing_if = "<[Value]>::is_empty")]
    tool_calls: &'a [Value],
}

impl Completion {
    /// Adds the next chunk.
    pub fn add(&mut self, chunk: Chunk<'_>) {
        if self.id.is_empty() {
            self.id = chunk.id.into_owned();
            self.created = chunk.created;
            self.model = chunk.model.into_owned();
        }
        for choice in chunk.choices {
            self.choice_mut(choice.index).add(choice);
        }
        if chunk.usage.is_some() {
            self.usage = chunk.usage;
        }
    }

    /// Returns the alternative answer with this index, which is added if it is missing.
    fn choice_mut(&mut self, index: u32) -> &mut AssembledChoice {
        let position = self.choices.iter().position(|choice| choice.index == index);
        let position = position.unwrap_or_else(|| {
            self.choices.push(AssembledChoice {
                index,
                ..AssembledChoice::default()
            });
            self.choices.len() - 1
        });
        &mut self.choices[position]
    }

    /// Returns the answer as one JSON object, with the alternative answers in the order of their indices.
    #[must_use]
    pub fn to_json(&self) -> Vec<u8> {
        let mut choices: Vec<RenderedChoice<'_>> =
            self.choices.iter().map(AssembledChoice::render).collect();
        choices.sort_by_key(|choice| choice.index);
        let rendered = RenderedCompletion {
            id: &self.id,
            object: "chat.completion",
            created: self.created,
            model: &self.model,
            choices,
            usage: self.usage.as_ref(),
        };
        // Strings, numbers and JSON values always serialise, so the default is never used.
        serde_json::to_vec(&rendered).unwrap_or_default()
    }
}

impl AssembledChoice {
    fn add(&mut self, choice: Choice<'_>) {
        let delta = choice.delta;
        append(&mut self.role, delta.role);
        append(&mut self.content, delta.content);
        append(&mut self.refusal, delta.refusal);
        append(&mut self.reasoning, delta.reasoning_content);
        for fragment in delta.tool_calls.into_iter().flatten() {
            self.add_tool_call_fragment(fragment);
        }
        if let Some(reason) = choice.finish_reason {
            self.finish_reason = Some(reason.into_owned());
        }
    }

    /// Merges a fragment into the tool call at its index, or adds it as a new call.
    fn add_tool_call_fragment(&mut self, mut fragment: Value) {
        let index = fragment.get("index").and_then(Value::as_u64).unwrap_or(0);
        if let Some(object) = fragment.as_object_mut() {
            object.remove("index");
        }
        let index = usize::try_from(index).unwrap_or(usize::MAX);
        match self.tool_calls.get_mut(index) {
            Some(call) => merge(call, fragment),
            None => self.tool_calls.push(fragment),
        }
    }

    fn render(&self) -> RenderedChoice<'_> {
        RenderedChoice {
            index: self.index,
            message: Message {
                role: self.role.as_deref().unwrap_or("assistant"),
                content: self.content.as_deref(),
                refusal: self.refusal.as_deref(),
                reasoning_content: self.reasoning.as_deref(),
                tool_calls: &self.tool_calls,
            },
            finish_reason: self.finish_reason.as_deref(),
        }
    }
}

/// Appends `addition`, if there is one, to `text`.
fn append(text: &mut Option<String>, addition: Option<Cow<'_, str>>) {
    let Some(addition) = addition else { return };
    match text {
        Some(text) => text.push_str(&addition),
        None => *text = Some(addition.into_owned()),
    }
}

/// Merges `addition` into `value`: appends to strings, merges objects key by key, and replaces all other values.
fn merge(value: &mut Value, addition: Value) {
    match (value, addition) {
        (Value::Object(object), Value::Object(addition)) => {
            for (key, added) in addition {
                match object.get_mut(&key) {
                    Some(current) => merge(current, added),
                    None => {
                        object.insert(key, added);
                    }
                }
            }
        }
        (Value::String(text), Value::String(addition)) => text.push_str(&addition),
        (value, addition) => *value = addition,
    }
}
