//! Scripted scenarios: each file in `scenarios/` names the failure that it guards against.
//!
//! `JAYSTAND_MEASURES=jaystand,round-robin` prints every measure of every traffic under these policies,
//! `JAYSTAND_SEED=2` takes another seed.
#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    clippy::format_push_string,
    clippy::wildcard_imports,
    reason = "small figures of a test world"
)]

mod world;

use std::{path::Path, sync::Arc};

use world::{
    World,
    script::{Bound, Expectation, Script},
};

fn check(script: &Arc<Script>, world: &World, expectation: &Expectation) -> Result<String, String> {
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

fn run(name: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/scenarios")
        .join(name);
    let text = std::fs::read_to_string(path.with_extension("scn")).expect("the scenario file");
    let script = Arc::new(Script::parse(&text));
    let world = World::run(&script, None);
    let results = script
        .expectations()
        .into_iter()
        .map(|e| check(&script, &world, &e));
    let (kept, broken): (Vec<_>, Vec<_>) = results.partition(Result::is_ok);
    if let Ok(policies) = std::env::var("JAYSTAND_MEASURES") {
        println!("{name}: {kept:#?}");
        for policy in policies.split(',') {
            println!(
                "{name} {policy}\n{}",
                World::run(&script, Some(policy)).summary()
            );
        }
    }
    assert!(broken.is_empty(), "{name}: {broken:#?}");
}

macro_rules! scenarios {
    ($($name:ident)+) => {
        $(#[test]
        fn $name() {
            run(stringify!($name));
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
