use jaystand_standin::fleet::Deployment;

use super::{Arrival, LONG_SHARE, Window, generate};
use crate::bench::measure::count_as_f64;

const RATE: f64 = 80.0;

fn load(seed: u64) -> Vec<Arrival> {
    generate(&Deployment::tanekaha(), seed, RATE)
}

/// Guards against comparing policies under different loads, if a seed gives more than one load.
#[test]
fn a_seed_gives_one_load() {
    let bodies = |seed| {
        load(seed)
            .into_iter()
            .map(|arrival| (arrival.at, arrival.body))
    };
    assert!(bodies(1).eq(bodies(1)));
    assert!(!bodies(1).eq(bodies(2)));
}

/// Guards against a load without the crests or the long work that the measures depend on.
#[test]
fn crests_have_five_times_the_load_and_two_percent_of_it_is_long() {
    let load = load(1);
    let rate = |window: Window| {
        let (from, until) = window.bounds();
        let inside = load.iter().filter(|arrival| arrival.window == window);
        count_as_f64(inside.count()) / until.saturating_sub(from).as_secs_f64()
    };
    let crest_factor = rate(Window::FirstCrest) / rate(Window::Clean);
    assert!((4.0..6.5).contains(&crest_factor), "{crest_factor}");
    let long = load.iter().filter(|arrival| arrival.is_long()).count();
    let share = count_as_f64(long) / count_as_f64(load.len());
    assert!((share - LONG_SHARE).abs() < 0.002, "{share}");
    let early = load
        .iter()
        .filter(|arrival| arrival.is_long() && arrival.window < Window::Long);
    assert_eq!(
        early.count(),
        0,
        "the clean window must be free of long work"
    );
}

/// Guards against an oracle cache that holds a prompt before its first use, or holds none at all.
#[test]
fn the_oracle_cache_holds_earlier_prompts() {
    let load = load(1);
    assert_eq!(load[0].known_tokens, 0);
    let known: u32 = load.iter().map(|arrival| arrival.known_tokens).sum();
    assert!(known / u32::try_from(load.len()).unwrap() > 1500, "{known}");
}
