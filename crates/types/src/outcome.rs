//! Outcomes, urgencies and repeat rules: enumerations whose names users type or read.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// Error for a name that is none of the accepted ones.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("unknown {what} `{name}`; use one of: {known}")]
pub struct UnknownName {
    /// What the name should have been, such as `urgency`.
    pub what: &'static str,
    /// The unknown name.
    pub name: String,
    /// The accepted names, separated by commas.
    pub known: &'static str,
}

/// Declares an enumeration, the conversion of its values from and to names, and the error for unknown names.
macro_rules! names {
    ($(#[$meta:meta])* $type:ident, $what:literal, $known:literal, { $($(#[$doc:meta])* $variant:ident = $name:literal),+ $(,)? }) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        pub enum $type {
            $($(#[$doc])* #[serde(rename = $name)] $variant),+
        }

        impl $type {
            /// All values in the order of their declaration.
            pub const ALL: &'static [Self] = &[$(Self::$variant),+];

            /// Returns the name that users type and read.
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
    /// The outcome of a request.
    Outcome, "outcome", "done, not_run, unknown", {
        /// The complete answer was delivered.
        Done = "done",
        /// No backend server has run the request, which is certain.
        NotRun = "not_run",
        /// The request may or may not have run.
        Unknown = "unknown",
    }
}

names! {
    /// How urgent a request kind is; the first value is the most urgent.
    Urgency, "urgency", "urgent, normal, background", {
        /// Served before all other requests.
        Urgent = "urgent",
        /// The default.
        Normal = "normal",
        /// May wait, but is completed.
        Background = "background",
    }
}

names! {
    /// Whether a request may be sent to a backend server more than once.
    RepeatRule, "repeat rule", "repeatable, once, once-backend-checks", {
        /// The request is idempotent and may be retried and hedged.
        Repeatable = "repeatable",
        /// The request is not idempotent. A claim must be recorded before it is sent.
        Once = "once",
        /// The request is not idempotent, but the backend server deduplicates by idempotency key.
        OnceChecked = "once-backend-checks",
    }
}
