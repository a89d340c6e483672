//! Engine orders: the JSON bodies of `POST /v1/orders` and `GET /v1/state`, and their conversion to checked values.

use compact_str::CompactString;
use jaystand_control::order::{Command, Order, Role, State};
use jaystand_types::Incarnation;
use serde::{Deserialize, Serialize};

/// Path of orders.
pub const ORDERS_PATH: &str = "/v1/orders";
/// Path of the engine's state.
pub const STATE_PATH: &str = "/v1/state";

/// Body of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Fencing number of the lease.
    pub fence: u64,
    /// The run that the order is meant for.
    pub incarnation: Incarnation,
    /// The change.
    pub order: Body,
}

/// The change that an order asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Body {
    /// Load weights.
    Load {
        /// Model.
        model: CompactString,
        /// Adapter; empty for none.
        adapter: CompactString,
        /// Weights version.
        weights_version: CompactString,
    },
    /// Change the role: `serve`, `prefill` or `idle`.
    Role(CompactString),
}

/// The state as an engine reports it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RawState {
    /// Its run.
    pub incarnation: Incarnation,
    /// Model.
    #[serde(default)]
    pub model: CompactString,
    /// Adapter.
    #[serde(default)]
    pub adapter: CompactString,
    /// Weights version.
    #[serde(default)]
    pub weights_version: CompactString,
    /// Role.
    pub role: CompactString,
    /// Whether it loads.
    #[serde(default)]
    pub loading: bool,
    /// Greatest fencing number that it has seen.
    #[serde(default)]
    pub fence: u64,
}

/// An engine reports a role that the protocol does not have.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("unknown role `{0}`")]
pub struct UnknownRole(pub CompactString);

impl TryFrom<RawState> for State {
    type Error = UnknownRole;

    fn try_from(raw: RawState) -> Result<Self, UnknownRole> {
        let role = match raw.role.as_str() {
            "serve" => Role::Serve,
            "prefill" => Role::Prefill,
            "idle" => Role::Idle,
            _ => return Err(UnknownRole(raw.role)),
        };
        Ok(Self {
            incarnation: raw.incarnation,
            model: raw.model,
            adapter: raw.adapter,
            weights_version: raw.weights_version,
            role,
            loading: raw.loading,
        })
    }
}

impl From<&Command> for Envelope {
    fn from(command: &Command) -> Self {
        let order = match &command.order {
            Order::Load {
                model,
                adapter,
                weights_version,
            } => Body::Load {
                model: model.clone(),
                adapter: adapter.clone(),
                weights_version: weights_version.clone(),
            },
            Order::Role(Role::Serve) => Body::Role("serve".into()),
            Order::Role(Role::Prefill) => Body::Role("prefill".into()),
            Order::Role(Role::Idle) => Body::Role("idle".into()),
        };
        Self {
            fence: command.fence,
            incarnation: command.incarnation,
            order,
        }
    }
}
