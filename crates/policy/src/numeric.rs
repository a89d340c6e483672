//! Conversions between durations, counts and floating-point numbers, and hash mixing.

use std::time::Duration;

/// Upper bound of converted durations, which keeps later additions from overflowing.
const MAX_DURATION: Duration = Duration::from_secs(86_400);

/// Converts seconds to a duration. Negative numbers and NaN become zero.
pub(crate) fn duration_from_secs(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds.max(0.0))
        .map_or(MAX_DURATION, |value| value.min(MAX_DURATION))
}

/// Converts a count to a float. Counts over `u32::MAX` become that maximum.
pub(crate) fn from_count(value: usize) -> f64 {
    f64::from(u32::try_from(value).unwrap_or(u32::MAX))
}

/// Rounds a float up to a count. Negative numbers become 0.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "float casts saturate, which is the wanted result"
)]
pub(crate) fn ceil_to_count(value: f64) -> usize {
    value.max(0.0).ceil() as usize
}

/// Rounds a float down to a count. Negative numbers become 0.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "float casts saturate, which is the wanted result"
)]
pub(crate) fn floor_to_count(value: f64) -> u32 {
    value.max(0.0) as u32
}

/// Returns the remainder of `number` divided by `length`, or 0 if `length` is 0.
pub(crate) fn remainder(number: u64, length: usize) -> usize {
    let length = u64::try_from(length).unwrap_or(u64::MAX);
    let remainder = number.checked_rem(length).unwrap_or(0);
    usize::try_from(remainder).unwrap_or(0)
}

/// Mixes two hashes into one, each bit of which depends on both.
pub(crate) fn mix_hashes(a: u64, b: u64) -> u64 {
    let product = u128::from(a ^ 0x9E37_79B9_7F4A_7C15) * u128::from(b | 1);
    #[allow(
        clippy::cast_possible_truncation,
        reason = "both halves are folded together"
    )]
    let folded = (product as u64) ^ ((product >> 64) as u64);
    folded.wrapping_mul(0xD6E8_FEB8_6659_FD93)
}

/// Share of a prompt assumed to be cached where no better estimate exists.
pub(crate) const PRESUMED_CACHED_SHARE: f64 = 0.5;
