//! The specification of a backend server in the configuration.

use jaystand_types::{DataCentre, Model, ServerId, ServerName};

/// A backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct Spec {
    /// Index in this configuration.
    pub id: ServerId,
    /// Name, stable across configurations. Rendezvous hashing uses it.
    pub name: ServerName,
    /// Data centre that it runs in.
    pub data_centre: DataCentre,
    /// Model that it serves, or the name of a plain service.
    pub model: Model,
    /// Weights version that it is expected to serve.
    pub weights_version: String,
    /// Whether it is a plain service, without prefix cache and tokens.
    pub service: bool,
    /// Maximum number of requests that it runs at once.
    pub slots: u32,
}
