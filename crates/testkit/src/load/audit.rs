//! Comparison of the bookings with the counts of the service stand-ins.

use {
    super::{arguments::LoadArguments, summary::LoadRecorder},
    crate::{http::HttpClient, service::ServiceCounts},
    std::collections::BTreeMap,
};

/// Adds up the counts of all stand-ins and compares them with the bookings.
pub async fn compare(arguments: &LoadArguments, client: &HttpClient, recorder: &LoadRecorder) {
    if arguments.counts.is_empty() {
        return;
    }
    let mut runs: BTreeMap<String, u64> = BTreeMap::new();
    for address in &arguments.counts {
        let answer = client.get(*address, "/admin/counts").await;
        let counts = answer.ok().and_then(|answer| answer.json().ok());
        let Some(ServiceCounts { by_order, .. }) = counts else {
            // Without one stand-in's counts, a booking that ran there would look lost.
            recorder.add_wrong(format!("no counts from {address}; bookings are unchecked"));
            return;
        };
        for (order, count) in by_order {
            *runs.entry(order).or_default() += count;
        }
    }
    recorder.compare(&runs);
}
