//! The objects that a job consists of in the store.
//!
//! Coordinators watch one kind, [`KIND`]: heads, claims and end markers of all
//! jobs, and heartbeats of VMs, all of which are small. The content of a job,
//! that is its items, pages and saved progress, has a kind of its own. Only VMs
//! that run the job or answer calls about it read this kind, so the data that
//! each coordinator lists at its start and watches afterwards does not grow
//! with the size of the texts.

use std::net::SocketAddr;

use platform::batch::Sample;

use super::text::Text;

/// The kind of the objects that coordinators watch.
pub const KIND: &str = "rollout-jobs";

board::record! {
    /// The properties of a job when it was accepted, without its items. Once
    /// the head exists in the store, the job is accepted.
    pub struct Head {
        /// The client account that submitted the job.
        pub account: Option<String>,
        /// The host of the route that it was submitted to.
        pub host: String,
        /// The path that it was submitted to, without its query.
        pub path: String,
        /// The VM that accepted it, which runs it first.
        pub vm: String,
        /// The peer address of that VM.
        pub address: Option<SocketAddr>,
        /// When it was submitted, in milliseconds since the Unix epoch.
        pub submitted_ms: u64,
        /// The model that produces the samples.
        pub model: Option<String>,
        /// The oldest version of the weights that may produce a token.
        pub oldest_version: Option<u64>,
        /// The number of items.
        pub items: usize,
        /// The estimated endpoint time for all items, in milliseconds.
        pub work_ms: u64,
        /// The number of groups that the trainer waits for. Heads of earlier
        /// builds do not have it.
        #[serde(default)]
        pub groups_wanted: Option<usize>,
    }
}

board::record! {
    /// Samples at consecutive positions, after those of the page before. The
    /// page of a VM that takes the job over may have none: see
    /// [`Content::write_fence`](super::content::Content::write_fence).
    pub struct Page {
        /// The VM that wrote the page.
        pub vm: String,
        /// The samples in the order of their positions.
        pub samples: Vec<Sample>,
    }
}

board::record! {
    /// The claim of a VM to run a job, or the release of a job. Claims are
    /// numbered, and the one with the highest number is in force.
    pub struct Claim {
        /// The VM that runs the job from now on; empty if the holder released
        /// it.
        pub vm: String,
        /// The peer address of that VM.
        pub address: Option<SocketAddr>,
    }
}

board::record! {
    /// A heartbeat of a VM that runs jobs, overwritten periodically.
    pub struct Heartbeat {
        /// A number that differs from that of the last heartbeat, so that
        /// each write changes the object and watchers receive it.
        pub number: u64,
        /// The ids of endpoints that this VM measured as slower than others.
        #[serde(default)]
        pub slow: Vec<String>,
    }
}

board::record! {
    /// The texts of unfinished items, from which another VM can resume them.
    #[derive(Default)]
    pub struct Progress {
        /// Pairs of item id and text.
        pub texts: Vec<(String, Text)>,
    }
}

/// The name of an object of the kind [`KIND`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Name {
    /// An object of a job.
    Job {
        /// The id of the job.
        job: String,
        /// What the object contains.
        part: Part,
    },
    /// The [`Heartbeat`] of a VM.
    Heartbeat(String),
}

/// The content of an object of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// The [`Head`].
    Head,
    /// The [`Claim`] with this number.
    Claim(u32),
    /// An empty object, whose existence ends the job.
    End,
}

/// The prefix of the names of heartbeats. Job ids cannot start with it.
const HEARTBEAT_PREFIX: char = '~';

impl Name {
    /// Returns the name of `part` of `job`.
    pub fn new(job: &str, part: Part) -> Self {
        let job = job.to_string();
        Self::Job { job, part }
    }

    /// Returns the name in the store. The names of a job sort next to each
    /// other, the head first.
    ///
    /// # Examples
    ///
    /// ```
    /// use tarragonseam_site::job::record::{Name, Part};
    ///
    /// let name = Name::new("7c41", Part::Claim(3));
    /// assert_eq!(name.encode(), "7c41.c00003");
    /// assert_eq!(Name::decode("7c41.c00003"), Some(name));
    /// ```
    pub fn encode(&self) -> String {
        match self {
            Self::Heartbeat(vm) => format!("{HEARTBEAT_PREFIX}{vm}"),
            Self::Job { job, part } => match part {
                Part::Head => job.clone(),
                Part::Claim(number) => format!("{job}.c{number:05}"),
                Part::End => format!("{job}.e"),
            },
        }
    }

    /// Parses a name from the store; `None` if it has another form.
    pub fn decode(text: &str) -> Option<Self> {
        if let Some(vm) = text.strip_prefix(HEARTBEAT_PREFIX) {
            return Some(Self::Heartbeat(vm.to_string()));
        }
        let Some((job, part)) = text.split_once('.') else {
            return Some(Self::new(text, Part::Head));
        };
        let part = match part.as_bytes().first()? {
            b'c' => Part::Claim(part.get(1..)?.parse().ok()?),
            b'e' if part.len() == 1 => Part::End,
            _ => return None,
        };
        Some(Self::new(job, part))
    }
}

/// The name of an object with content of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ContentName {
    /// The [`Progress`], which is overwritten as it grows.
    Progress,
    /// The [`Items`](platform::items::Items) with this number: the store limits an object
    /// to 1 MB, and a job may be larger.
    Items(u32),
    /// The [`Page`] with this number.
    Page(u32),
}

/// A name that sorts after all other content and before all pages; listing
/// after it yields only pages.
pub(crate) const LIST_PAGES_AFTER: &str = "o";

/// The prefix of the kinds with the content of jobs. The id of the job follows.
const KIND_PREFIX: &str = "rollout-job-";

impl ContentName {
    /// Returns the kind of the objects with the content of `job`.
    pub fn kind(job: &str) -> String {
        format!("{KIND_PREFIX}{job}")
    }

    /// Returns whether the objects of `kind` are the content of a job.
    pub fn is_kind(kind: &str) -> bool {
        kind.starts_with(KIND_PREFIX)
    }

    /// Returns the name in the store. Pages sort last, so that a reader can
    /// list only the pages after one that it has.
    ///
    /// # Examples
    ///
    /// ```
    /// use tarragonseam_site::job::record::ContentName;
    ///
    /// assert_eq!(ContentName::Page(3).encode(), "p00003");
    /// assert_eq!(ContentName::decode("p00003"), Some(ContentName::Page(3)));
    /// ```
    pub fn encode(&self) -> String {
        match self {
            Self::Progress => "a".to_string(),
            Self::Items(number) => format!("i{number:05}"),
            Self::Page(number) => format!("p{number:05}"),
        }
    }

    /// Parses a name from the store; `None` if it has another form.
    pub fn decode(text: &str) -> Option<Self> {
        let number = || text.get(1..)?.parse().ok();
        match text.as_bytes().first()? {
            b'a' if text.len() == 1 => Some(Self::Progress),
            b'i' => Some(Self::Items(number()?)),
            b'p' => Some(Self::Page(number()?)),
            _ => None,
        }
    }
}

/// The maximum length of a job id, which the names of its objects contain.
const ID_BYTES_MAX: usize = 100;

/// Returns whether `id` is allowed as a job id.
pub fn is_valid_id(id: &str) -> bool {
    let fits = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    !id.is_empty() && id.len() <= ID_BYTES_MAX && id.bytes().all(fits)
}
