//! Exponentially weighted mean and deviation, quick on the first samples.

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
