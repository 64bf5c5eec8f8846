//! Budgets: tokens that successes earn and extra attempts spend.

/// Tokens of one budget, in thousandths.
///
/// # Examples
///
/// ```
/// use tarragonseam_board::budget::Budget;
///
/// let mut budget = Budget::new(2);
/// assert!(budget.take() && budget.take());
/// assert!(!budget.take());
/// budget.earn(500);
/// assert!(!budget.take());
/// budget.earn(500);
/// assert!(budget.take());
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    milli: u32,
    max_milli: u32,
}

const MILLI: u32 = 1000;

impl Budget {
    /// Returns a full budget of `tokens`.
    pub const fn new(tokens: u32) -> Self {
        let max_milli = tokens.saturating_mul(MILLI);
        Self {
            milli: max_milli,
            max_milli,
        }
    }

    /// Returns whether a whole token is left.
    pub const fn is_open(&self) -> bool {
        self.milli >= MILLI
    }

    /// Spends a token, and returns whether there was one.
    pub const fn take(&mut self) -> bool {
        if !self.is_open() {
            return false;
        }
        self.milli -= MILLI;
        true
    }

    /// Adds thousandths of a token, up to the full budget.
    pub fn earn(&mut self, milli: u32) {
        self.milli = self.milli.saturating_add(milli).min(self.max_milli);
    }
}
