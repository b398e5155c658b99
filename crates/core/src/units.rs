//! Sizes, rates and points in time.

use std::fmt;
use std::ops::Add;
use std::str::FromStr;
use std::time::Duration;

use quick_error::quick_error;

quick_error! {
    /// Why a text is no size, weight or rate.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum UnitError {
        /// The number can't be read.
        Number(text: String) {
            display("{:?} is not a number with a known unit", text)
        }
        /// The number is out of range.
        Range(found: u64, min: u64, max: u64) {
            display("{} is out of range, allowed are {} to {}", found, min, max)
        }
    }
}

/// Milliseconds on the monotonic clock of one process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimePoint(pub u64);

impl TimePoint {
    /// Time since `earlier`, zero if `earlier` is later.
    pub fn since(self, earlier: TimePoint) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for TimePoint {
    type Output = TimePoint;

    fn add(self, span: Duration) -> TimePoint {
        TimePoint(self.0.saturating_add(span.as_millis() as u64))
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

/// Relative speed of a host: 100 is an ordinary one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostWeight(u16);

impl HostWeight {
    /// Weight of an ordinary host.
    pub const ORDINARY: HostWeight = HostWeight(100);
    /// Lowest weight.
    pub const MIN: u16 = 1;
    /// Highest weight.
    pub const MAX: u16 = 10_000;

    /// Checks the range.
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

    /// The plain number.
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

/// A share of a whole, in percent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PercentShare(u8);

impl PercentShare {
    /// Checks that the share is at most the whole.
    pub fn new(value: u8) -> Result<Self, UnitError> {
        if value <= 100 {
            Ok(Self(value))
        } else {
            Err(UnitError::Range(value.into(), 0, 100))
        }
    }

    /// This share of `whole`, rounded down.
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
