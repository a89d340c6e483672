//! Tests that slow servers are told from busy ones.

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

// Guards against a slow server that is never ejected because no answer runs that would show its pace.
#[test]
fn late_first_tokens_eject_without_a_pace_sample() {
    assert!(late_first_tokens().should_eject(NOW, PEERS));
}

// Guards against the ejection of busy servers. At a peak, prompts of other daemons delay first tokens on healthy
// servers, and ejecting these moved requests away from their prefixes.
#[test]
fn a_usual_pace_prevents_ejection() {
    let mut health = late_first_tokens();
    run_tokens(&mut health, 1.0);
    assert!(!health.should_eject(NOW, PEERS));
    assert!(health.slowness(NOW) < 1.1);
}

// Guards against a slow server that running answers keep from being ejected although they are slow, too.
#[test]
fn a_slow_pace_does_not_prevent_ejection() {
    let mut health = late_first_tokens();
    run_tokens(&mut health, 8.0);
    assert!(health.should_eject(NOW, PEERS));
}

// Guards against an outdated pace sample that keeps a slow server from being ejected.
#[test]
fn an_old_pace_does_not_prevent_ejection() {
    let mut health = late_first_tokens();
    run_tokens(&mut health, 1.0);
    let later = NOW + MAX_PACE_AGE;
    for _ in 0..KEPT_SAMPLES {
        health.observe(later, 2.0 * EJECT_ABOVE);
    }
    assert!(health.should_eject(later, PEERS));
}
