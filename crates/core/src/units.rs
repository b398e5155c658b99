//! Points in time, byte counts, host weights and percentages.

use std::fmt;
use std::ops::Add;
use std::str::FromStr;
use std::time::Duration;

use quick_error::quick_error;

quick_error! {
    /// Error in a size, weight or percentage.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum UnitError {
        /// The text is not a number or has an unknown unit.
        Number(text: String) {
            display("{:?} is not a number with a known unit", text)
        }
        /// The number is out of range.
        Range(found: u64, min: u64, max: u64) {
            display("{} is out of range, must be {} to {}", found, min, max)
        }
    }
}

/// A point in time, in milliseconds on the monotonic clock of one process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimePoint(pub u64);

impl TimePoint {
    /// Returns the time since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: TimePoint) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for TimePoint {
    type Output = TimePoint;

    fn add(self, duration: Duration) -> TimePoint {
        TimePoint(self.0.saturating_add(duration.as_millis() as u64))
    }
}

impl fmt::Display for TimePoint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

/// A number of bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ByteCount(pub u64);

impl fmt::Display for ByteCount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        const UNITS: [(u64, &str); 2] = [(1 << 20, "MiB"), (1 << 10, "KiB")];
        match UNITS
            .iter()
            .find(|(size, _)| self.0 >= *size && self.0.is_multiple_of(*size))
        {
            Some((size, unit)) => write!(f, "{}{unit}", self.0 / size),
            None => write!(f, "{}B", self.0),
        }
    }
}

impl FromStr for ByteCount {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let digits = text.trim_end_matches(|c: char| c.is_ascii_alphabetic());
        let scale = match &text[digits.len()..] {
            "" | "B" => 1,
            "KiB" => 1 << 10,
            "MiB" => 1 << 20,
            _ => return Err(UnitError::Number(text.to_owned())),
        };
        digits
            .parse::<u64>()
            .ok()
            .and_then(|number| number.checked_mul(scale))
            .map(ByteCount)
            .ok_or_else(|| UnitError::Number(text.to_owned()))
    }
}

/// Relative speed of a host; an ordinary host has 100.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostWeight(u16);

impl HostWeight {
    /// Weight of an ordinary host.
    pub const ORDINARY: HostWeight = HostWeight(100);
    /// Lowest weight.
    pub const MIN: u16 = 1;
    /// Highest weight.
    pub const MAX: u16 = 10_000;

    /// Creates a weight, or returns an error if `value` is out of range.
    pub fn new(value: u16) -> Result<Self, UnitError> {
        if (Self::MIN..=Self::MAX).contains(&value) {
            Ok(Self(value))
        } else {
            Err(UnitError::Range(
                value.into(),
                Self::MIN.into(),
                Self::MAX.into(),
            ))
        }
    }

    /// Returns the weight as a number.
    pub fn get(self) -> u16 {
        self.0
    }
}

impl fmt::Display for HostWeight {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for HostWeight {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let value = text
            .parse()
            .map_err(|_| UnitError::Number(text.to_owned()))?;
        Self::new(value)
    }
}

/// A share in percent, at most 100.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PercentShare(u8);

impl PercentShare {
    /// Creates a share, or returns an error if `value` exceeds 100.
    pub fn new(value: u8) -> Result<Self, UnitError> {
        if value <= 100 {
            Ok(Self(value))
        } else {
            Err(UnitError::Range(value.into(), 0, 100))
        }
    }

    /// Returns this share of `whole`, rounded down.
    pub fn of(self, whole: usize) -> usize {
        whole * usize::from(self.0) / 100
    }
}

impl fmt::Display for PercentShare {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", self.0)
    }
}

impl FromStr for PercentShare {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let value = text
            .trim_end_matches('%')
            .parse()
            .map_err(|_| UnitError::Number(text.to_owned()))?;
        Self::new(value)
    }
}
