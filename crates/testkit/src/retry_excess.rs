//! Measures retries against a retry budget.

use {sassafrasslip_core::dispatch::RetryRule, tokio::time::Instant};

/// Returns the most retries in a window that begins with one of them, less what `rule` allows for the
/// requests in it; above 0, the budget is exceeded. Both are given by their times, in any order.
pub fn retry_excess(rule: RetryRule, requests: &[Instant], retries: &[Instant]) -> f64 {
    let in_window = |times: &[Instant], from: Instant| {
        let times = times.iter();
        times
            .filter(|at| **at >= from && **at < from + rule.window)
            .count()
    };
    let excess = retries.iter().map(|from| {
        let allowed = rule.ratio * in_window(requests, *from) as f64 + rule.fixed;
        in_window(retries, *from) as f64 - allowed
    });
    excess.fold(f64::MIN, f64::max)
}
