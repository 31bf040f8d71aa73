//! Request rates.

use derive_more::Display;

/// Milli-requests in a request.
const MILLIS: f64 = 1000.0;

/// A rate of requests, with a resolution of one request per 1,000 seconds.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{}", self.per_second())]
pub struct RequestRate {
    millis_per_second: u64,
}

impl RequestRate {
    /// Creates a rate in requests per second. Returns `None` unless the number is finite and not
    /// negative.
    ///
    /// ```
    /// use tarragoncourse::state::rate::RequestRate;
    /// assert_eq!(RequestRate::from_per_second(31.25).unwrap().per_second(), 31.25);
    /// assert_eq!(RequestRate::from_per_second(-1.0), None);
    /// assert_eq!(RequestRate::from_per_second(f64::INFINITY), None);
    /// ```
    pub fn from_per_second(rate: f64) -> Option<RequestRate> {
        let valid = rate.is_finite() && rate >= 0.0;
        let millis_per_second = (rate * MILLIS) as u64;
        valid.then_some(RequestRate { millis_per_second })
    }

    /// The rate in requests per second.
    pub fn per_second(self) -> f64 {
        self.millis_per_second as f64 / MILLIS
    }
}
