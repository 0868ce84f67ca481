//! Compares the bookings of a run with the runs that the service stand-ins counted.

use {
    super::{arguments::LoadArguments, summary::LoadRecorder},
    crate::{http::HttpClient, service::ServiceCounts},
    std::collections::BTreeMap,
};

/// Adds up the counts of all service stand-ins given by `--counts` and compares them with the
/// bookings; does nothing if there are none.
pub async fn check_bookings(
    arguments: &LoadArguments,
    client: &HttpClient,
    recorder: &LoadRecorder,
) {
    if arguments.counts.is_empty() {
        return;
    }
    let mut runs: BTreeMap<String, u64> = BTreeMap::new();
    for address in &arguments.counts {
        let answer = client.get(*address, "/admin/counts").await;
        let counts = answer.ok().and_then(|answer| answer.json().ok());
        let Some(ServiceCounts { by_order, .. }) = counts else {
            // Without the counts of one stand-in, a booking that ran there would count as lost.
            recorder.add_wrong(format!(
                "no counts from service {address}; the bookings were not checked"
            ));
            return;
        };
        for (order, count) in by_order {
            *runs.entry(order).or_default() += count;
        }
    }
    recorder.check_bookings(&runs);
}
