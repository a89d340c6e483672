//! Outcomes, urgencies and repeat rules: closed sets of names that users type or read.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// The name is not in the closed set.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("unknown {what} `{name}`; use one of: {known}")]
pub struct UnknownName {
    /// Which set the name was looked up in.
    pub what: &'static str,
    /// The offending text.
    pub name: String,
    /// The accepted names, separated by commas.
    pub known: &'static str,
}

macro_rules! names {
    ($(#[$meta:meta])* $type:ident, $what:literal, $known:literal, { $($(#[$doc:meta])* $variant:ident = $name:literal),+ $(,)? }) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        pub enum $type {
            $($(#[$doc])* #[serde(rename = $name)] $variant),+
        }

        impl $type {
            /// Every value, in declaration order.
            pub const ALL: &'static [Self] = &[$(Self::$variant),+];

            /// The name that users type and read.
            #[must_use]
            pub const fn as_str(self) -> &'static str {
                match self { $(Self::$variant => $name),+ }
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(self.as_str())
            }
        }

        impl FromStr for $type {
            type Err = UnknownName;

            fn from_str(text: &str) -> Result<Self, UnknownName> {
                match text {
                    $($name => Ok(Self::$variant),)+
                    _ => Err(UnknownName { what: $what, name: text.to_owned(), known: $known }),
                }
            }
        }
    };
}

names! {
    /// What became of a request.
    Outcome, "outcome", "done, not_run, unknown", {
        /// The whole answer was delivered.
        Done = "done",
        /// It is proven that no backend server ran the request.
        NotRun = "not_run",
        /// The request may or may not have run.
        Unknown = "unknown",
    }
}

names! {
    /// How urgent a request kind is; the first value is the most urgent.
    Urgency, "urgency", "urgent, normal, background", {
        /// Served before everything else.
        Urgent = "urgent",
        /// The default.
        Normal = "normal",
        /// May wait, but completes.
        Background = "background",
    }
}

names! {
    /// Whether a request may be sent to a backend server more than once.
    RepeatRule, "repeat rule", "repeatable, once, once-backend-checks", {
        /// Idempotent: may be retried and hedged.
        Repeatable = "repeatable",
        /// Not idempotent: needs a recorded claim before dispatch.
        Once = "once",
        /// Not idempotent, but the backend server deduplicates by idempotency key.
        OnceChecked = "once-backend-checks",
    }
}
