//! Weights in force, as the platform holds them.

/// The kind of the objects that hold them, one for each model.
pub const KIND: &str = "weights";

crate::record! {
    /// The weights of a model.
    copy pub struct Weights {
        /// The version that should be in force.
        pub version: u64,
    }
}
