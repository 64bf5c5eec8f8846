//! The text that endpoints have produced for an item so far.

use platform::stream::Event;

board::record! {
    /// The data of an item's events, from which another endpoint can resume
    /// the item.
    #[derive(Default)]
    pub struct Text {
        /// The data of the events, separated by line feeds.
        data: String,
        /// The id of the last event.
        last: Option<u64>,
        /// The version of the software of the endpoints that produced the events.
        /// It is missing in texts that earlier releases stored.
        #[serde(default)]
        software: Option<String>,
        /// The versions of the weights that produced the events.
        versions: Vec<u64>,
        /// Whether no more events follow.
        #[serde(rename = "is_whole")]
        is_complete: bool,
    }
}

/// What produced the events of a text, and has to produce those that follow.
#[derive(Clone, Copy, Debug, Hash, PartialEq, Eq)]
pub struct Source<'a> {
    /// The version of the software.
    pub software: &'a str,
    /// The version of the weights, if all events have to come from one.
    pub version: Option<u64>,
}

/// The longest text of an item. A longer one fits into no answer to a trainer, and the
/// events of a faulty endpoint may have no end.
const TEXT_BYTES_MAX: usize = 1_000_000;

/// The error for an event that does not continue the text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Mismatch {
    /// An earlier event is missing, or the event has no id.
    #[error("the stream of events has a gap")]
    Gap,
    /// No sample may have a text of this length.
    #[error("the text has more than {TEXT_BYTES_MAX} bytes")]
    TooLong,
    /// Another version of the software produced the events before.
    #[error("another software version produced the events before")]
    Software,
}

impl Text {
    /// Adds an event that weights of `version` produced at an endpoint with this
    /// version of the software. An event that the text has already is ignored.
    ///
    /// # Errors
    ///
    /// A [`Mismatch`] if the event does not continue the text.
    pub fn push(
        &mut self,
        event: &Event,
        version: Option<u64>,
        software: &str,
    ) -> Result<(), Mismatch> {
        let id = event.id.ok_or(Mismatch::Gap)?;
        if self.last.is_some() && self.software.as_deref() != Some(software) {
            return Err(Mismatch::Software);
        }
        match self.last {
            Some(last) if id <= last => return Ok(()),
            Some(last) if id - 1 != last => return Err(Mismatch::Gap),
            _ if self.data.len() + event.data.len() >= TEXT_BYTES_MAX => {
                return Err(Mismatch::TooLong);
            }
            Some(_) => self.data.push('\n'),
            None => self.software = Some(software.to_string()),
        }
        self.data.push_str(&event.data);
        self.last = Some(id);
        if let Some(version) = version
            && !self.versions.contains(&version)
        {
            self.versions.push(version);
        }
        Ok(())
    }

    /// Returns the id of the last event, after which the item can be resumed.
    pub fn last_event(&self) -> Option<u64> {
        self.last
    }

    /// Returns what has to produce the events that follow, or `None` if any endpoint may
    /// begin the text or none follow.
    pub fn source(&self, is_single_version: bool) -> Option<Source<'_>> {
        let software = self.software.as_deref().filter(|_| !self.is_complete)?;
        let version = self.versions.last().copied();
        Some(Source {
            software,
            version: version.filter(|_| is_single_version),
        })
    }

    /// Returns the versions of the weights that produced the text.
    pub fn versions(&self) -> &[u64] {
        &self.versions
    }

    /// Marks the text as complete.
    pub fn mark_complete(&mut self) {
        self.is_complete = true;
    }

    /// Returns whether the text is complete.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Returns the length of the text in bytes.
    pub fn len_bytes(&self) -> usize {
        self.data.len()
    }

    /// Returns whether a job may use the text: no version of the weights may be
    /// older than `oldest`, and `is_single_version` allows only one version. An
    /// incomplete text can be continued only if its software is known.
    pub fn is_usable(&self, oldest: u64, is_single_version: bool) -> bool {
        if !self.is_complete && self.last.is_some() && self.software.is_none() {
            return false;
        }
        let is_recent_enough = self.versions.iter().all(|version| *version >= oldest);
        is_recent_enough && (!is_single_version || self.versions.len() <= 1)
    }

    /// Returns the data of the events and the versions of the weights.
    pub fn into_parts(self) -> (String, Vec<u64>) {
        (self.data, self.versions)
    }
}
