//! The plot of a comparison: urgent first-token p99 over time, and bars of the main measures.

use std::{error::Error, ops::Range, path::Path};

use plotters::prelude::*;

use super::{
    compare::Series,
    measure::{Figures, count_as_f64, spread},
    trace::{WINDOWS, Window},
};

type Outcome<T> = Result<T, Box<dyn Error + Send + Sync>>;
type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

const SIZE: (u32, u32) = (1200, 900);
const COLOURS: [RGBColor; 4] = [
    RGBColor(0, 90, 160),
    RGBColor(220, 130, 20),
    RGBColor(90, 150, 60),
    RGBColor(170, 60, 60),
];
/// Length of a time slice of `p99_by_time_ms`, in seconds.
const SLICE_S: f64 = 0.5;

struct Panel {
    title: &'static str,
    read: fn(&Figures) -> f64,
}

const PANELS: [Panel; 6] = [
    Panel {
        title: "hit rate, share of oracle",
        read: |figures| figures.hit_of_oracle,
    },
    Panel {
        title: "wasted ktokens",
        read: |figures| figures.wasted_ktokens,
    },
    Panel {
        title: "crest goodput",
        read: |figures| figures.crest_goodput,
    },
    Panel {
        title: "urgent p99 at the crest, ms",
        read: |figures| figures.crest_p99_ms,
    },
    Panel {
        title: "head-of-line, ms",
        read: |figures| figures.head_of_line_ms,
    },
    Panel {
        title: "slowed / not slowed p99",
        read: |figures| figures.slowed_ratio,
    },
];

/// Draws a comparison into an SVG file.
pub(crate) fn draw(path: &Path, deployment: &str, series: &[Series]) -> Outcome<()> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let (top, bottom) = root.split_vertically(SIZE.1 * 2 / 5);
    draw_p99_by_time(&top, deployment, series)?;
    for (area, panel) in bottom.split_evenly((2, 3)).iter().zip(&PANELS) {
        draw_bars(area, panel, series)?;
    }
    root.present()?;
    Ok(())
}

fn draw_p99_by_time(area: &Area<'_>, deployment: &str, series: &[Series]) -> Outcome<()> {
    let end = Window::Tail.bounds().1.as_secs_f64();
    let peak = series.iter().flat_map(|series| &series.runs);
    let peak = peak
        .flat_map(|run| &run.p99_by_time_ms)
        .fold(1.0, |peak: f64, value| peak.max(*value));
    let caption =
        format!("{deployment}: urgent first-token p99 in ms by time in s, median of the seeds");
    let mut chart = ChartBuilder::on(area)
        .caption(caption, ("sans-serif", 18))
        .margin(8)
        .x_label_area_size(28)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..end, 0.0..peak * 1.05)?;
    chart.configure_mesh().draw()?;
    for (window, _) in WINDOWS {
        let (from, until) = window.bounds();
        if window.is_crest() {
            let corners = [
                (from.as_secs_f64(), 0.0),
                (until.as_secs_f64(), peak * 1.05),
            ];
            chart.draw_series([Rectangle::new(corners, BLACK.mix(0.08).filled())])?;
        }
    }
    for (series, colour) in series.iter().zip(COLOURS) {
        let slices = series
            .runs
            .first()
            .map_or(0, |run| run.p99_by_time_ms.len());
        let points = (0..slices).map(|slice| {
            let values = series
                .runs
                .iter()
                .filter_map(|run| run.p99_by_time_ms.get(slice));
            (
                (count_as_f64(slice) + 0.5) * SLICE_S,
                spread(values.copied()).median,
            )
        });
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
            .label(&series.policy)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .border_style(BLACK)
        .background_style(WHITE.mix(0.8))
        .draw()?;
    Ok(())
}

fn draw_bars(area: &Area<'_>, panel: &Panel, series: &[Series]) -> Outcome<()> {
    let spreads: Vec<_> = series
        .iter()
        .map(|series| series.spread(panel.read))
        .collect();
    let greatest = spreads
        .iter()
        .fold(0.001, |peak: f64, spread| peak.max(spread.greatest));
    let least = spreads
        .iter()
        .fold(0.0, |low: f64, spread| low.min(spread.least));
    let range: Range<f64> = least * 1.1..greatest * 1.1;
    let mut chart = ChartBuilder::on(area)
        .caption(panel.title, ("sans-serif", 15))
        .margin(8)
        .x_label_area_size(8)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..count_as_f64(series.len()), range)?;
    chart.configure_mesh().disable_x_mesh().x_labels(0).draw()?;
    for ((index, spread), colour) in spreads.iter().enumerate().zip(COLOURS) {
        let left = count_as_f64(index);
        let corners = [(left + 0.15, 0.0), (left + 0.85, spread.median)];
        chart.draw_series([Rectangle::new(corners, colour.filled())])?;
        let whisker = [(left + 0.5, spread.least), (left + 0.5, spread.greatest)];
        chart.draw_series([PathElement::new(whisker, BLACK.stroke_width(1))])?;
    }
    Ok(())
}
