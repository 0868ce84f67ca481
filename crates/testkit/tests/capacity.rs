//! Tests of the calculations behind the capacity measurement.

use sassafrasslip_testkit::capacity::{frames, series::MeasuredSeries};

/// Guards against a wrong slope, from which all figures in `docs/CAPACITY.md` are calculated.
#[test]
fn line_has_slope_and_start_of_exact_points() {
    let mut series = MeasuredSeries::new("bytes", "links");
    for size in [10.0, 40.0, 120.0] {
        series.add(size, 25.0 + 18.0 * size);
    }
    let (slope, start) = series.line();
    assert!((slope - 18.0).abs() < 1e-9, "slope is {slope}");
    assert!((start - 25.0).abs() < 1e-9, "start is {start}");
}

/// Guards against a division by zero when a series has only one size.
#[test]
fn line_of_one_point_is_flat() {
    let mut series = MeasuredSeries::new("bytes", "links");
    series.add(1.0, 10.0);
    assert_eq!(series.line(), (0.0, 10.0));
}

/// Guards against frames that the codec rejects, whose size would count as 0.
#[test]
fn all_frames_are_encoded() {
    for series in frames::measure() {
        let encoded = series.points.iter().all(|(_, bytes)| *bytes > 0.0);
        assert!(encoded, "{} has an empty frame", series.quantity);
    }
}
