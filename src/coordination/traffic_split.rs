//! Weighted selection of a service for a route that splits its requests.
//!
//! A low-discrepancy sequence keeps every run of consecutive requests close to the weights, whereas
//! random selection would deviate over short runs.

/// Fractional part of the golden ratio. Its multiples are spread evenly over the unit interval.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_895;

/// Index of the weight to which the request with this number is assigned.
///
/// ```
/// use tarragoncourse::coordination::traffic_split::weighted_index;
/// let firsts = (0..1000).filter(|n| weighted_index(&[90, 10], *n) == 0).count();
/// assert!((895..=905).contains(&firsts));
/// ```
pub fn weighted_index(weights: &[u32], request_number: u64) -> usize {
    let total: f64 = weights.iter().map(|w| f64::from(*w)).sum();
    let mut remaining = (request_number as f64 * GOLDEN_RATIO_FRACTION).fract() * total;
    for (index, weight) in weights.iter().enumerate() {
        remaining -= f64::from(*weight);
        if remaining < 0.0 {
            return index;
        }
    }
    // Reached if rounding leaves a remainder of zero or more, or if all weights are zero.
    weights.iter().rposition(|w| *w > 0).unwrap_or(0)
}
