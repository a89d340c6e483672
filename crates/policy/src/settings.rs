//! Figures of the request policy that an operator may set.

use std::time::Duration;

use jaystand_types::DataCentre;

jaystand_types::common! { value
    /// How servers are chosen. All but `Jaystand` are baselines for comparison: they admit in order of arrival
    /// up to a server's slots, and know no urgency, hedge or slow-server detection.
    pub enum Strategy {
        /// Expected time to first token over computed and observed prefix placement.
        Jaystand,
        /// Rendezvous hashing of the first prefix level.
        HashOnly,
        /// The fewest requests in flight, by own count and load report.
        LeastLoaded,
        /// Each allowed server in turn.
        RoundRobin,
    }
}

jaystand_types::common! { data
    /// Settings of a router.
    pub struct Settings {
        /// How servers are chosen.
        pub strategy: Strategy,
        /// Data centre of this daemon.
        pub data_centre: DataCentre,
        /// Requests that may wait in the router.
        pub max_queued: usize,
        /// Added time to first token of a server in another data centre.
        pub link_delay: Duration,
        /// Prefill cost of a token before anything is measured.
        pub prefill_per_token: Duration,
        /// Retries as a share of requests.
        pub retry_share: f64,
        /// Hedges as a share of urgent requests.
        pub hedge_share: f64,
        /// Attempts a request may have, hedges included.
        pub max_attempts: u32,
        /// Waiting time after which a request counts as one urgency class higher.
        pub ageing_interval: Duration,
        /// Least time allowed until the first token.
        pub min_first_token_timeout: Duration,
        /// Least time allowed between tokens.
        pub min_inter_token_timeout: Duration,
        /// Whether long work is kept to part of a server's window.
        pub separate_long: bool,
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            strategy: Strategy::Jaystand,
            data_centre: DataCentre::default(),
            max_queued: 4_096,
            link_delay: Duration::from_millis(1),
            prefill_per_token: Duration::from_micros(50),
            retry_share: 0.1,
            hedge_share: 0.05,
            max_attempts: 5,
            ageing_interval: Duration::from_secs(20),
            min_first_token_timeout: Duration::from_secs(1),
            min_inter_token_timeout: Duration::from_millis(500),
            separate_long: true,
        }
    }
}
