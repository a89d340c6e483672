//! The scenario language. A scenario is a text file with one statement per line; `#` starts a comment.
//!
//! ```text
//! set servers 10                       a parameter of the simulation, see `World::parameter`
//! policy least-loaded                  the strategy of all daemons; `unseparated` is jaystand without the limit
//!                                      on long requests
//! traffic chat urgent repeatable rate=50 prompts=4 system=2000 turn=200 answer=50 deadline=20s
//! at 5s crash s3                       an event, see `World::apply_script_line`
//! run 20s                              submissions end here; running requests then end
//! expect answered chat >= 99%          a bound on a measure, over a window when `between A B` is given
//! expect first_token_p99 chat between 5s 10s <= 1.5x between 0s 5s
//! expect first_token_p99 chat <= 0.5x of least-loaded
//! ```

use std::time::Duration;

/// The words of all lines of a scenario.
pub struct Script {
    pub lines: Vec<Vec<String>>,
}

/// A measure of one traffic within a window of submission times.
#[derive(Clone, Debug)]
pub struct Measure {
    pub name: String,
    pub subject: String,
    pub window: (Duration, Duration),
}

/// The bound of a measure.
pub enum Bound {
    Value(f64),
    /// A factor of the same measure in another window or under another policy.
    Factor(f64, Measure, Option<String>),
}

/// An `expect` line.
pub struct Expectation {
    pub measure: Measure,
    pub at_most: bool,
    pub bound: Bound,
}

impl Script {
    pub fn parse(text: &str) -> Self {
        let lines = text
            .lines()
            .map(|line| line.split('#').next().unwrap_or(""));
        let words = lines.map(|line| line.split_whitespace().map(str::to_owned).collect());
        Self {
            lines: words
                .filter(|words: &Vec<String>| !words.is_empty())
                .collect(),
        }
    }

    /// Returns the further words of all lines that start with this word.
    pub fn starting_with<'a>(&'a self, word: &'a str) -> impl Iterator<Item = &'a [String]> {
        self.lines
            .iter()
            .filter(move |l| l[0] == word)
            .map(|l| &l[1..])
    }

    pub fn expectations(&self) -> Vec<Expectation> {
        self.starting_with("expect").map(expectation).collect()
    }
}

pub fn duration(text: &str) -> Duration {
    let (number, unit) = text.split_at(text.find(|c: char| c.is_alphabetic()).expect("a unit"));
    let number: f64 = number.parse().expect("a number");
    match unit {
        "ms" => Duration::from_secs_f64(number / 1_000.0),
        "s" => Duration::from_secs_f64(number),
        _ => panic!("unknown unit in {text}"),
    }
}

/// Parses a number, a percentage, or a duration, which becomes seconds.
fn value(text: &str) -> f64 {
    if let Some(percent) = text.strip_suffix('%') {
        return percent.parse::<f64>().expect("a number") / 100.0;
    }
    text.parse()
        .unwrap_or_else(|_| duration(text).as_secs_f64())
}

fn window(words: &[String]) -> Option<(Duration, Duration)> {
    let start = words.iter().position(|word| word == "between")?;
    Some((duration(&words[start + 1]), duration(&words[start + 2])))
}

fn expectation(words: &[String]) -> Expectation {
    let operator = words
        .iter()
        .position(|w| w == "<=" || w == ">=")
        .expect("an operator");
    let (left, right) = (&words[..operator], &words[operator + 1..]);
    let measure = Measure {
        name: left[0].clone(),
        subject: left[1].clone(),
        window: window(left).unwrap_or((Duration::ZERO, Duration::MAX)),
    };
    let bound = match right[0].strip_suffix('x') {
        Some(factor) => {
            let other = Measure {
                window: window(right).unwrap_or(measure.window),
                ..measure.clone()
            };
            let policy = right
                .iter()
                .position(|word| word == "of")
                .map(|at| right[at + 1].clone());
            Bound::Factor(factor.parse().expect("a factor"), other, policy)
        }
        None => Bound::Value(value(&right[0])),
    };
    Expectation {
        measure,
        at_most: words[operator] == "<=",
        bound,
    }
}
