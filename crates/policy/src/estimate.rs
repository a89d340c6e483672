//! Exponentially weighted mean and deviation, quick on the first samples.

const LOWER_GAIN: f64 = 0.25;
const HIGHER_GAIN: f64 = 0.02;
/// A sample counts at most this many times the estimate, so a slow moment does not become the norm.
const MAX_SAMPLE_RATIO: f64 = 4.0;

/// The estimate.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Estimate {
    mean: f64,
    deviation: f64,
    samples: u32,
    gain: f64,
}

impl Estimate {
    /// Starts at `initial`, which the first sample replaces; later samples count `gain`.
    pub(crate) fn new(initial: f64, gain: f64) -> Self {
        Self {
            mean: initial,
            deviation: initial / 2.0,
            samples: 0,
            gain,
        }
    }

    /// Starts at a value that is trusted from the start: each sample counts `gain`.
    pub(crate) fn trusted(initial: f64, gain: f64) -> Self {
        Self {
            samples: u32::MAX,
            ..Self::new(initial, gain)
        }
    }

    /// Takes a sample in.
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

    /// Takes in a sample of a cost that waiting may have been added to: lower ones count in full, higher ones
    /// little, so that the estimate stays near the cost alone.
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

    /// Moves the mean a part of the way to a value.
    pub(crate) fn move_towards(&mut self, value: f64, share: f64) {
        self.mean += share * (value - self.mean);
    }

    /// The weighted mean.
    pub(crate) fn mean(&self) -> f64 {
        self.mean
    }

    /// The mean plus that many mean deviations.
    pub(crate) fn bound(&self, deviations: f64) -> f64 {
        self.mean + deviations * self.deviation
    }

    /// How many samples were taken.
    pub(crate) fn samples(&self) -> u32 {
        self.samples
    }
}
