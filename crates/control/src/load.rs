//! Loads of backend servers as gossip carries them: one byte a server, with its age, and only while fresh.

use std::time::Duration;

use jaystand_types::{Moment, ServerId};

use crate::digest::{message, varint};

/// Up to this many requests the level is exact.
const EXACT: u8 = 64;
/// Levels for each doubling above `EXACT`; a level is then at most 4.4 % wide.
const PER_DOUBLING: f64 = 16.0;
/// Unit of ages in digests.
const AGE_STEP: Duration = Duration::from_millis(100);
/// A load is passed on for this long after it was learned.
const FORWARD_FOR: Duration = Duration::from_secs(3);
/// An unchanged load is reported again after this long, so that others see that it is still true.
const REFRESH: Duration = Duration::from_secs(5);
/// Two daemons place one measurement at moments that differ by transit time and age steps.
const SAME_MEASUREMENT: Duration = Duration::from_millis(250);
/// Bytes of the fields around the loads in a digest.
const FRAME_BYTES: usize = 12;

jaystand_types::common! { value
    /// The load of one backend server.
    pub struct Load {
        /// The server.
        pub server: ServerId,
        /// Requests running and waiting, as [`encode_level`] codes them.
        pub level: u8,
        /// Age in steps of 100 ms.
        pub age_steps: u8,
    }
}

/// Loads that a daemon knows, for one version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Loads {
    slots: Vec<Option<Slot>>,
}

#[derive(Clone, Copy, Debug)]
struct Slot {
    level: u8,
    measured: Moment,
    learned: Moment,
}

impl Loads {
    /// No load is known of any of the servers.
    #[must_use]
    pub fn new(servers: usize) -> Self {
        Self {
            slots: vec![None; servers],
        }
    }

    /// Requests on a server and the age of that figure.
    #[must_use]
    pub fn get(&self, now: Moment, server: ServerId) -> Option<(u32, Duration)> {
        let slot = self.slots.get(server as usize)?.as_ref()?;
        Some((decode_level(slot.level), now.saturating_sub(slot.measured)))
    }

    pub(crate) fn report(&mut self, now: Moment, server: ServerId, requests: u32, age: Duration) {
        let Some(slot) = self.slots.get_mut(server as usize) else {
            return;
        };
        let level = encode_level(requests);
        let known = slot.is_some_and(|slot| {
            // A change of one in sixteen does not alter a placement.
            let noise = slot.level / 16;
            slot.level.abs_diff(level) <= noise && now.saturating_sub(slot.learned) < REFRESH
        });
        if !known {
            let measured = now.saturating_sub(age);
            *slot = Some(Slot {
                level,
                measured,
                learned: now,
            });
        }
    }

    /// Merges loads from a digest; older measurements are ignored.
    pub(crate) fn merge(&mut self, now: Moment, loads: &[Load]) {
        for load in loads {
            let Some(slot) = self.slots.get_mut(load.server as usize) else {
                continue;
            };
            let measured = now.saturating_sub(AGE_STEP * u32::from(load.age_steps));
            let newer = slot.is_none_or(|held| measured > held.measured + SAME_MEASUREMENT);
            if newer {
                let level = load.level;
                *slot = Some(Slot {
                    level,
                    measured,
                    learned: now,
                });
            }
        }
    }

    /// Loads learned lately and after `sent`, freshest first while `room` bytes last, in the order of ids.
    pub(crate) fn since(&self, now: Moment, sent: Moment, room: usize) -> Vec<Load> {
        let lately = now.saturating_sub(FORWARD_FOR);
        let mut fresh: Vec<(Duration, Load)> = (0..)
            .zip(&self.slots)
            .filter_map(|(server, slot)| Some((server, slot.as_ref()?)))
            .filter(|(_, slot)| slot.learned >= lately && slot.learned > sent)
            .filter_map(|(server, slot)| {
                let age = now.saturating_sub(slot.measured);
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
        // A gap between ids takes one byte below 128 and two otherwise.
        let each = if self.slots.len() > 128 { 4 } else { 3 };
        fresh.truncate(room.saturating_sub(FRAME_BYTES) / each);
        let mut loads: Vec<Load> = fresh.into_iter().map(|(_, load)| load).collect();
        loads.sort_unstable();
        loads
    }
}

/// Codes a number of requests in one byte: exact up to 64, then logarithmic.
#[must_use]
pub fn encode_level(requests: u32) -> u8 {
    if requests <= EXACT.into() {
        return u8::try_from(requests).unwrap_or(EXACT);
    }
    let doublings = (f64::from(requests) / f64::from(EXACT)).log2();
    let level = f64::from(EXACT) + PER_DOUBLING * doublings;
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a float cast to u8 saturates, and the value is positive"
    )]
    let level = level.round() as u8;
    level
}

/// The number of requests that a level stands for.
#[must_use]
pub fn decode_level(level: u8) -> u32 {
    if level <= EXACT {
        return level.into();
    }
    let doublings = f64::from(level - EXACT) / PER_DOUBLING;
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "at most 64 * 2^12, and positive"
    )]
    let count = (f64::from(EXACT) * doublings.exp2()).round() as u32;
    count
}

/// Encoded bytes of loads in a digest.
pub(crate) fn size(loads: &[Load]) -> usize {
    if loads.is_empty() {
        return 0;
    }
    let gaps = id_gaps(loads).map(|gap| varint(gap.into())).sum();
    message(message(gaps) + 2 * message(loads.len()))
}

/// The distances between the ids, the first one from 0.
pub fn id_gaps(loads: &[Load]) -> impl Iterator<Item = u32> {
    let before = [0].into_iter().chain(loads.iter().map(|load| load.server));
    loads
        .iter()
        .zip(before)
        .map(|(load, before)| load.server - before)
}
