//! Scripted scenarios. The head of each file in `scenarios/` states the failure that it guards against.
//!
//! `JAYSTAND_MEASURES=jaystand,round-robin` prints every measure of every traffic under these policies, and
//! `JAYSTAND_SEED=2` runs with another seed.
#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    clippy::format_push_string,
    clippy::wildcard_imports,
    reason = "all numbers of the simulation are small"
)]

mod world;

use std::{path::Path, sync::Arc};

use world::{
    World,
    script::{Bound, Expectation, Script},
};

fn check_expectation(
    script: &Arc<Script>,
    world: &World,
    expectation: &Expectation,
) -> Result<String, String> {
    let measured = world.measure(&expectation.measure);
    let bound = match &expectation.bound {
        Bound::Value(value) => *value,
        Bound::Factor(factor, measure, None) => factor * world.measure(measure),
        Bound::Factor(factor, measure, Some(policy)) => {
            factor * World::run(script, Some(policy)).measure(measure)
        }
    };
    let holds = if expectation.at_most {
        measured <= bound
    } else {
        measured >= bound
    };
    let sign = if expectation.at_most { "<=" } else { ">=" };
    let text = format!(
        "{:?}: measured {measured:.4} {sign} {bound:.4}",
        expectation.measure
    );
    if holds { Ok(text) } else { Err(text) }
}

fn run_scenario(name: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/scenarios")
        .join(name);
    let text = std::fs::read_to_string(path.with_extension("scn")).expect("the scenario file");
    let script = Arc::new(Script::parse(&text));
    let world = World::run(&script, None);
    let results = script
        .expectations()
        .into_iter()
        .map(|e| check_expectation(&script, &world, &e));
    let (met, missed): (Vec<_>, Vec<_>) = results.partition(Result::is_ok);
    if let Ok(policies) = std::env::var("JAYSTAND_MEASURES") {
        println!("{name}: {met:#?}");
        for policy in policies.split(',') {
            println!(
                "{name} {policy}\n{}",
                World::run(&script, Some(policy)).summary()
            );
        }
    }
    assert!(missed.is_empty(), "{name}: {missed:#?}");
}

macro_rules! scenarios {
    ($($name:ident)+) => {
        $(#[test]
        fn $name() {
            run_scenario(stringify!($name));
        })+

        /// Guards against a scenario file that no test runs.
        #[test]
        fn every_file_is_run() {
            let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
            let files = std::fs::read_dir(folder).expect("the folder").count();
            assert_eq!(files, [$(stringify!($name)),+].len());
        }
    };
}

scenarios! {
    engine_crash
    silent_connection
    slow_server
    herd_restart
    data_centre_cut
    leaving_server
    demand_swing
    long_beside_urgent
    hot_prefix_shift
    hot_prompt_spread
    lagging_reports
    crash_and_restart
    cut_and_shift
    slow_and_lagging
    swing_and_slow
}
