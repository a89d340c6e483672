//! Depth-first search through all reachable states of a model.

use std::{
    collections::HashSet,
    fmt::Debug,
    hash::{DefaultHasher, Hash, Hasher},
};

/// A state of a model, with the events that may follow.
pub trait World: Clone + Hash {
    type Event: Clone + Debug;

    /// Returns every event that may happen next.
    fn events(&self) -> Vec<Self::Event>;

    /// Returns the state after an event.
    fn after(&self, event: &Self::Event) -> Self;

    /// Returns the property that this state violates, if any.
    fn violation(&self) -> Option<String>;
}

/// A violated property, and the events that lead to the violation.
#[derive(Debug)]
pub struct Violation {
    pub property: String,
    pub trace: Vec<String>,
}

/// Visits every reachable state once and returns the number of states, or the first violation.
pub fn explore<W: World>(start: &W) -> Result<usize, Violation> {
    let mut seen = HashSet::new();
    let mut path: Vec<W::Event> = Vec::new();
    let mut stack = vec![(start.clone(), start.events())];
    seen.insert(hash_state(start));
    while let Some((world, events)) = stack.last_mut() {
        let Some(event) = events.pop() else {
            stack.pop();
            path.pop();
            continue;
        };
        let next = world.after(&event);
        if !seen.insert(hash_state(&next)) {
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

/// Returns the 64-bit hash by which states are distinguished. Among a million states a collision has a probability
/// under 1e-7.
fn hash_state(world: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    world.hash(&mut hasher);
    hasher.finish()
}
