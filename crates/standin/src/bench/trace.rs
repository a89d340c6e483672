//! The seeded load: what arrives when, fixed before any policy runs, so that all policies get the same.

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

/// Factor between the crest of a swing and quiet times.
const SWING: u32 = 5;
/// Share of jobs that are 30 times longer than the mean of the others.
const LONG_SHARE: f64 = 0.02;
const DOCUMENTS: usize = 24;
const DOCUMENT_BYTES: usize = 8 * BLOCK_BYTES;
const SYSTEM_BYTES: usize = 2 * BLOCK_BYTES;
/// A long job reads this many documents.
const LONG_DOCUMENTS: usize = 4;
const ZIPF_EXPONENT: f64 = 1.1;
/// Documents by which the popularity ranks rotate when the hot set shifts.
const SHIFT: usize = 7;
const MAX_TURNS: usize = 4;
/// A caller reads an answer before the next turn.
const THINK: Duration = Duration::from_millis(1200);
const OPEN_CONVERSATIONS: usize = 64;
const KIND_LONG: usize = 3;

/// Windows of a run. Each starts where the one before it ends. The quiet windows follow each other without a crest,
/// a crash or a shift between them, so that they differ in what their names say only.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Window {
    /// Not measured, but for the tokens.
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

/// Windows and their ends in milliseconds.
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

/// Long work arrives until this long after its window has started; it runs for seconds.
const LONG_ARRIVALS: Duration = Duration::from_millis(2500);

/// One arrival.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    pub(crate) at: Duration,
    pub(crate) window: Window,
    /// Index into the deployment's kinds.
    pub(crate) kind: usize,
    pub(crate) team: usize,
    pub(crate) body: Bytes,
    /// Hash of the prompt, by which engine records are matched.
    pub(crate) prompt: u64,
    /// Prompt tokens that an unbounded cache of the whole deployment would hold.
    pub(crate) known_tokens: u32,
}

impl Arrival {
    pub(crate) fn is_long(&self) -> bool {
        self.kind == KIND_LONG
    }
}

impl Window {
    pub(crate) fn at(time: Duration) -> Self {
        let inside = WINDOWS
            .iter()
            .find(|(_, end)| time < Duration::from_millis(*end));
        inside.map_or(Self::Tail, |(window, _)| *window)
    }

    /// Start and end.
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
    ready: Duration,
}

struct Generator<'a> {
    deployment: &'a Deployment,
    random: Pcg64,
    conversations: Vec<Conversation>,
    cached: HashSet<u64>,
    serial: u64,
}

/// Makes the load of a deployment; `quiet_rate` is the requests a second outside the crests.
pub(crate) fn generate(deployment: &Deployment, seed: u64, quiet_rate: f64) -> Vec<Arrival> {
    let mut generator = Generator {
        deployment,
        random: Pcg64::seed_from_u64(seed),
        conversations: Vec::new(),
        cached: HashSet::new(),
        serial: seed << 32,
    };
    let times = generator.times(quiet_rate);
    times
        .into_iter()
        .map(|(at, long)| generator.arrival(at, long))
        .collect()
}

impl Generator<'_> {
    /// Arrival times and whether the arrival is long, in order.
    fn times(&mut self, quiet_rate: f64) -> Vec<(Duration, bool)> {
        let end = Duration::from_millis(WINDOWS[WINDOWS.len() - 1].1);
        let mut times = Vec::new();
        let mut at = Duration::ZERO;
        loop {
            let factor = if Window::at(at).is_crest() { SWING } else { 1 };
            let rate = quiet_rate * f64::from(factor);
            // Exponential gaps: callers do not wait for each other.
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
        // Long work starts after the first windows, so that these show the time without it.
        let (from, _) = Window::Long.bounds();
        for index in 0..long {
            times.push((from + LONG_ARRIVALS * index / long, true));
        }
        times.sort_by_key(|(at, _)| *at);
        times
    }

    fn arrival(&mut self, at: Duration, long: bool) -> Arrival {
        self.serial += 1;
        let kind = if long { KIND_LONG } else { self.kind() };
        let continued = !long && self.random.random_bool(0.4);
        let open = continued.then(|| self.conversations.iter().position(|open| open.ready <= at));
        let mut conversation = match open.flatten() {
            Some(index) => self.conversations.swap_remove(index),
            None => self.open(at, if long { LONG_DOCUMENTS } else { 1 }),
        };
        let question = filler(&format!("question {}", self.serial), 160);
        conversation.messages.push(message("user", question));
        let tokens = self.deployment.kinds[kind].tokens;
        let mut arrival = self.measure(&conversation, tokens);
        arrival.at = at;
        arrival.window = Window::at(at);
        arrival.kind = kind;
        let answer = answer_text(arrival.prompt, tokens);
        conversation.messages.push(message("assistant", answer));
        conversation.ready = at + THINK;
        if !long && conversation.messages.len() < 2 + 2 * MAX_TURNS {
            self.conversations.push(conversation);
        }
        if self.conversations.len() > OPEN_CONVERSATIONS {
            self.conversations.remove(0);
        }
        arrival
    }

    /// Half of the short requests are urgent.
    fn kind(&mut self) -> usize {
        match self.random.random_range(0..4) {
            0 => 0,
            1 => 1,
            _ => 2,
        }
    }

    fn open(&mut self, at: Duration, documents: usize) -> Conversation {
        let team = pick(&mut self.random, &Deployment::team_weights().map(f64::from));
        let shifted = if at >= Window::Settle.bounds().0 {
            SHIFT
        } else {
            0
        };
        let mut messages = vec![message(
            "system",
            filler(&format!("system {team}"), SYSTEM_BYTES),
        )];
        for _ in 0..documents {
            let rank = zipf(&mut self.random);
            let document = (rank + shifted) % DOCUMENTS;
            let text = filler(&format!("document {team} {document}"), DOCUMENT_BYTES);
            messages.push(message("user", text));
        }
        Conversation {
            team,
            messages,
            ready: at,
        }
    }

    fn measure(&mut self, conversation: &Conversation, tokens: u32) -> Arrival {
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

/// Deterministic text of a length; different labels give different texts.
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

fn pick(random: &mut Pcg64, weights: &[f64]) -> usize {
    let mut left = random.random::<f64>() * weights.iter().sum::<f64>();
    for (index, weight) in weights.iter().enumerate() {
        left -= weight;
        if left < 0.0 {
            return index;
        }
    }
    weights.len() - 1
}

fn zipf(random: &mut Pcg64) -> usize {
    let weight = |rank: u32| f64::from(rank + 1).powf(-ZIPF_EXPONENT);
    let weights: Vec<f64> = (0..).take(DOCUMENTS).map(weight).collect();
    pick(random, &weights)
}

/// Whether a kind is urgent.
pub(crate) fn is_urgent(deployment: &Deployment, arrival: &Arrival) -> bool {
    deployment.kinds[arrival.kind].urgency == Urgency::Urgent
}

#[cfg(test)]
mod tests;
