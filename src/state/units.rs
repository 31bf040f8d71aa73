//! Parsing of durations and sizes with a unit, such as `250ms` or `4KiB`, and formatting of
//! durations.

use std::time::Duration;

use derive_more::{Display, Error};

/// Why a quantity could not be parsed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum UnitError {
    /// The number or the unit is missing, or the unit is not one of those allowed.
    #[display("`{text}` needs a unit; write a number and one of {units}")]
    InvalidUnit {
        /// The text that was given.
        text: String,
        /// The allowed units.
        units: &'static str,
    },
    /// The number does not fit into 64 bits.
    #[display("`{text}` is too large; write a smaller number")]
    TooLarge {
        /// The text that was given.
        text: String,
    },
}

const DURATION_UNITS: &str = "ms, s, m, h";
const SIZE_UNITS: &str = "B, KiB, MiB";

/// Parses a duration such as `250ms`, `2s`, `5m` or `1h`.
///
/// ```
/// use std::time::Duration;
/// use tarragoncourse::state::units::parse_duration;
/// assert_eq!(parse_duration("250ms"), Ok(Duration::from_millis(250)));
/// assert_eq!(parse_duration("1.5s"), Ok(Duration::from_millis(1500)));
/// assert!(parse_duration("250").is_err());
/// ```
pub fn parse_duration(text: &str) -> Result<Duration, UnitError> {
    let multiplier = |unit: &str| match unit {
        "ms" => Some(1),
        "s" => Some(1_000),
        "m" => Some(60_000),
        "h" => Some(3_600_000),
        _ => None,
    };
    parse_quantity(text, DURATION_UNITS, multiplier).map(Duration::from_millis)
}

/// Parses a size such as `512B`, `4KiB` or `16MiB` into bytes.
///
/// ```
/// use tarragoncourse::state::units::parse_size;
/// assert_eq!(parse_size("4KiB"), Ok(4096));
/// assert!(parse_size("4kb").is_err());
/// ```
pub fn parse_size(text: &str) -> Result<u64, UnitError> {
    let multiplier = |unit: &str| match unit {
        "B" => Some(1),
        "KiB" => Some(1 << 10),
        "MiB" => Some(1 << 20),
        _ => None,
    };
    parse_quantity(text, SIZE_UNITS, multiplier)
}

/// Formats a duration in the largest unit that divides it without a remainder.
///
/// ```
/// use std::time::Duration;
/// use tarragoncourse::state::units::format_duration;
/// assert_eq!(format_duration(Duration::from_millis(1500)), "1500ms");
/// assert_eq!(format_duration(Duration::from_secs(120)), "2m");
/// ```
pub fn format_duration(d: Duration) -> String {
    let ms = d.as_millis() as u64;
    for (unit, scale) in [("h", 3_600_000), ("m", 60_000), ("s", 1_000)] {
        if ms > 0 && ms.is_multiple_of(scale) {
            return format!("{}{unit}", ms / scale);
        }
    }
    format!("{ms}ms")
}

fn parse_quantity(
    text: &str,
    units: &'static str,
    multiplier: impl Fn(&str) -> Option<u64>,
) -> Result<u64, UnitError> {
    let is_numeric = |b: &u8| b.is_ascii_digit() || *b == b'.';
    let (number, unit) = text.split_at(text.bytes().take_while(is_numeric).count());
    let (whole, fraction) = number.split_once('.').unwrap_or((number, "0"));
    let text = text.to_string();
    let well_formed = !whole.is_empty() && !fraction.is_empty() && !fraction.contains('.');
    let Some(factor) = multiplier(unit).filter(|_| well_formed) else {
        return Err(UnitError::InvalidUnit { text, units });
    };
    // Digits only, so that parsing cannot fail.
    let fraction: f64 = format!("0.{fraction}").parse().unwrap_or(0.0);
    let rest = (fraction * factor as f64).round() as u64;
    let number: Option<u64> = whole.parse().ok();
    number
        .and_then(|n| n.checked_mul(factor)?.checked_add(rest))
        .ok_or(UnitError::TooLarge { text })
}
