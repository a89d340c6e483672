//! `compare`: runs each policy under the same seeded load.

use std::{collections::BTreeMap, fs, io, path::PathBuf, sync::Arc, time::Instant};

use clap::Args;
use jaystand_standin::fleet::Deployment;
use serde::Serialize;
use serde_json::json;

use super::{
    measure::{DEFINITIONS, Figures, MEASURES, Spread, figures, spread},
    plot, run, trace,
};

/// Routing policies; the router's default policy first.
pub(crate) const POLICIES: [&str; 4] = ["jaystand", "hash-only", "least-loaded", "round-robin"];
/// Requests per second and engine outside the crests.
const QUIET_RATE_PER_ENGINE: f64 = 4.0;

/// Compares routing policies.
#[derive(Debug, Args)]
pub(crate) struct Options {
    /// `tanekaha` or `cumbre`.
    #[arg(long, default_value = "tanekaha")]
    deployment: String,
    /// First seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many seeds; the table shows the median over them.
    #[arg(long, default_value_t = 3)]
    seeds: u64,
    /// Policies to run, separated by commas.
    #[arg(long, value_delimiter = ',')]
    policies: Option<Vec<String>>,
    /// Factor on the load.
    #[arg(long, default_value_t = 1.0)]
    load: f64,
    /// Writes the figures of every run.
    #[arg(long)]
    json: Option<PathBuf>,
    /// Writes a plot (SVG).
    #[arg(long)]
    plot: Option<PathBuf>,
}

/// All runs of one policy.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Series {
    pub(crate) policy: String,
    pub(crate) runs: Vec<Figures>,
}

impl Series {
    pub(crate) fn spread(&self, read: fn(&Figures) -> f64) -> Spread {
        spread(self.runs.iter().map(read))
    }
}

pub(crate) async fn compare(options: Options) -> io::Result<bool> {
    let Some(deployment) = Deployment::named(&options.deployment) else {
        let message = format!(
            "unknown deployment `{}`; use tanekaha or cumbre",
            options.deployment
        );
        return Err(io::Error::new(io::ErrorKind::InvalidInput, message));
    };
    let policies = options.policies.clone();
    let policies = policies.unwrap_or_else(|| POLICIES.map(str::to_owned).to_vec());
    let mut series: Vec<Series> = policies
        .into_iter()
        .map(|policy| Series {
            policy,
            runs: Vec::new(),
        })
        .collect();
    let rate =
        QUIET_RATE_PER_ENGINE * super::measure::count_as_f64(deployment.engines) * options.load;
    for seed in options.seed..options.seed + options.seeds {
        let trace: Arc<[trace::Arrival]> = trace::generate(&deployment, seed, rate).into();
        // Seeds are the outer loop, so that changes in the machine's other load affect all policies alike.
        for series in &mut series {
            let started = Instant::now();
            let outcome = run::run(&deployment, &series.policy, seed, &trace).await?;
            let figures = figures(&deployment, &trace, &outcome);
            eprintln!(
                "seed {seed} {:<13} {} requests, {:.1} s, planned stop of a daemon {}",
                series.policy,
                trace.len(),
                started.elapsed().as_secs_f64(),
                if outcome.restarted {
                    "ended in time"
                } else {
                    "did not end in time"
                },
            );
            let codes = error_codes(&trace, &outcome);
            if !codes.is_empty() {
                eprintln!("  error codes: {codes:?}");
            }
            series.runs.push(figures);
        }
    }
    print_table(&deployment, &options, &series);
    if let Some(path) = &options.json {
        let report = json!({"deployment": deployment.name, "seed": options.seed, "series": series});
        fs::write(path, serde_json::to_vec_pretty(&report)?)?;
    }
    if let Some(path) = &options.plot {
        plot::draw(path, deployment.name, &series).map_err(io::Error::other)?;
    }
    Ok(true)
}

/// Counts the answers by window and error code.
fn error_codes(trace: &[trace::Arrival], outcome: &run::Outcome) -> BTreeMap<String, u32> {
    let mut codes = BTreeMap::new();
    for (arrival, answer) in trace.iter().zip(&outcome.answers) {
        let code = answer
            .as_ref()
            .map_or("unfinished", |answer| &answer.error_code);
        if !code.is_empty() {
            *codes
                .entry(format!("{:?} {code}", arrival.window))
                .or_default() += 1;
        }
    }
    codes
}

fn print_table(deployment: &Deployment, options: &Options, series: &[Series]) {
    let last = options.seed + options.seeds.saturating_sub(1);
    println!(
        "{}: {} engines, {} daemons, seeds {}..={last}; median [least, greatest] over the seeds",
        deployment.name,
        deployment.engines,
        run::DAEMONS,
        options.seed,
    );
    print!("{:<21}", "");
    for series in series {
        print!(" {:>24}", series.policy);
    }
    println!();
    for measure in MEASURES {
        print!("{:<21}", measure.name);
        for series in series {
            let Spread {
                median,
                least,
                greatest,
            } = series.spread(measure.read);
            let decimals = measure.decimals;
            let cell = format!("{median:.decimals$} [{least:.decimals$}, {greatest:.decimals$}]");
            print!(" {cell:>24}");
        }
        println!();
    }
    println!();
    for (name, text) in DEFINITIONS {
        println!("{name}: {text}");
    }
}
