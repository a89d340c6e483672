//! A backend server as the configuration describes it.

use jaystand_types::{DataCentre, Model, ServerId, ServerName};

/// One backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct Spec {
    /// Index in this configuration.
    pub id: ServerId,
    /// Name, stable over configurations; rendezvous hashing uses it.
    pub name: ServerName,
    /// Where it runs.
    pub data_centre: DataCentre,
    /// Model that it serves; for plain services, the service's name.
    pub model: Model,
    /// Weights version that it is expected to serve.
    pub weights_version: String,
    /// Whether it is a plain service, without prefix cache and tokens.
    pub service: bool,
    /// Requests that it runs at once.
    pub slots: u32,
}
