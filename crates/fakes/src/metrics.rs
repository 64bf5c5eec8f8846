//! Parses the metrics page of a daemon.

/// One line of the page: a metric with its labels, and its value.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample<'a> {
    /// The name of the metric, with its labels in braces if it has any.
    pub series: &'a str,
    /// The value.
    pub value: f64,
}

impl<'a> Sample<'a> {
    /// Returns the name of the metric without its labels.
    pub fn name(&self) -> &'a str {
        self.series.split('{').next().unwrap_or_default()
    }

    /// Returns the value if it is a non-negative integer, as that of a counter
    /// is.
    pub fn count(&self) -> Option<u64> {
        let is_integer = self.value >= 0.0 && self.value.fract() == 0.0;
        is_integer.then_some(self.value as u64)
    }

    /// Returns the value of the label `name`.
    pub fn label(&self, name: &str) -> Option<&'a str> {
        let (_, rest) = self.series.split_once(&format!("{name}=\""))?;
        rest.split('"').next()
    }
}

/// Returns the samples of a page in the Prometheus text format.
///
/// # Examples
///
/// ```
/// let page = "# TYPE calls counter\ncalls{result=\"failed\"} 2\n";
/// let samples: Vec<_> = tarragonseam_fakes::metrics::samples(page).collect();
/// assert_eq!(samples.len(), 1);
/// assert_eq!(samples[0].name(), "calls");
/// assert_eq!(samples[0].label("result"), Some("failed"));
/// assert_eq!(samples[0].count(), Some(2));
/// ```
pub fn samples(page: &str) -> impl Iterator<Item = Sample<'_>> {
    let lines = page.lines().filter(|line| !line.starts_with('#'));
    lines.filter_map(|line| {
        let (series, value) = line.rsplit_once(' ')?;
        let value = value.parse().ok()?;
        Some(Sample { series, value })
    })
}
