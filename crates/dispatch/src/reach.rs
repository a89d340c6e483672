//! Which data centres can be reached, by the last contact with any host or server in them.
//!
//! When a data centre is cut off, each of its servers would cost some requests until its own health shows the fault.
//! Hosts report several times a second, so that missing reports show it sooner.

use std::time::Duration;

use hashbrown::HashMap;
use jaystand_types::{DataCentre, Moment};

/// A data centre is in doubt after this time without contact, when two reports of its hosts are overdue.
const CONTACT_TIMEOUT: Duration = Duration::from_millis(550);

/// The last contact with each data centre.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    last_contacts: HashMap<DataCentre, Moment>,
}

impl Reach {
    /// Records contact with a host or server of a data centre.
    pub fn record_contact(&mut self, now: Moment, data_centre: &DataCentre) {
        match self.last_contacts.get_mut(data_centre) {
            Some(last) => *last = (*last).max(now),
            None => {
                self.last_contacts.insert(data_centre.clone(), now);
            }
        }
    }

    /// Returns whether there was no contact with a data centre for too long. A data centre without any contact so far
    /// is not in doubt; requests show whether it can be reached.
    #[must_use]
    pub fn is_doubtful(&self, now: Moment, data_centre: &DataCentre) -> bool {
        let last = self.last_contacts.get(data_centre);
        last.is_some_and(|last| now.saturating_sub(*last) > CONTACT_TIMEOUT)
    }

    /// Returns the data centres in doubt.
    pub fn doubtful_data_centres(&self, now: Moment) -> impl Iterator<Item = &DataCentre> {
        self.last_contacts
            .keys()
            .filter(move |data_centre| self.is_doubtful(now, data_centre))
    }
}
