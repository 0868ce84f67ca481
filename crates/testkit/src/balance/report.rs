//! Result tables of the simulation.

use super::measure::BalanceFigures;

/// Prints a Markdown table with one row for each policy, which gives the median and the range of
/// its runs. The last row holds the lower bounds of the first policy's runs.
pub fn print_table(title: &str, rows: &[(String, Vec<BalanceFigures>)]) {
    println!("\n### {title}\n");
    println!("| policy | mean | p99 | GB/h | moving s/h | stalled s/h | weighted s/h |");
    println!("|---|---|---|---|---|---|---|");
    for (name, figures) in rows {
        let cell =
            |metric: fn(&BalanceFigures) -> f64, digits| format_range(figures, metric, digits);
        println!(
            "| {name} | {} | {} | {} | {} | {} | {} |",
            cell(|figures| figures.mean_skew, 3),
            cell(|figures| figures.p99_skew, 3),
            cell(|figures| figures.gigabytes, 1),
            cell(|figures| figures.loading_seconds, 1),
            cell(|figures| figures.stalled_seconds, 1),
            cell(|figures| figures.weighted_cost, 1),
        );
    }
    if let Some((_, figures)) = rows.first() {
        let bound = format_range(figures, |figures| figures.mean_bound, 3);
        let weighted = format_range(figures, |figures| figures.weighted_cost_bound, 1);
        println!("| bound | {bound} | | 0 | 0 | | {weighted} |");
    }
}

fn format_range(
    figures: &[BalanceFigures],
    metric: fn(&BalanceFigures) -> f64,
    digits: usize,
) -> String {
    let mut values: Vec<f64> = figures.iter().map(metric).collect();
    values.sort_by(f64::total_cmp);
    let (Some(min), Some(max)) = (values.first(), values.last()) else {
        return String::new();
    };
    let median = values[values.len() / 2];
    format!("{median:.digits$} ({min:.digits$} to {max:.digits$})")
}
