//! The seeds of tests that draw their faults.

use std::ops::Range;

/// Environment variable with the seeds to run, as `FIRST..END`.
const VARIABLE: &str = "TARRAGONSEAM_SEEDS";

/// Returns the seeds to run: those of the environment variable
/// `TARRAGONSEAM_SEEDS`, such as `0..20`, or `default`.
///
/// # Panics
///
/// When the variable has another form.
///
/// # Examples
///
/// ```
/// use tarragonseam_fakes::seeds;
///
/// for seed in seeds::from_environment(4..6) {
///     println!("{seed}");
/// }
/// ```
pub fn from_environment(default: Range<u64>) -> Range<u64> {
    let Ok(text) = std::env::var(VARIABLE) else {
        return default;
    };
    let (first, end) = text.split_once("..").expect("FIRST..END");
    first.parse().expect("FIRST")..end.parse().expect("END")
}
