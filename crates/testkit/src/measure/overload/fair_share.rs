//! Max-min fair division of a capacity.

/// Returns the max-min fair share of each demand, in the unit of the demands: small demands are
/// met in full, and the others share the rest evenly.
pub fn fair_shares(demands: &[f64], capacity: f64) -> Vec<f64> {
    let mut order: Vec<_> = (0..demands.len()).collect();
    order.sort_by(|left, right| demands[*left].total_cmp(&demands[*right]));
    let (mut shares, mut remaining) = (vec![0.0; demands.len()], capacity);
    for (assigned, position) in order.iter().enumerate() {
        let even = remaining / (demands.len() - assigned) as f64;
        let share = demands[*position].min(even);
        shares[*position] = share;
        remaining -= share;
    }
    shares
}
