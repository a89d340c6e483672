//! Guards the difference between a slow server and a busy one.

use std::time::Duration;

use super::{EJECT_ABOVE, Health, KEPT_PACES, KEPT_SAMPLES, MAX_PACE_AGE, PACE_TOKENS};

const NOW: Duration = Duration::from_secs(10);
const USUAL: f64 = 0.01;
const PEERS: f64 = 1.0;

fn late_first_tokens() -> Health {
    let mut health = Health::new();
    for _ in 0..KEPT_SAMPLES {
        health.observe(NOW, 2.0 * EJECT_ABOVE);
    }
    health
}

fn run_tokens(health: &mut Health, times_usual: f64) {
    for _ in 0..KEPT_PACES * PACE_TOKENS as usize {
        health.observe_tokens(NOW, 1, times_usual * USUAL, USUAL);
    }
}

#[test]
fn late_first_tokens_alone_eject_when_no_answer_runs() {
    assert!(late_first_tokens().should_eject(NOW, PEERS));
}

// At a peak, prompts of other daemons delay first tokens on healthy servers, and ejecting those moved requests away from
// their prefixes.
#[test]
fn a_usual_pace_excuses_late_first_tokens() {
    let mut health = late_first_tokens();
    run_tokens(&mut health, 1.0);
    assert!(!health.should_eject(NOW, PEERS));
    assert!(health.slowness(NOW) < 1.1);
}

#[test]
fn a_slow_pace_confirms_late_first_tokens() {
    let mut health = late_first_tokens();
    run_tokens(&mut health, 8.0);
    assert!(health.should_eject(NOW, PEERS));
}

#[test]
fn an_old_pace_excuses_nothing() {
    let mut health = late_first_tokens();
    run_tokens(&mut health, 1.0);
    let later = NOW + MAX_PACE_AGE;
    for _ in 0..KEPT_SAMPLES {
        health.observe(later, 2.0 * EJECT_ABOVE);
    }
    assert!(health.should_eject(later, PEERS));
}
