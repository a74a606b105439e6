//! A straight line through measured points, by least squares.

use serde::Serialize;

/// The line `intercept + slope * x`, with the standard errors of both.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Line {
    pub slope: f64,
    pub slope_error: f64,
    pub intercept: f64,
    pub intercept_error: f64,
    /// Share of the variance that the line explains.
    pub r_squared: f64,
}

impl Line {
    /// Fits a line. The errors need three points at least, since two always lie on a line.
    pub fn fit(points: &[(f64, f64)]) -> Option<Line> {
        if points.len() < 3 {
            return None;
        }
        let count = points.len() as f64;
        let mean_x = points.iter().map(|p| p.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|p| p.1).sum::<f64>() / count;
        let spread_x: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
        let spread_y: f64 = points.iter().map(|p| (p.1 - mean_y).powi(2)).sum();
        if spread_x == 0.0 {
            return None;
        }
        let covariance: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
        let slope = covariance / spread_x;
        let intercept = mean_y - slope * mean_x;
        let residuals: f64 = points.iter().map(|p| (p.1 - intercept - slope * p.0).powi(2)).sum();
        let variance = residuals / (count - 2.0);
        Some(Line {
            slope,
            slope_error: (variance / spread_x).sqrt(),
            intercept,
            intercept_error: (variance * (1.0 / count + mean_x * mean_x / spread_x)).sqrt(),
            r_squared: if spread_y == 0.0 { 1.0 } else { 1.0 - residuals / spread_y },
        })
    }

    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}
