/// Divides `total` by max-min fairness.
///
/// No part exceeds what is wanted, and one part is smaller than another only if less is wanted or
/// by the remainder of the division.
pub(super) fn divide_fairly(total: u32, wanted: &[u32]) -> Vec<u32> {
    let mut given = vec![0; wanted.len()];
    let mut left = total;
    let mut order: Vec<usize> = (0..wanted.len()).collect();
    order.sort_by_key(|i| wanted[*i]);
    for (rank, i) in order.iter().enumerate() {
        let remaining = (wanted.len() - rank) as u32;
        let equal_share = left / remaining + u32::from(!left.is_multiple_of(remaining));
        given[*i] = wanted[*i].min(equal_share);
        left -= given[*i];
    }
    given
}

/// Divides `total` in proportion to `weights`, rounding each part down.
pub(super) fn divide_by_weight(total: u32, weights: &[u32]) -> Vec<u32> {
    let sum: u64 = weights.iter().map(|weight| u64::from(*weight)).sum();
    if sum == 0 {
        return vec![0; weights.len()];
    }
    let part = |weight: &u32| (u64::from(total) * u64::from(*weight) / sum) as u32;
    weights.iter().map(part).collect()
}

/// Returns the weight of an entry in the division of slots that nobody needs.
///
/// The weight grows with the square root of the demand, as the variation of the demand does.
pub(super) fn headroom_weight(wanted: u32) -> u32 {
    const SCALE: f64 = 100.0;
    (SCALE * f64::from(wanted).sqrt()).ceil() as u32
}
