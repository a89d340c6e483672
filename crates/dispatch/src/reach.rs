//! Which data centres can be reached, by the last sign of life of anything in them.
//!
//! When a data centre is cut off, each of its servers would cost some requests until its own health shows it.
//! Hosts report several times a second, so their silence shows the cut sooner.

use std::time::Duration;

use hashbrown::HashMap;
use jaystand_types::{DataCentre, Moment};

/// A data centre is in doubt after this silence: two reports of its hosts are overdue.
const SILENCE: Duration = Duration::from_millis(550);

/// The last signs of life.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    heard: HashMap<DataCentre, Moment>,
}

impl Reach {
    /// A host or server of a data centre gave a sign of life.
    pub fn record_contact(&mut self, now: Moment, data_centre: &DataCentre) {
        match self.heard.get_mut(data_centre) {
            Some(last) => *last = (*last).max(now),
            None => {
                self.heard.insert(data_centre.clone(), now);
            }
        }
    }

    /// Whether nothing was heard of a data centre for too long. One of which nothing was ever heard is not in
    /// doubt: requests find out.
    #[must_use]
    pub fn is_doubtful(&self, now: Moment, data_centre: &DataCentre) -> bool {
        let last = self.heard.get(data_centre);
        last.is_some_and(|last| now.saturating_sub(*last) > SILENCE)
    }

    /// The data centres in doubt.
    pub fn doubtful_data_centres(&self, now: Moment) -> impl Iterator<Item = &DataCentre> {
        self.heard
            .keys()
            .filter(move |data_centre| self.is_doubtful(now, data_centre))
    }
}
