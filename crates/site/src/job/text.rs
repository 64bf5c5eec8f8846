//! What an item has made so far, event by event.

use platform::stream::Event;

board::record! {
    /// The events of an item, kept so that another endpoint can go on.
    #[derive(Default)]
    pub struct Text {
        data: String,
        last: Option<u64>,
        versions: Vec<u64>,
        /// Whether the last event is the last of all.
        #[serde(rename = "is_whole")]
        is_complete: bool,
    }
}

/// An event that does not follow the one before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gap;

impl Text {
    /// Adds an event that weights of `version` made. An event that is there
    /// already is passed over.
    ///
    /// # Errors
    ///
    /// [`Gap`] if an event is missing before it.
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

    /// Returns the number of the last event, to go on after.
    pub fn last_event(&self) -> Option<u64> {
        self.last
    }

    /// Returns the versions of the weights that made it.
    pub fn versions(&self) -> &[u64] {
        &self.versions
    }

    /// Notes that no event follows.
    pub fn finish(&mut self) {
        self.is_complete = true;
    }

    /// Returns whether no event follows.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Returns how many bytes it has.
    pub fn len_bytes(&self) -> usize {
        self.data.len()
    }

    /// Returns whether a job may use it that takes no version before `oldest`,
    /// and one only if `is_single_version`.
    pub fn is_usable(&self, oldest: u64, is_single_version: bool) -> bool {
        let is_recent_enough = self.versions.iter().all(|version| *version >= oldest);
        is_recent_enough && (!is_single_version || self.versions.len() <= 1)
    }

    /// Returns text and versions.
    pub fn into_parts(self) -> (String, Vec<u64>) {
        (self.data, self.versions)
    }
}
