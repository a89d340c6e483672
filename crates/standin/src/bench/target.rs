//! Figures of `control` at the target size, compared with their bounds.

use std::{fmt, io::Write as _, net::SocketAddr};

use flate2::{Compression, write::DeflateEncoder};
use serde::Serialize;

use super::control::{BASE_SHAPE, Point, Shape, count_as_f64, document};

/// The target size: daemons of one region, servers and teams of the whole directory, and 1,100 sheet changes a day.
const TARGET_SHAPE: Shape = Shape {
    daemons: 72,
    servers: 1_200,
    teams: 320,
    changes_per_s: 0.012_7,
};

const MAX_BYTES_PER_S: f64 = 5_000.0;
const MAX_CORE_PERCENT: f64 = 3.5;
const MAX_RESIDENT_MIB: f64 = 256.0;
const MAX_IN_FORCE_S: f64 = 8.0;

/// Figures of a daemon at the target size.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct Summary {
    /// Bytes sent and received: gossip as measured in a region of the target size, and copies for the sheet changes.
    bytes_per_s: f64,
    copies_per_s: f64,
    copy_bytes: f64,
    /// Maximum over the points without changes, since every daemon holds the whole directory.
    core_percent: f64,
    resident_mib: f64,
    in_force_s: f64,
    platform_calls_per_daemon: f64,
}

/// Computes the figures at the target size.
pub(crate) fn summary(points: &[Point]) -> Summary {
    let without_changes = |point: &&Point| point.shape.changes_per_s == 0.0;
    let base_directory = |point: &&Point| {
        point.shape.servers == BASE_SHAPE.servers && point.shape.teams == BASE_SHAPE.teams
    };
    let total = |point: &Point| point.sent_per_s + point.received_per_s;
    // Traffic does not grow linearly with daemons: each makes the same number of exchanges, and digests are bounded.
    // So these figures come from the point with as many daemons as the target size, without extrapolation.
    let region = |figure: fn(&Point) -> f64| {
        let mut region = points.iter().filter(without_changes).filter(base_directory);
        region
            .find(|point| point.shape.daemons == TARGET_SHAPE.daemons)
            .map_or(f64::NAN, figure)
    };
    let changes: Vec<(f64, f64)> = points
        .iter()
        .filter(base_directory)
        .filter(|point| point.shape.daemons == BASE_SHAPE.daemons)
        .map(|point| (point.shape.changes_per_s, total(point)))
        .collect();
    let greatest = |figure: fn(&Point) -> f64| {
        points
            .iter()
            .filter(without_changes)
            .map(figure)
            .fold(0.0, f64::max)
    };
    let (_, per_change) = fit_line(&changes);
    let copy_bytes = deflated_bytes(TARGET_SHAPE);
    let copies_per_s =
        per_change * TARGET_SHAPE.changes_per_s * copy_bytes / deflated_bytes(BASE_SHAPE);
    let gossip = region(|point| point.sent_per_s + point.received_per_s);
    Summary {
        bytes_per_s: gossip + copies_per_s,
        copies_per_s,
        copy_bytes,
        core_percent: greatest(|point| point.core_percent),
        resident_mib: greatest(|point| point.resident_mib),
        in_force_s: region(max_in_force_s),
        platform_calls_per_daemon: region(|point| {
            point.platform_calls_per_s / count_as_f64(point.shape.daemons)
        }),
    }
}

impl Summary {
    pub(crate) fn within_bounds(&self) -> bool {
        self.bytes_per_s <= MAX_BYTES_PER_S
            && self.core_percent <= MAX_CORE_PERCENT
            && self.resident_mib <= MAX_RESIDENT_MIB
            && self.in_force_s <= MAX_IN_FORCE_S
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "at the target size, for a daemon (bound):")?;
        writeln!(
            f,
            "  {:.0} bytes/s sent and received ({MAX_BYTES_PER_S:.0}), of them {:.0} for copies of {:.0} bytes",
            self.bytes_per_s, self.copies_per_s, self.copy_bytes
        )?;
        writeln!(
            f,
            "  {:.2} % of a core at most ({MAX_CORE_PERCENT})",
            self.core_percent
        )?;
        writeln!(
            f,
            "  {:.1} MiB at most ({MAX_RESIDENT_MIB:.0})",
            self.resident_mib
        )?;
        writeln!(
            f,
            "  {:.2} s until a sheet is in force ({MAX_IN_FORCE_S})",
            self.in_force_s
        )?;
        write!(
            f,
            "  {:.3} platform calls/s",
            self.platform_calls_per_daemon
        )
    }
}

fn max_in_force_s(point: &Point) -> f64 {
    point.in_force_s.iter().copied().fold(0.0, f64::max)
}

/// Returns the compressed size of the configuration of a shape, in bytes.
fn deflated_bytes(shape: Shape) -> f64 {
    let addresses: Vec<SocketAddr> = (0..shape.servers)
        .map(|index| {
            SocketAddr::from((
                [10, 0, 0, 1],
                u16::try_from(1_024 + index).unwrap_or(u16::MAX),
            ))
        })
        .collect();
    let text = serde_json::to_vec(&document(shape, &addresses)).unwrap_or_default();
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::default());
    // Writing to memory cannot fail.
    let _ = encoder.write_all(&text);
    encoder
        .finish()
        .map_or(0.0, |copy| count_as_f64(copy.len()))
}

/// Fits a line by least squares; returns intercept and slope.
fn fit_line(points: &[(f64, f64)]) -> (f64, f64) {
    let count = count_as_f64(points.len()).max(1.0);
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let joint: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let slope = if spread > 0.0 { joint / spread } else { 0.0 };
    (mean_y - slope * mean_x, slope)
}
