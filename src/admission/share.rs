//! How a target's slots are divided between the arms.

/// Whole slots for each share: in proportion, with the remainder going to the largest fractions, and
/// at least one slot for each.
pub(super) fn divide(total: u32, shares: &[f64]) -> Vec<u32> {
    let sum: f64 = shares.iter().sum();
    let mut parts = Vec::with_capacity(shares.len());
    let mut fractions = Vec::with_capacity(shares.len());
    for (index, share) in shares.iter().enumerate() {
        let exact = if sum > 0.0 { f64::from(total) * share / sum } else { 0.0 };
        parts.push(exact.floor() as u32);
        fractions.push((exact - exact.floor(), index));
    }
    fractions.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
    let given: u32 = parts.iter().sum();
    let rest = total.saturating_sub(given) as usize;
    for (_, index) in fractions.iter().take(rest) {
        parts[*index] += 1;
    }
    for part in &mut parts {
        *part = (*part).max(1);
    }
    parts
}
