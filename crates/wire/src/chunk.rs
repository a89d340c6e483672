//! Chunks of a streamed chat completion, and the whole completion assembled from them.

use std::borrow::Cow;

use jaystand_types::{RequestId, parse_request_id, render_request_id};
use serde::{Deserialize, Serialize};
use serde_json::Value;

const ID_PREFIX: &str = "chatcmpl-";

/// One chunk, as far as the router reads it.
#[derive(Debug, Deserialize)]
pub struct Chunk<'a> {
    /// `chatcmpl-<request id>`.
    #[serde(borrow)]
    pub id: Cow<'a, str>,
    /// Unix time of the answer.
    #[serde(default)]
    pub created: u64,
    /// Model that answers.
    #[serde(borrow, default)]
    pub model: Cow<'a, str>,
    /// Pieces of the alternative answers.
    #[serde(borrow, default)]
    pub choices: Vec<Choice<'a>>,
    /// Token counts, in the last chunk.
    #[serde(default)]
    pub usage: Option<Value>,
    /// An error that the engine reports inside the stream.
    #[serde(default)]
    pub error: Option<Value>,
}

/// A piece of one alternative answer.
#[derive(Debug, Deserialize)]
pub struct Choice<'a> {
    /// Which alternative.
    #[serde(default)]
    pub index: u32,
    /// What it adds.
    #[serde(borrow, default)]
    pub delta: Delta<'a>,
    /// Why the answer ends, in its last piece.
    #[serde(borrow, default)]
    pub finish_reason: Option<Cow<'a, str>>,
}

/// What a piece adds to an answer.
#[derive(Debug, Default, Deserialize)]
pub struct Delta<'a> {
    /// Text.
    #[serde(borrow, default)]
    pub content: Option<Cow<'a, str>>,
    /// Role of the author, in the first piece.
    #[serde(borrow, default)]
    pub role: Option<Cow<'a, str>>,
    /// Parts of tool calls, joined by their index.
    #[serde(default)]
    pub tool_calls: Option<Vec<Value>>,
    /// Text of a refusal by the model.
    #[serde(borrow, default)]
    pub refusal: Option<Cow<'a, str>>,
    /// Text of the model's reasoning, as several engines name it.
    #[serde(borrow, default)]
    pub reasoning_content: Option<Cow<'a, str>>,
}

impl Chunk<'_> {
    /// The request that the chunk answers; `None` when its id has another form.
    #[must_use]
    pub fn request(&self) -> Option<RequestId> {
        parse_request_id(self.id.strip_prefix(ID_PREFIX)?)
    }

    /// Whether the chunk has text only, so that an answer can be continued from its text.
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

/// Renders the `id` of the chunks that answer a request.
#[must_use]
pub fn render_id(request: RequestId) -> String {
    format!("{ID_PREFIX}{}", render_request_id(request))
}

/// A whole answer, assembled from the chunks of its stream.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Completion {
    id: String,
    created: u64,
    model: String,
    choices: Vec<Assembled>,
    usage: Option<Value>,
}

#[derive(Clone, Debug, Default, PartialEq)]
struct Assembled {
    index: u32,
    role: Option<String>,
    content: Option<String>,
    refusal: Option<String>,
    reasoning: Option<String>,
    tool_calls: Vec<Value>,
    finish_reason: Option<String>,
}

#[derive(Serialize)]
struct Rendered<'a> {
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
            self.choice(choice.index).add(choice);
        }
        if chunk.usage.is_some() {
            self.usage = chunk.usage;
        }
    }

    fn choice(&mut self, index: u32) -> &mut Assembled {
        let position = self.choices.iter().position(|choice| choice.index == index);
        let position = position.unwrap_or_else(|| {
            self.choices.push(Assembled {
                index,
                ..Assembled::default()
            });
            self.choices.len() - 1
        });
        &mut self.choices[position]
    }

    /// The answer as one JSON object.
    #[must_use]
    pub fn to_json(&self) -> Vec<u8> {
        let mut choices: Vec<RenderedChoice<'_>> =
            self.choices.iter().map(Assembled::render).collect();
        choices.sort_by_key(|choice| choice.index);
        let rendered = Rendered {
            id: &self.id,
            object: "chat.completion",
            created: self.created,
            model: &self.model,
            choices,
            usage: self.usage.as_ref(),
        };
        // Strings, numbers and JSON values always serialise.
        serde_json::to_vec(&rendered).unwrap_or_default()
    }
}

impl Assembled {
    fn add(&mut self, choice: Choice<'_>) {
        let delta = choice.delta;
        append(&mut self.role, delta.role);
        append(&mut self.content, delta.content);
        append(&mut self.refusal, delta.refusal);
        append(&mut self.reasoning, delta.reasoning_content);
        for call in delta.tool_calls.into_iter().flatten() {
            self.add_tool_call(call);
        }
        if let Some(reason) = choice.finish_reason {
            self.finish_reason = Some(reason.into_owned());
        }
    }

    fn add_tool_call(&mut self, mut call: Value) {
        let index = call.get("index").and_then(Value::as_u64).unwrap_or(0);
        if let Some(object) = call.as_object_mut() {
            object.remove("index");
        }
        let index = usize::try_from(index).unwrap_or(usize::MAX);
        match self.tool_calls.get_mut(index) {
            Some(before) => merge(before, call),
            None => self.tool_calls.push(call),
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

fn append(text: &mut Option<String>, piece: Option<Cow<'_, str>>) {
    let Some(piece) = piece else { return };
    match text {
        Some(text) => text.push_str(&piece),
        None => *text = Some(piece.into_owned()),
    }
}

/// Joins a part of a tool call to what came before: strings grow, objects merge, everything else is replaced.
fn merge(before: &mut Value, part: Value) {
    match (before, part) {
        (Value::Object(before), Value::Object(part)) => {
            for (key, value) in part {
                match before.get_mut(&key) {
                    Some(known) => merge(known, value),
                    None => {
                        before.insert(key, value);
                    }
                }
            }
        }
        (Value::String(before), Value::String(part)) => before.push_str(&part),
        (before, part) => *before = part,
    }
}
