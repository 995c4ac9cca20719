//! Median, minimum and maximum of a figure over repeated runs.

use serde::Serialize;

/// The median, minimum and maximum of repeated values.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Spread {
    /// The median; for an even number of values the mean of the middle two.
    pub median: f64,
    /// The minimum.
    pub min: f64,
    /// The maximum.
    pub max: f64,
    /// The number of values.
    pub repeats: usize,
}

impl Spread {
    /// The spread of `values`; `None` if there are none.
    pub fn of(values: impl IntoIterator<Item = f64>) -> Option<Self> {
        let mut values: Vec<f64> = values.into_iter().collect();
        values.sort_by(f64::total_cmp);
        let (min, max) = (*values.first()?, *values.last()?);
        let middle = values.len() / 2;
        let median = match values.len() % 2 {
            1 => values[middle],
            _ => (values[middle - 1] + values[middle]) / 2.0,
        };
        Some(Self { median, min, max, repeats: values.len() })
    }
}
