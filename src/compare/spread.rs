//! A figure over repeats.

use serde::Serialize;

/// The median of repeats, with the least and the greatest of them.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Spread {
    /// The median; the mean of the middle two where their number is even.
    pub median: f64,
    /// The least.
    pub min: f64,
    /// The greatest.
    pub max: f64,
    /// How many there are.
    pub repeats: usize,
}

impl Spread {
    /// The spread of some values; none where there are none.
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
