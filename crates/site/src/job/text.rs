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
        /// The versions of the weights that produced the events.
        versions: Vec<u64>,
        /// Whether no more events follow.
        #[serde(rename = "is_whole")]
        is_complete: bool,
    }
}

/// The error for an event whose id does not follow that of the event before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gap;

impl Text {
    /// Adds an event that weights of `version` produced. An event that the text
    /// has already is ignored.
    ///
    /// # Errors
    ///
    /// [`Gap`] if an earlier event is missing or the event has no id.
    pub fn push(&mut self, event: &Event, version: Option<u64>) -> Result<(), Gap> {
        let id = event.id.ok_or(Gap)?;
        match self.last {
            Some(last) if id <= last => return Ok(()),
            Some(last) if id - 1 != last => return Err(Gap),
            Some(_) => self.data.push('\n'),
            None => {}
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
    /// older than `oldest`, and `is_single_version` allows only one version.
    pub fn is_usable(&self, oldest: u64, is_single_version: bool) -> bool {
        let is_recent_enough = self.versions.iter().all(|version| *version >= oldest);
        is_recent_enough && (!is_single_version || self.versions.len() <= 1)
    }

    /// Returns the data of the events and the versions of the weights.
    pub fn into_parts(self) -> (String, Vec<u64>) {
        (self.data, self.versions)
    }
}
