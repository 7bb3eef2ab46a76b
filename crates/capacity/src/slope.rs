//! A straight line through measured points.

/// A line fitted by least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// The value at zero.
    pub base: f64,
    /// The growth for one more of what was varied.
    pub slope: f64,
}

impl Line {
    /// Fits a line to points `(x, y)`.
    ///
    /// # Panics
    ///
    /// Panics for fewer than two different `x`.
    #[must_use]
    pub fn fit(points: &[(f64, f64)]) -> Self {
        #[expect(clippy::cast_precision_loss, reason = "a handful of points")]
        let count = points.len() as f64;
        let mean_x = points.iter().map(|p| p.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|p| p.1).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
        assert!(spread > 0.0, "a line needs two different sizes");
        let together: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
        let slope = together / spread;
        Self {
            base: mean_y - slope * mean_x,
            slope,
        }
    }

    /// Returns the value of the line at `x`, never below zero.
    #[must_use]
    pub fn at(&self, x: f64) -> f64 {
        (self.base + self.slope * x).max(0.0)
    }
}
