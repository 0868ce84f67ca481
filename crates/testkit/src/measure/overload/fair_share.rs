//! Max-min fair shares of a capacity.

/// Returns the max-min fair share of each demand: small demands are met whole, and the others
/// share evenly what is left.
pub fn fair_shares(demands: &[f64], capacity: f64) -> Vec<f64> {
    let mut order: Vec<_> = (0..demands.len()).collect();
    order.sort_by(|left, right| demands[*left].total_cmp(&demands[*right]));
    let (mut shares, mut left) = (vec![0.0; demands.len()], capacity);
    for (served, position) in order.iter().enumerate() {
        let even = left / (demands.len() - served) as f64;
        let share = demands[*position].min(even);
        shares[*position] = share;
        left -= share;
    }
    shares
}
