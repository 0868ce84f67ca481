//! Series of measured values by size, and the straight line fitted to them.

/// Values of one quantity, measured at several sizes.
#[derive(Clone, Debug)]
pub struct MeasuredSeries {
    /// Quantity and its unit, for example `resident, KiB`.
    pub quantity: String,
    /// What the size counts, for example `teams`.
    pub size: &'static str,
    /// Pairs of a size and the value measured at it.
    pub points: Vec<(f64, f64)>,
}

impl MeasuredSeries {
    /// Creates a series without points.
    pub fn new(quantity: impl Into<String>, size: &'static str) -> Self {
        Self {
            quantity: quantity.into(),
            size,
            points: Vec::new(),
        }
    }

    /// Adds the value measured at a size.
    pub fn add(&mut self, size: f64, value: f64) {
        self.points.push((size, value));
    }

    /// Fits a line by least squares and returns its slope and its value at size 0. The slope is 0
    /// if all points have the same size.
    pub fn line(&self) -> (f64, f64) {
        let count = self.points.len().max(1) as f64;
        let mean_size = self.points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_value = self.points.iter().map(|point| point.1).sum::<f64>() / count;
        let products = self.points.iter().map(|(size, value)| {
            let distance = size - mean_size;
            (distance * (value - mean_value), distance * distance)
        });
        let (covariance, variance) = products.fold((0.0, 0.0), |sum, product| {
            (sum.0 + product.0, sum.1 + product.1)
        });
        let slope = covariance / variance.max(f64::MIN_POSITIVE);
        (slope, mean_value - slope * mean_size)
    }

    /// Prints the points, the slope of the line and its value at size 0.
    pub fn print(&self) {
        let points = self.points.iter();
        let points: Vec<_> = points
            .map(|(size, value)| format!("{size}: {value:.2}"))
            .collect();
        let (slope, start) = self.line();
        let (quantity, size, points) = (&self.quantity, self.size, points.join(", "));
        println!("  {quantity} by {size}: {points}; {slope:.4} each, {start:.2} at 0");
    }
}
