//! The directory of the teams, backend servers and models to which the routing sheet refers by name.

use std::{net::SocketAddr, num::NonZeroU32};

use compact_str::CompactString;
use jaystand_types::{DataCentre, ServerName, TeamId};
use serde::{Deserialize, Serialize};

jaystand_types::common! { message
    /// The teams, backend servers and models of a deployment.
    #[derive(Default)]
    pub struct Directory {
        /// The teams.
        #[serde(default)]
        pub teams: Vec<Team>,
        /// The backend servers. A server's position is its id in this configuration.
        #[serde(default)]
        pub servers: Vec<Server>,
        /// The models.
        #[serde(default)]
        pub models: Vec<Model>,
    }

    /// A team, whose API key identifies its callers.
    pub struct Team {
        /// The name.
        pub name: TeamId,
        /// The BLAKE3 hash of the API key, in hexadecimal.
        pub key_hash: CompactString,
        /// The weight in fair queueing.
        #[serde(default = "one")]
        pub weight: NonZeroU32,
    }

    /// A backend server.
    pub struct Server {
        /// The name.
        pub name: ServerName,
        /// The address on which the server listens.
        pub address: SocketAddr,
        /// The data centre in which the server runs.
        pub data_centre: DataCentre,
        /// Whether the server is an engine or a plain service.
        pub kind: ServerKind,
        /// The model that an engine serves, or the name of a plain service.
        pub model: CompactString,
        /// The weights version that the server should serve; empty for plain services.
        #[serde(default)]
        pub weights_version: CompactString,
        /// Whether the server checks the fencing token of orders.
        #[serde(default)]
        pub fencing: Fencing,
        /// The number of requests that the server runs at once.
        pub slots: NonZeroU32,
    }

    /// A model.
    pub struct Model {
        /// The name.
        pub name: CompactString,
        /// The weights version in use.
        pub weights_version: CompactString,
        /// The share of the model's servers that must continue to serve while others load weights, in percent.
        #[serde(default = "half")]
        pub serving_share: u8,
    }
}

/// The kind of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// Whether a backend server refuses orders with an old fencing token.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fencing {
    /// The server refuses such orders.
    Checked,
    /// The server ignores the token.
    #[default]
    Ignored,
}

fn one() -> NonZeroU32 {
    NonZeroU32::MIN
}

fn half() -> u8 {
    50
}
