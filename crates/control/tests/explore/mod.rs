//! Depth-first search through every reachable state of a model.

use std::{
    collections::HashSet,
    fmt::Debug,
    hash::{DefaultHasher, Hash, Hasher},
};

pub trait World: Clone + Hash {
    type Event: Clone + Debug;

    /// Everything that may happen next.
    fn events(&self) -> Vec<Self::Event>;

    /// The state after an event.
    fn after(&self, event: &Self::Event) -> Self;

    /// The property that this state violates.
    fn violation(&self) -> Option<String>;
}

#[derive(Debug)]
pub struct Violation {
    pub property: String,
    pub trace: Vec<String>,
}

/// Visits every state once and returns their number, or the first violation.
pub fn explore<W: World>(start: &W) -> Result<usize, Violation> {
    let mut seen = HashSet::new();
    let mut path: Vec<W::Event> = Vec::new();
    let mut stack = vec![(start.clone(), start.events())];
    seen.insert(digest(start));
    while let Some((world, events)) = stack.last_mut() {
        let Some(event) = events.pop() else {
            stack.pop();
            path.pop();
            continue;
        };
        let next = world.after(&event);
        if !seen.insert(digest(&next)) {
            continue;
        }
        path.push(event);
        if let Some(property) = next.violation() {
            let trace = path.iter().map(|event| format!("{event:?}")).collect();
            return Err(Violation { property, trace });
        }
        let events = next.events();
        stack.push((next, events));
    }
    Ok(seen.len())
}

/// States are told apart by 64-bit hashes; among a million states a collision has a probability under 1e-7.
fn digest(world: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    world.hash(&mut hasher);
    hasher.finish()
}
