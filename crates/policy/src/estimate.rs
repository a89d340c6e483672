//! Exponentially weighted mean and deviation that adapt quickly to the first samples.

/// Gain of [`Estimate::add_lower_biased`] for samples below the mean.
const LOWER_GAIN: f64 = 0.25;
/// The same for samples above the mean.
const HIGHER_GAIN: f64 = 0.02;
/// Upper bound of such a sample relative to the mean, so that a slow moment does not dominate the estimate.
const MAX_SAMPLE_RATIO: f64 = 4.0;

/// An estimate of a mean and its mean deviation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Estimate {
    mean: f64,
    deviation: f64,
    samples: u32,
    gain: f64,
}

impl Estimate {
    /// Creates an estimate that starts at `initial`. The first sample replaces it; later ones have at least the weight
    /// `gain`.
    pub(crate) fn new(initial: f64, gain: f64) -> Self {
        Self {
            mean: initial,
            deviation: initial / 2.0,
            samples: 0,
            gain,
        }
    }

    /// Creates an estimate that trusts its initial value: every sample has weight `gain`.
    pub(crate) fn trusted(initial: f64, gain: f64) -> Self {
        Self {
            samples: u32::MAX,
            ..Self::new(initial, gain)
        }
    }

    /// Adds a sample.
    pub(crate) fn add(&mut self, sample: f64) {
        self.samples = self.samples.saturating_add(1);
        let gain = (1.0 / f64::from(self.samples)).max(self.gain);
        let error = sample - self.mean;
        self.mean += gain * error;
        if self.samples > 1 {
            self.deviation += gain * (error.abs() - self.deviation);
        } else {
            self.deviation = sample.abs() / 2.0;
        }
    }

    /// Adds a sample of a cost that may include waiting. Samples below the mean have a larger weight than those above,
    /// so that the estimate stays close to the cost without waiting.
    pub(crate) fn add_lower_biased(&mut self, sample: f64) {
        self.samples = self.samples.saturating_add(1);
        let gain = if sample < self.mean {
            LOWER_GAIN
        } else {
            HIGHER_GAIN
        };
        let bounded = sample.min(self.mean * MAX_SAMPLE_RATIO);
        self.mean += gain * (bounded - self.mean);
    }

    /// Moves the mean by a share of its distance to a value.
    pub(crate) fn move_towards(&mut self, value: f64, share: f64) {
        self.mean += share * (value - self.mean);
    }

    /// Returns the weighted mean.
    pub(crate) fn mean(&self) -> f64 {
        self.mean
    }

    /// Returns the mean plus a number of mean deviations.
    pub(crate) fn bound(&self, deviations: f64) -> f64 {
        self.mean + deviations * self.deviation
    }

    /// Returns the number of samples.
    pub(crate) fn samples(&self) -> u32 {
        self.samples
    }
}
