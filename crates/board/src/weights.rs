//! The weights that each model should serve, as stored on the platform.

/// The kind of the platform objects that hold [`Weights`], one for each model.
pub const KIND: &str = "weights";

crate::record! {
    /// The weights that a model should serve.
    copy pub struct Weights {
        /// The version of the weights.
        pub version: u64,
    }
}
