//! Retention of the lots that a trainer has acknowledged.

/// The kind of the objects that hold retentions, one for each trainer.
pub const KIND: &str = "retention";

/// The kind of the objects that hold manifests of lots.
pub const LOT_KIND: &str = "lot";

/// The kind of the objects that hold claims of lots.
pub const CLAIM_KIND: &str = "claim";

/// The kind of the objects that hold declared steps.
pub const STEP_KIND: &str = "step";

/// The kind of the objects that hold parts of a lot's content.
pub const PART_KIND: &str = "lot-part";

crate::record! {
    /// The position of a trainer's cursor at a point in time.
    copy pub struct Mark {
        /// The number of the next lot to be acknowledged at that time.
        pub next_lot: u64,
        /// Wall-clock time in milliseconds.
        pub at_ms: u64,
    }
}

crate::record! {
    /// Which lots of a trainer have been deleted, and the cursor positions whose
    /// lots are deleted when their retention time is over. The floor never
    /// decreases.
    #[derive(Default)]
    pub struct Retention {
        /// The number of the first lot that is not deleted.
        pub floor: u64,
        /// Positions of the cursor above the floor, oldest first.
        pub marks: Vec<Mark>,
    }
}
