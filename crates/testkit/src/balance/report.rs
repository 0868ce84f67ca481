//! Tables of the measurement.

use super::measure::BalanceFigures;

/// Prints one row for each policy: median and range over the seeds.
pub fn print_table(title: &str, rows: &[(String, Vec<BalanceFigures>)]) {
    println!("\n### {title}\n");
    println!("| policy | mean | p99 | GB/h | moving s/h | stalled s/h | weighted s/h |");
    println!("|---|---|---|---|---|---|---|");
    for (name, figures) in rows {
        let cell = |value: fn(&BalanceFigures) -> f64, digits| range(figures, value, digits);
        println!(
            "| {name} | {} | {} | {} | {} | {} | {} |",
            cell(|figures| figures.mean, 3),
            cell(|figures| figures.percentile_99, 3),
            cell(|figures| figures.gigabytes, 1),
            cell(|figures| figures.moving, 1),
            cell(|figures| figures.stalled, 1),
            cell(|figures| figures.weighted, 1),
        );
    }
    if let Some((_, figures)) = rows.first() {
        let bound = range(figures, |figures| figures.bound, 3);
        let weighted = range(figures, |figures| figures.weighted_bound, 1);
        println!("| bound | {bound} | | 0 | 0 | | {weighted} |");
    }
}

fn range(figures: &[BalanceFigures], value: fn(&BalanceFigures) -> f64, digits: usize) -> String {
    let mut values: Vec<f64> = figures.iter().map(value).collect();
    values.sort_by(f64::total_cmp);
    let (Some(first), Some(last)) = (values.first(), values.last()) else {
        return String::new();
    };
    let median = values[values.len() / 2];
    format!("{median:.digits$} ({first:.digits$} to {last:.digits$})")
}
