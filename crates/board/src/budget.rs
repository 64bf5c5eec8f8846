//! Token budgets for retries and hedged requests: answered requests earn
//! tokens, and extra attempts spend them.

/// A budget of tokens, counted in thousandths of a token.
///
/// # Examples
///
/// ```
/// use tarragonseam_board::budget::Budget;
///
/// let mut budget = Budget::new(2);
/// assert!(budget.try_spend() && budget.try_spend());
/// assert!(!budget.try_spend());
/// budget.earn(500);
/// assert!(!budget.try_spend());
/// budget.earn(500);
/// assert!(budget.try_spend());
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    milli: u32,
    max_milli: u32,
}

const MILLI_PER_TOKEN: u32 = 1000;

impl Budget {
    /// Returns a full budget with a maximum of `tokens`.
    pub const fn new(tokens: u32) -> Self {
        let max_milli = tokens.saturating_mul(MILLI_PER_TOKEN);
        Self {
            milli: max_milli,
            max_milli,
        }
    }

    /// Returns whether at least one token is left.
    pub const fn has_token(&self) -> bool {
        self.milli >= MILLI_PER_TOKEN
    }

    /// Spends a token if there is one, and returns whether it was spent.
    pub const fn try_spend(&mut self) -> bool {
        if !self.has_token() {
            return false;
        }
        self.milli -= MILLI_PER_TOKEN;
        true
    }

    /// Adds thousandths of a token, up to the maximum.
    pub fn earn(&mut self, milli: u32) {
        self.milli = self.milli.saturating_add(milli).min(self.max_milli);
    }
}
