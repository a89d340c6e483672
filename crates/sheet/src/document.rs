//! The versioned document that is accepted, stored and spread as a whole.

use jaystand_types::Version;

use crate::Directory;

jaystand_types::common! { message
    /// One accepted configuration.
    #[derive(Default)]
    pub struct Document {
        /// Its version; greater is newer.
        pub version: Version,
        /// The version that it replaced; 0 for the first.
        pub parent: Version,
        /// The routing sheet as CSV text.
        pub sheet: String,
        /// Teams, backend servers and models.
        pub directory: Directory,
        /// Who applied it.
        #[serde(default)]
        pub author: String,
        /// What the author says of it.
        #[serde(default)]
        pub note: String,
    }
}
