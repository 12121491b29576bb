/// Divides `total` by max-min fairness: nobody gets more than wanted, and nobody gets less than
/// another but for wanting less.
pub(super) fn divide_fairly(total: u32, wanted: &[u32]) -> Vec<u32> {
    let mut given = vec![0; wanted.len()];
    let mut left = total;
    let mut order: Vec<usize> = (0..wanted.len()).collect();
    order.sort_by_key(|i| wanted[*i]);
    for (place, i) in order.iter().enumerate() {
        let rest = (wanted.len() - place) as u32;
        let even = left / rest + u32::from(!left.is_multiple_of(rest));
        given[*i] = wanted[*i].min(even);
        left -= given[*i];
    }
    given
}

/// Divides all of `total` in proportion to `weights`.
pub(super) fn divide_by_weight(total: u32, weights: &[u32]) -> Vec<u32> {
    let sum: u64 = weights.iter().map(|weight| u64::from(*weight)).sum();
    if sum == 0 {
        return vec![0; weights.len()];
    }
    let part = |weight: &u32| (u64::from(total) * u64::from(*weight) / sum) as u32;
    weights.iter().map(part).collect()
}

/// Weight of an entry in slots that nobody needs: demand varies with its square root.
pub(super) fn headroom_weight(wanted: u32) -> u32 {
    const SCALE: f64 = 100.0;
    (SCALE * f64::from(wanted).sqrt()).ceil() as u32
}
