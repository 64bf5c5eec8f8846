//! A histogram of durations in which recent values weigh more than old ones.

use std::time::Duration;

const BUCKETS: usize = 192;
const BUCKETS_PER_OCTAVE: f64 = 8.0;
/// The upper bound of the first bucket.
const FIRST_BUCKET_US: f64 = 10.0;

/// All counts are halved when their total reaches this number, so that old
/// values lose weight.
const TOTAL_MAX: u32 = 512;

/// Counts of durations in buckets whose bounds grow by an eighth of an octave,
/// from ten microseconds to about two minutes. A quantile is accurate to 9
/// percent.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use tarragonseam_board::histogram::Histogram;
///
/// let mut latency = Histogram::default();
/// for millis in 1..=100 {
///     latency.add(Duration::from_millis(millis));
/// }
/// let median = latency.quantile(0.5).unwrap();
/// assert!(median >= Duration::from_millis(50) && median < Duration::from_millis(60));
/// ```
#[derive(Clone, Debug)]
pub struct Histogram {
    counts: [u32; BUCKETS],
    total: u32,
}

impl Default for Histogram {
    fn default() -> Self {
        Self {
            counts: [0; BUCKETS],
            total: 0,
        }
    }
}

impl Histogram {
    /// Adds a value.
    pub fn add(&mut self, value: Duration) {
        self.counts[bucket_index(value)] += 1;
        self.total += 1;
        if self.total >= TOTAL_MAX {
            self.halve();
        }
    }

    /// Returns the total of all counts. It drops when the counts are halved.
    pub const fn count(&self) -> u32 {
        self.total
    }

    /// Returns an upper bound of the quantile `quantile`, from 0 to 1, or
    /// `None` if the histogram is empty.
    pub fn quantile(&self, quantile: f64) -> Option<Duration> {
        let rank = (f64::from(self.total) * quantile).ceil().max(1.0) as u32;
        let mut seen = 0;
        for (index, count) in self.counts.iter().enumerate() {
            seen += count;
            if seen >= rank {
                return Some(upper_bound(index));
            }
        }
        None
    }

    fn halve(&mut self) {
        for count in &mut self.counts {
            *count /= 2;
        }
        self.total = self.counts.iter().sum();
    }
}

fn bucket_index(value: Duration) -> usize {
    let octaves = (value.as_secs_f64() * 1e6 / FIRST_BUCKET_US).log2();
    let index = (octaves * BUCKETS_PER_OCTAVE).ceil().max(0.0);
    (index as usize).min(BUCKETS - 1)
}

fn upper_bound(index: usize) -> Duration {
    let micros = FIRST_BUCKET_US * (index as f64 / BUCKETS_PER_OCTAVE).exp2();
    // Rounding up keeps the bound at or above each value of its bucket.
    Duration::from_micros(micros.ceil() as u64)
}
