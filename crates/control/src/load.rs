//! Loads of backend servers as gossip carries them: one byte for the load of a server and one for its age, sent only
//! while fresh.

use std::time::Duration;

use jaystand_types::{Moment, ServerId};

use crate::digest::{field_len, varint_len};

/// Greatest number of requests that a level represents exactly.
const MAX_EXACT_REQUESTS: u8 = 64;
/// Number of levels for each doubling above `MAX_EXACT_REQUESTS`; a level is then at most 4.4 % wide.
const LEVELS_PER_DOUBLING: f64 = 16.0;
/// Unit of ages in digests.
const AGE_STEP: Duration = Duration::from_millis(100);
/// How long after it was learned a load is passed on.
const FORWARD_TIME: Duration = Duration::from_secs(3);
/// Time after which an unchanged load is reported again, so that other daemons know that it still holds.
const REFRESH_INTERVAL: Duration = Duration::from_secs(5);
/// Greatest difference between the times that two daemons derive for the same measurement. They differ by the transit
/// time and the rounding of ages.
const MEASUREMENT_TOLERANCE: Duration = Duration::from_millis(250);
/// Encoded bytes of the fields that enclose the loads in a digest.
const FRAMING_BYTES: usize = 12;

jaystand_types::common! { value
    /// The load of one backend server.
    pub struct Load {
        /// Id of the server.
        pub server: ServerId,
        /// Number of running and waiting requests, coded by [`encode_level`].
        pub level: u8,
        /// Age of the measurement in steps of 100 ms.
        pub age_steps: u8,
    }
}

/// Loads that a daemon knows. Server ids belong to one version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Loads {
    slots: Vec<Option<Slot>>,
}

#[derive(Clone, Copy, Debug)]
struct Slot {
    level: u8,
    measured_at: Moment,
    learned_at: Moment,
}

impl Loads {
    /// Creates an empty table for the given number of servers.
    #[must_use]
    pub fn new(servers: usize) -> Self {
        Self {
            slots: vec![None; servers],
        }
    }

    /// Returns the number of requests on a server and the age of this number.
    #[must_use]
    pub fn get(&self, now: Moment, server: ServerId) -> Option<(u32, Duration)> {
        let slot = self.slots.get(server as usize)?.as_ref()?;
        Some((
            decode_level(slot.level),
            now.saturating_sub(slot.measured_at),
        ))
    }

    /// Records a load that this daemon asked a server for, unless it hardly differs from a recently learned one.
    pub(crate) fn report(&mut self, now: Moment, server: ServerId, requests: u32, age: Duration) {
        let Some(slot) = self.slots.get_mut(server as usize) else {
            return;
        };
        let level = encode_level(requests);
        let is_known = slot.is_some_and(|slot| {
            // A change of one sixteenth does not alter a placement.
            let tolerance = slot.level / 16;
            slot.level.abs_diff(level) <= tolerance
                && now.saturating_sub(slot.learned_at) < REFRESH_INTERVAL
        });
        if !is_known {
            let measured_at = now.saturating_sub(age);
            *slot = Some(Slot {
                level,
                measured_at,
                learned_at: now,
            });
        }
    }

    /// Merges loads from a digest; older measurements are ignored.
    pub(crate) fn merge(&mut self, now: Moment, loads: &[Load]) {
        for load in loads {
            let Some(slot) = self.slots.get_mut(load.server as usize) else {
                continue;
            };
            let measured_at = now.saturating_sub(AGE_STEP * u32::from(load.age_steps));
            let is_newer =
                slot.is_none_or(|known| measured_at > known.measured_at + MEASUREMENT_TOLERANCE);
            if is_newer {
                let level = load.level;
                *slot = Some(Slot {
                    level,
                    measured_at,
                    learned_at: now,
                });
            }
        }
    }

    /// Returns the loads that were learned recently and after `last_sent`, in the order of server ids. If they need
    /// more than `max_bytes`, the oldest measurements are left out.
    pub(crate) fn learned_since(
        &self,
        now: Moment,
        last_sent: Moment,
        max_bytes: usize,
    ) -> Vec<Load> {
        let oldest = now.saturating_sub(FORWARD_TIME);
        let mut fresh: Vec<(Duration, Load)> = (0..)
            .zip(&self.slots)
            .filter_map(|(server, slot)| Some((server, slot.as_ref()?)))
            .filter(|(_, slot)| slot.learned_at >= oldest && slot.learned_at > last_sent)
            .filter_map(|(server, slot)| {
                let age = now.saturating_sub(slot.measured_at);
                let steps = age.as_millis().div_ceil(AGE_STEP.as_millis());
                let age_steps = u8::try_from(steps).ok()?;
                Some((
                    age,
                    Load {
                        server,
                        level: slot.level,
                        age_steps,
                    },
                ))
            })
            .collect();
        fresh.sort_unstable();
        // A gap between ids takes one byte if it is below 128, and two otherwise.
        let bytes_per_load = if self.slots.len() > 128 { 4 } else { 3 };
        fresh.truncate(max_bytes.saturating_sub(FRAMING_BYTES) / bytes_per_load);
        let mut loads: Vec<Load> = fresh.into_iter().map(|(_, load)| load).collect();
        loads.sort_unstable();
        loads
    }
}

/// Encodes a number of requests in one byte: exactly up to 64, logarithmically above.
#[must_use]
pub fn encode_level(requests: u32) -> u8 {
    if requests <= MAX_EXACT_REQUESTS.into() {
        return u8::try_from(requests).unwrap_or(MAX_EXACT_REQUESTS);
    }
    let doublings = (f64::from(requests) / f64::from(MAX_EXACT_REQUESTS)).log2();
    let level = f64::from(MAX_EXACT_REQUESTS) + LEVELS_PER_DOUBLING * doublings;
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a float cast to u8 saturates, and the value is positive"
    )]
    let level = level.round() as u8;
    level
}

/// Returns the number of requests that a level stands for.
#[must_use]
pub fn decode_level(level: u8) -> u32 {
    if level <= MAX_EXACT_REQUESTS {
        return level.into();
    }
    let doublings = f64::from(level - MAX_EXACT_REQUESTS) / LEVELS_PER_DOUBLING;
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "at most 64 * 2^12, and positive"
    )]
    let count = (f64::from(MAX_EXACT_REQUESTS) * doublings.exp2()).round() as u32;
    count
}

/// Returns the encoded bytes of the loads in a digest.
pub(crate) fn encoded_len(loads: &[Load]) -> usize {
    if loads.is_empty() {
        return 0;
    }
    let gap_bytes = id_gaps(loads).map(|gap| varint_len(gap.into())).sum();
    field_len(field_len(gap_bytes) + 2 * field_len(loads.len()))
}

/// Iterates over the differences between consecutive server ids; the first one counts from 0.
pub fn id_gaps(loads: &[Load]) -> impl Iterator<Item = u32> {
    let previous_ids = [0].into_iter().chain(loads.iter().map(|load| load.server));
    loads
        .iter()
        .zip(previous_ids)
        .map(|(load, previous)| load.server - previous)
}
