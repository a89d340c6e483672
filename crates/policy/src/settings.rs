//! Settings of the request policy.

use std::time::Duration;

use jaystand_types::DataCentre;

jaystand_types::common! { value
    /// How servers are chosen. All but `Jaystand` are baselines for comparison: they admit requests in order of
    /// arrival up to a server's slots, without urgency classes, hedges or slow-server detection.
    pub enum Strategy {
        /// The lowest expected time to first token, given where the prefix is computed or observed to be cached.
        Jaystand,
        /// Rendezvous hashing of the first prefix level.
        HashOnly,
        /// The fewest requests in flight, by this daemon's own count and load reports.
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
        /// The data centre of this daemon.
        pub data_centre: DataCentre,
        /// Maximum number of requests that wait in the router.
        pub max_queued: usize,
        /// Time to first token added for a server in another data centre.
        pub link_delay: Duration,
        /// Prefill time per token assumed before the first sample.
        pub prefill_per_token: Duration,
        /// Retries allowed per request.
        pub retry_share: f64,
        /// Hedges allowed per urgent request.
        pub hedge_share: f64,
        /// Maximum number of attempts of a request, hedges included.
        pub max_attempts: u32,
        /// Waiting time after which a request is treated as one urgency class higher.
        pub ageing_interval: Duration,
        /// Lower bound of the timeout for the first token.
        pub min_first_token_timeout: Duration,
        /// Lower bound of the timeout between tokens.
        pub min_inter_token_timeout: Duration,
        /// Whether long requests are limited to a share of a server's window.
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
