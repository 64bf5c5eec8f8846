//! Usage of each client account by window of time.

use std::collections::BTreeMap;

use crate::hash::Map;

crate::record! {
    /// The number of a window: wall-clock milliseconds divided by its length.
    #[derive(Default)]
    copy pub struct Window(pub u64);
}

crate::record! {
    /// What an account used.
    #[derive(Default)]
    #[serde(default)]
    copy pub struct Figures {
        /// Requests answered, whole or in part.
        pub requests: u64,
        /// Tokens of prompts.
        pub tokens_in: u64,
        /// Tokens generated.
        pub tokens_out: u64,
    }
}

impl Figures {
    /// Adds `other`.
    pub fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.tokens_in += other.tokens_in;
        self.tokens_out += other.tokens_out;
    }
}

/// Figures by account.
pub type Sheet = BTreeMap<String, Figures>;

/// The usage that this VM has measured.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    windows: Map<Window, Sheet>,
}

impl Ledger {
    /// Adds `figures` to an account's use in `window`.
    pub fn add(&mut self, window: Window, account: &str, figures: Figures) {
        let sheet = self.windows.entry(window).or_default();
        sheet.entry(account.to_string()).or_default().add(figures);
    }

    /// Returns the figures of `window`.
    pub fn sheet(&self, window: Window) -> Sheet {
        self.windows.get(&window).cloned().unwrap_or_default()
    }

    /// Returns the windows that hold figures.
    pub fn windows(&self) -> Vec<Window> {
        let mut windows: Vec<_> = self.windows.keys().copied().collect();
        windows.sort_unstable();
        windows
    }
}
