//! The report of a run: figures as JSON, and a plot.

use std::{collections::BTreeMap, error::Error, path::Path, time::Duration};

use plotters::prelude::*;
use serde::Serialize;

use crate::{
    check::{Breach, Checker, End},
    plan::Event,
};

const PLOT_SIZE_PIXELS: (u32, u32) = (1_200, 500);

/// The figures of a run.
#[derive(Debug, Serialize)]
pub struct Figures {
    /// Seed of the faults.
    pub seed: u64,
    /// Numbers of requests by how they ended.
    pub ends: BTreeMap<String, usize>,
    /// Faults of the run, each with its start and its duration.
    pub faults: Vec<String>,
    /// Broken promises, with what was seen.
    pub breaches: Vec<(String, String)>,
}

impl Figures {
    /// Summarizes a run.
    #[must_use]
    pub fn new(seed: u64, checker: &Checker, events: &[Event], breaches: &[Breach]) -> Self {
        let mut ends: BTreeMap<String, usize> = BTreeMap::new();
        for (_, end) in checker.requests() {
            *ends.entry(end_name(end)).or_default() += 1;
        }
        let fault = |event: &Event| {
            format!(
                "{:.1} s, {:.1} s: {:?}",
                event.start.as_secs_f64(),
                event.duration.as_secs_f64(),
                event.fault
            )
        };
        let breach = |breach: &Breach| (breach.promise.to_owned(), breach.seen.clone());
        Self {
            seed,
            ends,
            faults: events.iter().map(fault).collect(),
            breaches: breaches.iter().map(breach).collect(),
        }
    }
}

fn end_name(end: Option<&End>) -> String {
    match end {
        Some(End::Answer {
            status: 200,
            complete: false,
            ..
        }) => "200, broken off".to_owned(),
        Some(End::Answer { status, .. }) => status.to_string(),
        Some(End::Closed) => "closed".to_owned(),
        Some(End::Silent) => "silent".to_owned(),
        None => "not ended".to_owned(),
    }
}

/// Draws the numbers of served and of other requests in each second, with the times of the faults.
///
/// # Errors
/// Fails when the file cannot be written.
pub fn draw_plot(
    path: &Path,
    checker: &Checker,
    events: &[Event],
    length: Duration,
) -> Result<(), Box<dyn Error>> {
    let mut seconds: BTreeMap<u64, (u32, u32)> = BTreeMap::new();
    for (sent, end) in checker.requests().filter(|(sent, _)| sent.sent_at < length) {
        let second = seconds.entry(sent.sent_at.as_secs()).or_default();
        if end_name(end) == "200" {
            second.0 += 1;
        } else {
            second.1 += 1;
        }
    }
    let max_requests = seconds
        .values()
        .map(|(served, other)| served + other)
        .max()
        .unwrap_or(1);
    let root = SVGBackend::new(path, PLOT_SIZE_PIXELS).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(
            "requests a second: served whole (blue), ended otherwise (red); faults (grey)",
            ("sans-serif", 18),
        )
        .margin(8)
        .x_label_area_size(30)
        .y_label_area_size(40)
        .build_cartesian_2d(0.0..length.as_secs_f64(), 0..max_requests + 1)?;
    chart.configure_mesh().disable_mesh().draw()?;
    for event in events {
        let ends = (event.start + event.duration).as_secs_f64();
        let span = [(event.start.as_secs_f64(), 0), (ends, max_requests)];
        chart.draw_series([Rectangle::new(span, BLACK.mix(0.07).filled())])?;
    }
    let middle = |second: &u64| f64::from(u32::try_from(*second).unwrap_or(u32::MAX)) + 0.5;
    let served = seconds
        .iter()
        .map(|(second, counts)| (middle(second), counts.0));
    chart.draw_series(LineSeries::new(served, &BLUE))?;
    let other = seconds
        .iter()
        .map(|(second, counts)| (middle(second), counts.1));
    chart.draw_series(LineSeries::new(other, &RED))?;
    root.present()?;
    Ok(())
}
