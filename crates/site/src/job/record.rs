//! The objects that a job consists of in the store.
//!
//! What keepers must hear of, that a job exists, who runs it and that it was
//! ended, is small and of one kind, which they follow. What a job holds, its
//! items and samples, is of a kind of its own, which only the VMs read that
//! run the job or answer for it. So what a VM hears, and what it lists when it
//! starts, does not grow with the texts of a day.

use std::net::SocketAddr;

use platform::batch::{Item, Sample};

use super::text::Text;

/// The kind of the objects that are followed.
pub const KIND: &str = "rollout-jobs";

board::record! {
    /// A job as it was accepted, without its items.
    pub struct Head {
        /// The client account that it belongs to.
        pub account: Option<String>,
        /// The host that it was submitted to.
        pub host: String,
        /// The path that it was submitted to.
        pub path: String,
        /// The VM that accepted it, which runs it first.
        pub vm: String,
        /// Where other VMs reach that one.
        pub address: Option<SocketAddr>,
        /// When it was submitted, in milliseconds since 1970.
        pub submitted_ms: u64,
        /// The model that makes the samples.
        pub model: Option<String>,
        /// The oldest version of the weights that may make a token.
        pub oldest_version: Option<u64>,
        /// How many items it has.
        pub items: usize,
        /// How long endpoints work for them, by what was seen of the model, in
        /// milliseconds.
        pub work_ms: u64,
    }
}

board::record! {
    /// Samples at consecutive positions.
    pub struct Page {
        /// The VM that made it.
        pub vm: String,
        /// The samples.
        pub samples: Vec<Sample>,
    }
}

board::record! {
    /// A VM that runs a job from now on.
    pub struct Claim {
        /// The VM; empty if the one before gave the job up.
        pub vm: String,
        /// Where other VMs reach it.
        pub address: Option<SocketAddr>,
    }
}

board::record! {
    /// A VM that runs jobs is alive.
    pub struct Heartbeat {
        /// A number that differs from the one before, so that the write is
        /// heard of.
        pub number: u64,
        /// The endpoints that it found slower than others.
        #[serde(default)]
        pub slow: Vec<String>,
    }
}

board::record! {
    /// What the items under way have made so far.
    #[derive(Default)]
    pub struct Progress {
        /// The items with their texts.
        pub texts: Vec<(String, Text)>,
    }
}

/// Some items of a job; an object is 1 MB at most, and a job may be larger.
pub type Items = Vec<Item>;

/// The name of an object that is followed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Name {
    /// A part of a job.
    Job {
        /// The job.
        job: String,
        /// What the object holds.
        part: Part,
    },
    /// The [`Heartbeat`] of a VM.
    Heartbeat(String),
}

/// What an object of a job holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// The [`Head`].
    Head,
    /// The [`Claim`] with this number.
    Claim(u32),
    /// Nothing: that it exists ends the job.
    End,
}

/// What the name of a [`Heartbeat`] begins with; no id of a job does.
const HEARTBEAT_PREFIX: char = '~';

impl Name {
    /// Returns the name of `part` of `job`.
    pub fn new(job: &str, part: Part) -> Self {
        let job = job.to_string();
        Self::Job { job, part }
    }

    /// Returns the name in the store. Names of one job stand together, the
    /// head first.
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

    /// Reads a name; `None` if it is not one of these.
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

/// The name of an object that holds some of what a job consists of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ContentName {
    /// The [`Progress`], which is replaced as it grows.
    Progress,
    /// The [`Items`] with this number.
    Items(u32),
    /// The [`Page`] with this number.
    Page(u32),
}

/// The name after which pages stand, and before which all else.
pub(crate) const LIST_PAGES_AFTER: &str = "o";

impl ContentName {
    /// Returns the kind of the objects that hold what `job` consists of.
    pub fn kind(job: &str) -> String {
        format!("rollout-job-{job}")
    }

    /// Returns the name in the store. Pages stand last, so that those after a
    /// known one can be listed alone.
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

    /// Reads a name; `None` if it is not one of these.
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

/// The longest id of a job.
const ID_BYTES_MAX: usize = 100;

/// Returns whether `id` can name a job.
pub fn is_valid_id(id: &str) -> bool {
    let fits = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    !id.is_empty() && id.len() <= ID_BYTES_MAX && id.bytes().all(fits)
}
