//! Samples, groups and lots of a trainer.

use std::fmt;

use crate::key::Digest;

crate::record! {
    /// The id of one sample, which is its position in a step. The same id
    /// always means the same position.
    pub struct Id {
        /// The trainer.
        pub trainer: String,
        /// The step.
        pub step: u64,
        /// The index of the prompt in the step.
        pub group: u32,
        /// The index of the sample in its group.
        pub index: u32,
    }
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            trainer,
            step,
            group,
            index,
        } = self;
        write!(f, "{trainer}.{step}.{group}.{index}")
    }
}

crate::record! {
    /// A range of consecutive tokens that one version of the weights produced.
    copy pub struct Span {
        /// The version.
        pub version: u64,
        /// Index of the first token.
        pub from: u32,
        /// Index after the last token.
        pub to: u32,
    }
}

/// Appends the token at `index`, which `version` produced, to `spans`.
pub fn append_token(spans: &mut Vec<Span>, index: u32, version: u64) {
    match spans.last_mut() {
        Some(last) if last.version == version && last.to == index => last.to += 1,
        _ => spans.push(Span {
            version,
            from: index,
            to: index + 1,
        }),
    }
}

/// Returns the oldest version in `spans`.
pub fn oldest_version(spans: &[Span]) -> Option<u64> {
    spans.iter().map(|span| span.version).min()
}

crate::record! {
    /// One sample.
    pub struct Sample {
        /// The id of the sample.
        pub id: Id,
        /// The id of the request under which engines generated it, as in their
        /// logs.
        pub request_id: String,
        /// The prompt.
        pub prompt: String,
        /// The tokens generated.
        pub tokens: Vec<String>,
        /// The versions that produced the tokens.
        pub spans: Vec<Span>,
        /// The score.
        pub score: f64,
    }
}

crate::record! {
    /// The complete content of a lot, as a trainer reads it.
    pub struct Lot {
        /// The trainer.
        pub trainer: String,
        /// The lot's number, counted over all steps.
        pub number: u64,
        /// The step that it belongs to.
        pub step: u64,
        /// Its samples in the order of their ids.
        pub samples: Vec<Sample>,
    }
}

crate::record! {
    /// The platform's record of a sealed lot. It is written once, and the
    /// digest in it determines the content.
    pub struct Manifest {
        /// The trainer.
        pub trainer: String,
        /// The lot's number, counted over all steps.
        pub number: u64,
        /// The step that it belongs to.
        pub step: u64,
        /// The newest version of the weights when the lot was sealed, against
        /// which the staleness of each sample was checked.
        pub newest_version: u64,
        /// The samples, without their tokens.
        pub samples: Vec<Entry>,
        /// SHA-256 of the content.
        pub digest: Digest,
        /// Length of the content in bytes.
        pub bytes: u64,
        /// Where the content is stored.
        pub content: Content,
    }
}

crate::record! {
    /// One sample in a [`Manifest`].
    pub struct Entry {
        /// The id of the sample.
        pub id: Id,
        /// The versions that produced its tokens.
        pub spans: Vec<Span>,
    }
}

crate::record! {
    /// Where the content of a lot is stored.
    #[serde(rename_all = "kebab-case")]
    pub enum Content {
        /// In the manifest itself.
        Inline(String),
        /// In the platform objects with these digests, in this order.
        Objects(Vec<Digest>),
        /// On the disks of these VMs, each of which has a complete copy.
        Disks(Vec<String>),
    }
}

crate::record! {
    /// The VM that produces a lot.
    pub struct Claim {
        /// The name of the VM.
        pub owner: String,
        /// The epoch, which increases with each change of the owner.
        pub epoch: u64,
    }
}

crate::record! {
    /// The prompts of one step.
    pub struct Step {
        /// One prompt for each group.
        pub prompts: Vec<String>,
    }
}

crate::record! {
    /// How far a trainer has acknowledged its lots.
    copy pub struct Cursor {
        /// The number of the last lot acknowledged.
        pub acknowledged: u64,
    }
}

impl Cursor {
    /// The kind of the objects that hold cursors.
    pub const KIND: &str = "cursor";
}
