//! Drawing a part of a split route by weight.
//!
//! A low-discrepancy sequence keeps every stretch of a node's requests close to the weights, where
//! random draws would drift on short ones.

/// Fractional part of the golden ratio: its multiples spread evenly over the unit interval.
const STRIDE: f64 = 0.618_033_988_749_895;

/// The part that the `n`th request goes to.
///
/// ```
/// use tarragoncourse::coordination::split::draw;
/// let firsts = (0..1000).filter(|n| draw(&[90, 10], *n) == 0).count();
/// assert!((895..=905).contains(&firsts));
/// ```
pub fn draw(weights: &[u32], n: u64) -> usize {
    let total: f64 = weights.iter().map(|w| f64::from(*w)).sum();
    let mut left = (n as f64 * STRIDE).fract() * total;
    for (at, weight) in weights.iter().enumerate() {
        left -= f64::from(*weight);
        if left < 0.0 {
            return at;
        }
    }
    weights.iter().rposition(|w| *w > 0).unwrap_or(0)
}
