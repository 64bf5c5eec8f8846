//! Which parts of prompts an endpoint still holds, as one VM knows it from its
//! own requests.
//!
//! Other VMs' requests and generated text also use the endpoint's memory, so an
//! endpoint may hold less than is recorded. Then the request reads its prompt,
//! as it would have to elsewhere.

use board::hash::Map;

/// A part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// A hash of its id and of the model that reads it.
    pub id: u64,
    /// Its tokens.
    pub tokens: u32,
}

/// The most parts that are recorded for one endpoint. A record takes about
/// 40 bytes, so those of 48 endpoints take less than 1 MB on a VM with 120 MB.
pub const PARTS_MAX: usize = 384;

#[derive(Clone, Copy, Debug)]
struct Entry {
    tokens: u32,
    /// The number of the use that was the last one.
    used: u64,
}

/// The parts that an endpoint holds, least recently used first out.
#[derive(Clone, Debug, Default)]
pub struct Kept {
    entries: Map<u64, Entry>,
    tokens: u64,
    uses: u64,
}

impl Kept {
    /// Records that the endpoint, which has memory for `capacity` tokens, reads
    /// the prompt with these parts.
    ///
    /// # Examples
    ///
    /// ```
    /// use tarragonseam_policy::prompt::{Kept, Part};
    ///
    /// let (shared, own) = (Part { id: 1, tokens: 300 }, Part { id: 2, tokens: 40 });
    /// let mut kept = Kept::default();
    /// kept.record(&[shared, own], 80_000);
    /// assert_eq!(kept.held(&[shared, Part { id: 3, tokens: 50 }]), 300);
    /// ```
    pub fn record(&mut self, parts: &[Part], capacity: u64) {
        // The later parts of a prompt are of no use without the earlier ones, so
        // they are evicted before them.
        for part in parts.iter().rev() {
            self.uses += 1;
            let (tokens, used) = (part.tokens, self.uses);
            let known = self.entries.insert(part.id, Entry { tokens, used });
            self.tokens += u64::from(tokens);
            self.tokens -= known.map_or(0, |known| u64::from(known.tokens));
        }
        while self.tokens > capacity || self.entries.len() > PARTS_MAX {
            let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.used);
            let Some(id) = oldest.map(|(id, _)| *id) else {
                break;
            };
            if let Some(evicted) = self.entries.remove(&id) {
                self.tokens -= u64::from(evicted.tokens);
            }
        }
    }

    /// Returns the tokens of the prompt with these parts that need not be read
    /// again: those of its first parts up to one that is not held.
    pub fn held(&self, parts: &[Part]) -> u64 {
        let held = parts
            .iter()
            .take_while(|part| self.entries.contains_key(&part.id));
        held.map(|part| u64::from(part.tokens)).sum()
    }

    /// Returns the number of parts that are recorded.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no part is recorded.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the tokens of all parts that are recorded.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }
}

/// Returns the tokens of all `parts`.
pub fn total(parts: &[Part]) -> u64 {
    parts.iter().map(|part| u64::from(part.tokens)).sum()
}

/// Returns how much of the shared parts of a prompt `held` tokens are, from 0 to
/// 4 quarters. The last part belongs to one request alone. Endpoints that hold
/// nearly the same share count as equal.
pub fn quarters(held: u64, parts: &[Part]) -> u8 {
    let shared = match parts {
        [] => return 0,
        [only] => std::slice::from_ref(only),
        [shared @ .., _] => shared,
    };
    (held.saturating_mul(4) / total(shared).max(1)).min(4) as u8
}
