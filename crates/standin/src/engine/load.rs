//! History of the load, from which delayed load reports are made.

use std::{collections::VecDeque, time::Duration};

use tokio::time::Instant;

const MAX_SAMPLES: usize = 8192;

jaystand_types::common! { value
    /// Running and waiting requests at one moment.
    pub(super) struct Sample {
        pub(super) running: usize,
        pub(super) waiting: usize,
    }
}

/// Samples in order of time; each holds until the next one.
#[derive(Debug, Default)]
pub(super) struct History(VecDeque<(Instant, Sample)>);

impl History {
    pub(super) fn push(&mut self, sample: Sample) {
        if self.0.back().is_some_and(|(_, last)| *last == sample) {
            return;
        }
        self.0.push_back((Instant::now(), sample));
        if self.0.len() > MAX_SAMPLES {
            self.0.pop_front();
        }
    }

    /// Returns the sample that held `lag` ago; zero load before the first one.
    pub(super) fn sample_before(&self, lag: Duration) -> Sample {
        let old = self
            .0
            .iter()
            .rev()
            .find(|(taken_at, _)| taken_at.elapsed() >= lag);
        old.map_or(
            Sample {
                running: 0,
                waiting: 0,
            },
            |(_, sample)| *sample,
        )
    }
}
