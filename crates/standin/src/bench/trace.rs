//! The seeded load: all arrivals are fixed before any policy runs, so that all policies get the same load.

use std::{collections::HashSet, time::Duration};

use bytes::Bytes;
use jaystand_standin::{
    engine::{Message, Prompt, answer_text, token_text},
    fleet::Deployment,
};
use jaystand_types::Urgency;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;
use serde_json::json;

/// Bytes of an engine's cache block; 256 tokens, so that a document is 8 blocks.
pub(crate) const BLOCK_BYTES: usize = 1024;
pub(crate) const BYTES_PER_TOKEN: u32 = 4;

/// Factor between the rates of crests and quiet windows.
const CREST_FACTOR: u32 = 5;
/// Share of requests that are long: 30 times longer than the mean of the others.
const LONG_SHARE: f64 = 0.02;
const DOCUMENTS: usize = 24;
const DOCUMENT_BYTES: usize = 8 * BLOCK_BYTES;
const SYSTEM_BYTES: usize = 2 * BLOCK_BYTES;
/// Documents in the prompt of a long request.
const LONG_DOCUMENTS: usize = 4;
const ZIPF_EXPONENT: f64 = 1.1;
/// Number of documents by which the popularity ranks rotate when the hot set shifts.
const POPULARITY_SHIFT: usize = 7;
const MAX_TURNS: usize = 4;
/// Time that a caller takes to read an answer before the next turn.
const THINK_TIME: Duration = Duration::from_millis(1200);
const MAX_OPEN_CONVERSATIONS: usize = 64;
const LONG_KIND: usize = 3;

/// Windows of a run, one after the other. No crest, crash or shift separates the quiet windows `Clean`, `Long` and
/// `Slow`, so that they differ only in what their names say.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Window {
    /// Warm-up; only its tokens are measured.
    Warm,
    /// Quiet, without long work and slowed servers.
    Clean,
    /// Quiet, with long work.
    Long,
    /// Quiet, with long work and slowed servers.
    Slow,
    /// First crest, with long work.
    FirstCrest,
    /// The hot set shifts, an engine crashes and returns empty, a daemon restarts.
    Settle,
    /// Second crest.
    SecondCrest,
    /// Quiet.
    Tail,
}

/// Windows with their ends in milliseconds.
pub(crate) const WINDOWS: [(Window, u64); 8] = [
    (Window::Warm, 1500),
    (Window::Clean, 3100),
    (Window::Long, 4800),
    (Window::Slow, 6400),
    (Window::FirstCrest, 7400),
    (Window::Settle, 8500),
    (Window::SecondCrest, 9500),
    (Window::Tail, 10_000),
];

/// Time from the start of [`Window::Long`] in which long work arrives; it runs for seconds.
const LONG_ARRIVALS_PERIOD: Duration = Duration::from_millis(2500);

/// One request of the load.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    pub(crate) at: Duration,
    pub(crate) window: Window,
    /// Index into the deployment's kinds.
    pub(crate) kind: usize,
    pub(crate) team: usize,
    pub(crate) body: Bytes,
    /// Hash of the prompt, which identifies the engines' records.
    pub(crate) prompt: u64,
    /// Prompt tokens that an unbounded cache, shared by the whole deployment, would hold at the arrival.
    pub(crate) known_tokens: u32,
}

impl Arrival {
    pub(crate) fn is_long(&self) -> bool {
        self.kind == LONG_KIND
    }
}

impl Window {
    pub(crate) fn at(time: Duration) -> Self {
        let inside = WINDOWS
            .iter()
            .find(|(_, end)| time < Duration::from_millis(*end));
        inside.map_or(Self::Tail, |(window, _)| *window)
    }

    /// Returns start and end.
    pub(crate) fn bounds(self) -> (Duration, Duration) {
        let index = WINDOWS
            .iter()
            .position(|(window, _)| *window == self)
            .unwrap_or(0);
        let start = index.checked_sub(1).map_or(0, |before| WINDOWS[before].1);
        (
            Duration::from_millis(start),
            Duration::from_millis(WINDOWS[index].1),
        )
    }

    pub(crate) fn is_crest(self) -> bool {
        matches!(self, Self::FirstCrest | Self::SecondCrest)
    }
}

#[derive(Clone, Debug)]
struct Conversation {
    team: usize,
    messages: Vec<Message>,
    ready_at: Duration,
}

struct Generator<'a> {
    deployment: &'a Deployment,
    random: Pcg64,
    conversations: Vec<Conversation>,
    cached: HashSet<u64>,
    serial: u64,
}

/// Generates the load of a deployment; `quiet_rate` is the requests per second outside the crests.
pub(crate) fn generate(deployment: &Deployment, seed: u64, quiet_rate: f64) -> Vec<Arrival> {
    let mut generator = Generator {
        deployment,
        random: Pcg64::seed_from_u64(seed),
        conversations: Vec::new(),
        cached: HashSet::new(),
        serial: seed << 32,
    };
    let times = generator.arrival_times(quiet_rate);
    times
        .into_iter()
        .map(|(at, long)| generator.make_arrival(at, long))
        .collect()
}

impl Generator<'_> {
    /// Returns the arrival times in order, each with whether the request is long.
    fn arrival_times(&mut self, quiet_rate: f64) -> Vec<(Duration, bool)> {
        let end = Duration::from_millis(WINDOWS[WINDOWS.len() - 1].1);
        let mut times = Vec::new();
        let mut at = Duration::ZERO;
        loop {
            let factor = if Window::at(at).is_crest() {
                CREST_FACTOR
            } else {
                1
            };
            let rate = quiet_rate * f64::from(factor);
            // Exponential gaps: arrivals are independent of each other.
            let gap = -(1.0 - self.random.random::<f64>()).ln() / rate;
            at += Duration::from_secs_f64(gap);
            if at >= end {
                break;
            }
            times.push((at, false));
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss,
            reason = "a few thousand arrivals"
        )]
        let long = (times.len() as f64 * LONG_SHARE).round() as u32;
        // Long work starts after the first windows, so that these give the latency without it.
        let (from, _) = Window::Long.bounds();
        for index in 0..long {
            times.push((from + LONG_ARRIVALS_PERIOD * index / long, true));
        }
        times.sort_by_key(|(at, _)| *at);
        times
    }

    fn make_arrival(&mut self, at: Duration, long: bool) -> Arrival {
        self.serial += 1;
        let kind = if long {
            LONG_KIND
        } else {
            self.draw_short_kind()
        };
        let continued = !long && self.random.random_bool(0.4);
        let open_index = continued.then(|| {
            self.conversations
                .iter()
                .position(|open| open.ready_at <= at)
        });
        let mut conversation = match open_index.flatten() {
            Some(index) => self.conversations.swap_remove(index),
            None => self.open_conversation(at, if long { LONG_DOCUMENTS } else { 1 }),
        };
        let question = filler(&format!("question {}", self.serial), 160);
        conversation.messages.push(message("user", question));
        let tokens = self.deployment.kinds[kind].tokens;
        let mut arrival = self.build_arrival(&conversation, tokens);
        arrival.at = at;
        arrival.window = Window::at(at);
        arrival.kind = kind;
        let answer = answer_text(arrival.prompt, tokens);
        conversation.messages.push(message("assistant", answer));
        conversation.ready_at = at + THINK_TIME;
        if !long && conversation.messages.len() < 2 + 2 * MAX_TURNS {
            self.conversations.push(conversation);
        }
        if self.conversations.len() > MAX_OPEN_CONVERSATIONS {
            self.conversations.remove(0);
        }
        arrival
    }

    /// Draws the kind of a short request; half of them are urgent.
    fn draw_short_kind(&mut self) -> usize {
        match self.random.random_range(0..4) {
            0 => 0,
            1 => 1,
            _ => 2,
        }
    }

    fn open_conversation(&mut self, at: Duration, documents: usize) -> Conversation {
        let team = draw_weighted(&mut self.random, &Deployment::team_weights().map(f64::from));
        let shifted = if at >= Window::Settle.bounds().0 {
            POPULARITY_SHIFT
        } else {
            0
        };
        let mut messages = vec![message(
            "system",
            filler(&format!("system {team}"), SYSTEM_BYTES),
        )];
        for _ in 0..documents {
            let rank = draw_zipf_rank(&mut self.random);
            let document = (rank + shifted) % DOCUMENTS;
            let text = filler(&format!("document {team} {document}"), DOCUMENT_BYTES);
            messages.push(message("user", text));
        }
        Conversation {
            team,
            messages,
            ready_at: at,
        }
    }

    fn build_arrival(&mut self, conversation: &Conversation, tokens: u32) -> Arrival {
        let messages = &conversation.messages;
        let salt = Deployment::team(conversation.team);
        let prompt = Prompt::new(salt, messages, 0, BLOCK_BYTES, BYTES_PER_TOKEN);
        let known = prompt
            .blocks
            .iter()
            .take_while(|block| self.cached.contains(block))
            .count();
        self.cached.extend(&prompt.blocks);
        let known = u32::try_from(known * BLOCK_BYTES).unwrap_or(u32::MAX) / BYTES_PER_TOKEN;
        let body = json!({
            "model": self.deployment.model,
            "stream": true,
            "max_tokens": tokens,
            "messages": messages,
        });
        Arrival {
            at: Duration::ZERO,
            window: Window::Warm,
            kind: 0,
            team: conversation.team,
            body: Bytes::from(body.to_string()),
            prompt: prompt.hash,
            known_tokens: known.min(prompt.tokens - 1),
        }
    }
}

/// Returns deterministic text of a length; different labels give different texts.
pub(crate) fn filler(label: &str, bytes: usize) -> String {
    let digest = blake3::hash(label.as_bytes());
    let (seed, _) = digest.as_bytes().split_at(8);
    let seed = seed
        .iter()
        .fold(0, |seed, byte| (seed << 8) | u64::from(*byte));
    let mut text = String::with_capacity(bytes + 16);
    let mut index = 0;
    while text.len() < bytes {
        text.push_str(&token_text(seed, index));
        index += 1;
    }
    text.truncate(bytes);
    text
}

pub(crate) fn message(role: &str, content: String) -> Message {
    Message {
        role: role.to_owned(),
        content,
    }
}

fn draw_weighted(random: &mut Pcg64, weights: &[f64]) -> usize {
    let mut remaining = random.random::<f64>() * weights.iter().sum::<f64>();
    for (index, weight) in weights.iter().enumerate() {
        remaining -= weight;
        if remaining < 0.0 {
            return index;
        }
    }
    weights.len() - 1
}

fn draw_zipf_rank(random: &mut Pcg64) -> usize {
    let weight = |rank: u32| f64::from(rank + 1).powf(-ZIPF_EXPONENT);
    let weights: Vec<f64> = (0..).take(DOCUMENTS).map(weight).collect();
    draw_weighted(random, &weights)
}

/// Returns whether the request is urgent.
pub(crate) fn is_urgent(deployment: &Deployment, arrival: &Arrival) -> bool {
    deployment.kinds[arrival.kind].urgency == Urgency::Urgent
}

#[cfg(test)]
mod tests;
