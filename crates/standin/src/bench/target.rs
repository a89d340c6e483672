//! What the measured slopes of `control` give at the target size, beside the bounds.

use std::{fmt, io::Write as _, net::SocketAddr};

use flate2::{Compression, write::DeflateEncoder};
use serde::Serialize;

use super::control::{Point, Shape, USUAL, document, float};

/// Daemons of a region at the target size, and the servers and teams of the whole directory.
const DIRECTORY: Shape = Shape {
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
    /// Sent and received: gossip as measured in a region of the target size, and copies for the sheet changes.
    bytes_per_s: f64,
    copies_per_s: f64,
    copy_bytes: f64,
    /// At the most servers measured, since every daemon holds the whole directory.
    core_percent: f64,
    resident_mib: f64,
    in_force_s: f64,
    platform_calls_per_daemon: f64,
}

/// Derives the figures at the target size.
pub(crate) fn summary(points: &[Point]) -> Summary {
    let still = |point: &&Point| point.shape.changes_per_s == 0.0;
    let usual =
        |point: &&Point| point.shape.servers == USUAL.servers && point.shape.teams == USUAL.teams;
    let total = |point: &Point| point.sent_per_s + point.received_per_s;
    // Traffic does not grow in a line: each daemon makes the same number of exchanges, and digests are bounded.
    // So the region of the target size is measured as it is.
    let region = |read: fn(&Point) -> f64| {
        let mut region = points.iter().filter(still).filter(usual);
        region
            .find(|point| point.shape.daemons == DIRECTORY.daemons)
            .map_or(f64::NAN, read)
    };
    let changes: Vec<(f64, f64)> = points
        .iter()
        .filter(usual)
        .filter(|point| point.shape.daemons == USUAL.daemons)
        .map(|point| (point.shape.changes_per_s, total(point)))
        .collect();
    let greatest =
        |read: fn(&Point) -> f64| points.iter().filter(still).map(read).fold(0.0, f64::max);
    let (_, per_change) = line(&changes);
    let copy_bytes = deflated(DIRECTORY);
    let copies_per_s = per_change * DIRECTORY.changes_per_s * copy_bytes / deflated(USUAL);
    let gossip = region(|point| point.sent_per_s + point.received_per_s);
    Summary {
        bytes_per_s: gossip + copies_per_s,
        copies_per_s,
        copy_bytes,
        core_percent: greatest(|point| point.core_percent),
        resident_mib: greatest(|point| point.resident_mib),
        in_force_s: region(most_in_force),
        platform_calls_per_daemon: region(|point| {
            point.platform_calls_per_s / float(point.shape.daemons)
        }),
    }
}

impl Summary {
    pub(crate) fn met(&self) -> bool {
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

fn most_in_force(point: &Point) -> f64 {
    point.in_force_s.iter().copied().fold(0.0, f64::max)
}

fn deflated(shape: Shape) -> f64 {
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
    encoder.finish().map_or(0.0, |copy| float(copy.len()))
}

/// Least squares: start and slope.
fn line(points: &[(f64, f64)]) -> (f64, f64) {
    let count = float(points.len()).max(1.0);
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
