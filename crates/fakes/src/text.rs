//! The text that engines produce, which depends on the request alone, so that
//! any engine can resume a stream.

use std::hash::{DefaultHasher, Hash, Hasher};

const WORDS: [&str; 32] = [
    "acid", "apple", "bitter", "bright", "caramel", "clean", "cloudy", "crisp", "dry", "earthy",
    "finish", "floral", "fresh", "fruit", "golden", "honey", "lemon", "light", "long", "mellow",
    "oak", "orchard", "pear", "rich", "ripe", "round", "sharp", "smoke", "soft", "spice", "sweet",
    "tannin",
];
const PREFIX_WORDS: usize = 32;
const NATURAL_TOKENS_MIN: u64 = 8;
const NATURAL_TOKENS_RANGE: u64 = 120;
/// One text in this many is a straggler.
const STRAGGLER_ONE_IN: u64 = 8;
/// The length of a straggler, as a multiple of the usual length.
const STRAGGLER_FACTOR: u64 = 4;

/// Returns a hash that is the same in all processes.
pub(crate) fn hash(value: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// Returns the token at `index` of the text for a request.
///
/// # Examples
///
/// ```
/// use tarragonseam_fakes::text;
///
/// let first = text::token("notes", "a dry cider", 7, 0);
/// assert_eq!(first, text::token("notes", "a dry cider", 7, 0));
/// ```
pub fn token(model: &str, prompt: &str, seed: u64, index: u64) -> &'static str {
    let word = hash((model, prompt, seed, index)) % WORDS.len() as u64;
    WORDS[word as usize]
}

/// Returns the number of tokens after which the text for a request ends by
/// itself. For one request in eight, a straggler, the number is four times as
/// large.
pub fn natural_length(model: &str, prompt: &str, seed: u64) -> u64 {
    let drawn = hash((model, prompt, seed, "length"));
    let length = NATURAL_TOKENS_MIN + drawn % NATURAL_TOKENS_RANGE;
    let is_straggler = (drawn >> 32).is_multiple_of(STRAGGLER_ONE_IN);
    if is_straggler {
        length * STRAGGLER_FACTOR
    } else {
        length
    }
}

/// Returns the cache key of the prefix of `prompt`, which consists of its first
/// 32 words.
pub fn prefix(prompt: &str) -> String {
    let words: Vec<&str> = prompt.split_whitespace().take(PREFIX_WORDS).collect();
    format!("{:016x}", hash(words))
}
