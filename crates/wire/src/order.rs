//! Orders to engines: the JSON bodies of `POST /v1/orders` and `GET /v1/state`, and the conversion to and from the
//! types of `jaystand_control`.

use compact_str::CompactString;
use jaystand_control::order::{Command, Order, Role, State};
use jaystand_types::Incarnation;
use serde::{Deserialize, Serialize};

/// The path of orders.
pub const ORDERS_PATH: &str = "/v1/orders";
/// The path of the engine's state.
pub const STATE_PATH: &str = "/v1/state";

/// The body of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The fencing token of the lease.
    pub fence: u64,
    /// The engine's incarnation that the order is meant for.
    pub incarnation: Incarnation,
    /// The change that the order asks for.
    pub order: Body,
}

/// The change that an order asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Body {
    /// Load weights.
    Load {
        /// The model.
        model: CompactString,
        /// The adapter; empty for none.
        adapter: CompactString,
        /// The weights version.
        weights_version: CompactString,
    },
    /// Change the role to `serve`, `prefill` or `idle`.
    Role(CompactString),
}

/// The state of an engine, as it reports it. [`State`] is the checked form.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RawState {
    /// The engine's incarnation.
    pub incarnation: Incarnation,
    /// The model that the engine has loaded.
    #[serde(default)]
    pub model: CompactString,
    /// The adapter; empty for none.
    #[serde(default)]
    pub adapter: CompactString,
    /// The weights version that the engine has loaded.
    #[serde(default)]
    pub weights_version: CompactString,
    /// The role: `serve`, `prefill` or `idle`.
    pub role: CompactString,
    /// Whether the engine is loading weights.
    #[serde(default)]
    pub loading: bool,
    /// The greatest fencing token that the engine has seen.
    #[serde(default)]
    pub fence: u64,
}

/// The error returned when an engine reports a role that the protocol does not define.
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
