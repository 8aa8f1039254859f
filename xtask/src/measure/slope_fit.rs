//! Straight lines through measured points.

use serde_json::{Value, json};

/// Least-squares line `y = base + slope * x`.
#[derive(Clone, Debug)]
pub struct SlopeFit {
    /// The points it was fitted to.
    pub points: Vec<(f64, f64)>,
    /// Rise of y for one more of x.
    pub slope: f64,
    /// Value at none of x.
    pub base: f64,
    /// Standard deviation of the points from the line.
    pub spread: f64,
}

impl SlopeFit {
    /// Points that a slope is fitted to at least.
    pub const POINTS_MIN: usize = 4;

    /// Fit a line.
    ///
    /// # Panics
    ///
    /// With fewer than [`Self::POINTS_MIN`] points, or all at one x.
    pub fn new(points: Vec<(f64, f64)>) -> Self {
        assert!(points.len() >= Self::POINTS_MIN, "a slope needs points");
        let count = points.len() as f64;
        let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
        let over = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y));
        let under = points.iter().map(|(x, _)| (x - mean_x).powi(2));
        let under: f64 = under.sum();
        assert!(under > 0.0, "the points must differ in x");
        let slope = over.sum::<f64>() / under;
        let base = mean_y - slope * mean_x;
        let errors = points.iter().map(|(x, y)| (y - base - slope * x).powi(2));
        let spread = (errors.sum::<f64>() / count).sqrt();
        Self {
            points,
            slope,
            base,
            spread,
        }
    }

    /// Value of the line.
    pub fn at(&self, x: f64) -> f64 {
        self.base + self.slope * x
    }

    /// The fit as JSON.
    pub fn to_json(&self) -> Value {
        json!({
            "slope": self.slope,
            "base": self.base,
            "spread": self.spread,
            "points": self.points,
        })
    }
}
