//! Medians of rounds, and the bounds that they are held against.

use core::fmt;

/// Figures with their bounds, in the order they were measured.
#[derive(Debug, Default)]
pub struct Bounds(Vec<Bound>);

#[derive(Debug)]
struct Bound {
    name: &'static str,
    value: f64,
    limit: f64,
    at_most: bool,
}

impl Bound {
    fn is_met(&self) -> bool {
        if self.at_most {
            self.value <= self.limit
        } else {
            self.value >= self.limit
        }
    }
}

impl Bounds {
    /// Holds a figure against the most it may be.
    pub fn at_most(&mut self, name: &'static str, value: f64, limit: f64) {
        self.push(name, value, limit, true);
    }

    /// Holds a figure against the least it may be.
    pub fn at_least(&mut self, name: &'static str, value: f64, limit: f64) {
        self.push(name, value, limit, false);
    }

    /// Returns whether a bound was missed.
    pub fn missed(&self) -> bool {
        !self.0.iter().all(Bound::is_met)
    }

    fn push(&mut self, name: &'static str, value: f64, limit: f64, at_most: bool) {
        self.0.push(Bound {
            name,
            value,
            limit,
            at_most,
        });
    }
}

impl fmt::Display for Bounds {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for bound in &self.0 {
            let sign = if bound.at_most { "<=" } else { ">=" };
            let verdict = if bound.is_met() { "met" } else { "MISSED" };
            writeln!(
                f,
                "{:48}{:>12.3} {sign} {:<10}{verdict}",
                bound.name, bound.value, bound.limit
            )?;
        }
        Ok(())
    }
}

/// Returns the middle value.
///
/// # Panics
///
/// Panics without values.
pub fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}
