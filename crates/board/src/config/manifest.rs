//! How a configuration is kept on the platform: immutable parts, named by
//! their digest, under a manifest that one conditional write replaces.

use super::Part;
use crate::key::Digest;

/// The kind of the objects that hold the pointer.
pub const KIND: &str = "config";

/// The name of the object that holds the manifest in force.
pub const CURRENT: &str = "current";

/// The kind of the objects that hold parts.
pub const PART_KIND: &str = "config-part";

crate::record! {
    /// The parts of one revision.
    #[derive(Default)]
    pub struct Manifest {
        /// The revision, which grows by one with each publication.
        pub revision: u64,
        /// The parts in the order of their files.
        pub parts: Vec<Reference>,
    }
}

crate::record! {
    /// One part.
    pub struct Reference {
        /// The file that it came from.
        pub file: String,
        /// The digest of its text, which is the name of its object.
        pub digest: Digest,
    }
}

/// Returns the manifest of `parts` as `revision`.
pub fn from_parts(revision: u64, parts: &[Part]) -> Manifest {
    let reference = |part: &Part| Reference {
        file: part.file.clone(),
        digest: Digest::of(&part.text),
    };
    Manifest {
        revision,
        parts: parts.iter().map(reference).collect(),
    }
}
