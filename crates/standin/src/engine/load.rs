//! Load reports that lag behind the truth.

use std::{collections::VecDeque, time::Duration};

use tokio::time::Instant;

const KEPT_SAMPLES: usize = 8192;

jaystand_types::common! { value
    /// Running and waiting requests at one moment.
    pub(super) struct Sample {
        pub(super) running: usize,
        pub(super) waiting: usize,
    }
}

/// Samples by time; a sample holds until the next one.
#[derive(Debug, Default)]
pub(super) struct History(VecDeque<(Instant, Sample)>);

impl History {
    pub(super) fn push(&mut self, sample: Sample) {
        if self.0.back().is_some_and(|(_, last)| *last == sample) {
            return;
        }
        self.0.push_back((Instant::now(), sample));
        if self.0.len() > KEPT_SAMPLES {
            self.0.pop_front();
        }
    }

    /// What held `lag` ago.
    pub(super) fn lagging(&self, lag: Duration) -> Sample {
        let old = self.0.iter().rev().find(|(at, _)| at.elapsed() >= lag);
        old.map_or(
            Sample {
                running: 0,
                waiting: 0,
            },
            |(_, sample)| *sample,
        )
    }
}
