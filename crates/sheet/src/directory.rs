//! The directory: teams, backend servers and models that the routing sheet refers to.

use std::{net::SocketAddr, num::NonZeroU32};

use compact_str::CompactString;
use jaystand_types::{DataCentre, ServerName, TeamId};
use serde::{Deserialize, Serialize};

jaystand_types::common! { message
    /// Everything that the routing sheet refers to by name.
    #[derive(Default)]
    pub struct Directory {
        /// Teams and the hashes of their API keys.
        #[serde(default)]
        pub teams: Vec<Team>,
        /// Backend servers; the position is the server's id in this configuration.
        #[serde(default)]
        pub servers: Vec<Server>,
        /// Models.
        #[serde(default)]
        pub models: Vec<Model>,
    }

    /// A team.
    pub struct Team {
        /// Name.
        pub name: TeamId,
        /// BLAKE3 of the API key, in hexadecimal.
        pub key_hash: CompactString,
        /// Weight in fair queueing.
        #[serde(default = "one")]
        pub weight: NonZeroU32,
    }

    /// A backend server.
    pub struct Server {
        /// Name.
        pub name: ServerName,
        /// Where it listens.
        pub address: SocketAddr,
        /// The data centre that it runs in.
        pub data_centre: DataCentre,
        /// Whether it is an engine or a plain service.
        pub kind: ServerKind,
        /// Model that it serves; for a plain service, the service's name.
        pub model: CompactString,
        /// Weights version that it should serve; empty for plain services.
        #[serde(default)]
        pub weights_version: CompactString,
        /// Whether it checks the fencing number of orders.
        #[serde(default)]
        pub fencing: Fencing,
        /// Requests that it runs at once.
        pub slots: NonZeroU32,
    }

    /// A model.
    pub struct Model {
        /// Name.
        pub name: CompactString,
        /// Weights version in use.
        pub weights_version: CompactString,
        /// Share of the model's servers that must go on serving while others load, in percent.
        #[serde(default = "half")]
        pub serving_share: u8,
    }
}

/// What a backend server is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// Whether a backend server refuses orders with an old fencing number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fencing {
    /// It refuses them.
    Checked,
    /// It ignores the number.
    #[default]
    Ignored,
}

fn one() -> NonZeroU32 {
    NonZeroU32::MIN
}

fn half() -> u8 {
    50
}
