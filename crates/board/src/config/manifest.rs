//! The stored form of a configuration: immutable parts, each named by its
//! digest, and a manifest that lists them and is replaced by a conditional
//! write.

use super::Part;
use crate::key::Digest;

/// The kind of the object that holds the manifest.
pub const KIND: &str = "config";

/// The name of the object that holds the current manifest.
pub const CURRENT: &str = "current";

/// The kind of the objects that hold the texts of parts.
pub const PART_KIND: &str = "config-part";

crate::record! {
    /// The list of the parts of one revision.
    #[derive(Default)]
    pub struct Manifest {
        /// The revision, which increases by one with each publication.
        pub revision: u64,
        /// The parts in the order of their files.
        pub parts: Vec<Reference>,
    }
}

crate::record! {
    /// A reference to one part.
    pub struct Reference {
        /// The file that the part was read from.
        pub file: String,
        /// The digest of the part's text, which is the name of its object.
        pub digest: Digest,
    }
}

/// Returns the manifest that lists `parts` under `revision`.
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
