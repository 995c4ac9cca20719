//! Division of a target's capacity between the arms.

/// Divides `total` into whole parts in proportion to `shares`: the remainder goes to the largest
/// fractions. Each part is at least 1, so the sum may exceed `total`.
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
    let divided: u32 = parts.iter().sum();
    let remainder = total.saturating_sub(divided) as usize;
    for (_, index) in fractions.iter().take(remainder) {
        parts[*index] += 1;
    }
    for part in &mut parts {
        *part = (*part).max(1);
    }
    parts
}
