//! Measured values by size, with the slope of their straight line.

/// Values of one quantity at several sizes.
#[derive(Clone, Debug)]
pub struct MeasuredSeries {
    /// Quantity with its unit.
    pub quantity: String,
    /// What the size counts.
    pub size: &'static str,
    /// Sizes and values.
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

    /// Adds a point.
    pub fn add(&mut self, size: f64, value: f64) {
        self.points.push((size, value));
    }

    /// Returns slope and value at size 0 of the line with the least squared error.
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

    /// Prints the points and the line.
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
