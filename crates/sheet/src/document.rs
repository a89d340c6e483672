//! The versioned document that holds a configuration. It is accepted, stored and distributed as a whole.

use jaystand_types::Version;

use crate::Directory;

jaystand_types::common! { message
    /// One version of the configuration.
    #[derive(Default)]
    pub struct Document {
        /// The version. A greater one is newer.
        pub version: Version,
        /// The version that this one replaced; 0 for the first.
        pub parent: Version,
        /// The routing sheet as CSV text.
        pub sheet: String,
        /// The teams, backend servers and models.
        pub directory: Directory,
        /// The person who applied it.
        #[serde(default)]
        pub author: String,
        /// The author's note on the change.
        #[serde(default)]
        pub note: String,
    }
}
