//! Times in the settings.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Upper bound of times, in milliseconds: a thousand years.
const MAX_MILLIS: f64 = 3.2e13;

/// A time in milliseconds. Fractions are rounded, since some platforms state times with them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "f64", into = "u64")]
pub struct WireMillis(pub u64);

impl TryFrom<f64> for WireMillis {
    type Error = &'static str;

    fn try_from(millis: f64) -> Result<Self, Self::Error> {
        if (0.0..MAX_MILLIS).contains(&millis) {
            Ok(Self(millis.round() as u64))
        } else {
            Err("not a number of milliseconds")
        }
    }
}

impl From<WireMillis> for u64 {
    fn from(WireMillis(millis): WireMillis) -> Self {
        millis
    }
}

impl From<WireMillis> for Duration {
    fn from(WireMillis(millis): WireMillis) -> Self {
        Self::from_millis(millis)
    }
}
