//! Samples, groups and lots of a trainer.

use std::fmt;

use crate::key::Digest;

crate::record! {
    /// The name of one sample. The same name always means the same place in
    /// the same step.
    pub struct Id {
        /// The trainer.
        pub trainer: String,
        /// The step.
        pub step: u64,
        /// The prompt's place in the step.
        pub group: u32,
        /// The sample's place in its group.
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
    /// Tokens in a row that one version of the weights produced.
    copy pub struct Span {
        /// The version.
        pub version: u64,
        /// Index of the first token.
        pub from: u32,
        /// Index after the last token.
        pub to: u32,
    }
}

/// Adds the token at `index` to `spans`.
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
        /// Its name.
        pub id: Id,
        /// The id under which engines ran it, as their logs show it.
        pub request_id: String,
        /// The prompt.
        pub prompt: String,
        /// The tokens generated.
        pub tokens: Vec<String>,
        /// Which versions produced them.
        pub spans: Vec<Span>,
        /// The score.
        pub score: f64,
    }
}

crate::record! {
    /// The whole content of a lot, as a trainer draws it.
    pub struct Lot {
        /// The trainer.
        pub trainer: String,
        /// The lot's number, counted over all steps.
        pub number: u64,
        /// The step that it belongs to.
        pub step: u64,
        /// Its samples in the order of their names.
        pub samples: Vec<Sample>,
    }
}

crate::record! {
    /// What the platform keeps of a sealed lot. It is written once, and its
    /// digest fixes the content.
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
        /// Where the content is.
        pub content: Content,
    }
}

crate::record! {
    /// One sample in a [`Manifest`].
    pub struct Entry {
        /// Its name.
        pub id: Id,
        /// Which versions produced its tokens.
        pub spans: Vec<Span>,
    }
}

crate::record! {
    /// Where the content of a lot is.
    #[serde(rename_all = "kebab-case")]
    pub enum Content {
        /// In the manifest itself.
        Inline(String),
        /// In objects of the platform, in this order.
        Objects(Vec<Digest>),
        /// On the disks of these VMs, whole on each.
        Disks(Vec<String>),
    }
}

crate::record! {
    /// Who produces a lot. The epoch grows with each change of the owner.
    pub struct Claim {
        /// The VM.
        pub owner: String,
        /// Counts the owners.
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
