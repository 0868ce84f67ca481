//! Guards the places that an agent keeps for entries that were refused at a full target: without
//! them, an entry without a place gets none for as long as others have waiting requests.

use {
    sassafrasslip_core::ids::RequestId,
    sassafrasslip_daemon::{
        agent::{
            admission::{
                Admission, AdmissionError, AdmissionPermit, AdmissionRequest,
                offers::{LinkNumber, OFFER_DURATION},
            },
            metrics::AgentMetrics,
        },
        telemetry::metrics::MetricsRegistry,
    },
    sassafrasslip_proto::link::RefusalReason,
    std::time::Duration,
    tokio::time::{Instant, advance, sleep, timeout},
    tokio_util::{sync::CancellationToken, task::TaskTracker},
};

const FULL: AdmissionError = AdmissionError::Refused(RefusalReason::Full);

fn admission() -> Admission {
    let metrics = AgentMetrics::new(&MetricsRegistry::default());
    let admission = Admission::new(1, metrics, TaskTracker::new());
    admission.set_healthy(true, "test");
    admission
}

fn admit(
    admission: &Admission,
    counter: u64,
    link: LinkNumber,
) -> Result<AdmissionPermit, AdmissionError> {
    let request = AdmissionRequest {
        request_id: RequestId {
            entry_incarnation: link,
            counter,
        },
        attempt: 1,
        revision: 0,
        target_concurrency: 0,
        deadline: Instant::now() + Duration::from_secs(30),
        link,
    };
    admission.admit(&request, Instant::now(), &CancellationToken::new())
}

#[tokio::test(start_paused = true)]
async fn freed_place_goes_to_the_refused_entry() {
    let admission = admission();
    let ((busy, _), (refused, offered)) = (admission.open_link(), admission.open_link());
    let permit = admit(&admission, 1, busy).unwrap();
    assert_eq!(admit(&admission, 1, refused).err(), Some(FULL));
    drop(permit);
    let told = timeout(Duration::from_millis(1), offered.notified()).await;
    assert!(
        told.is_ok(),
        "the refused entry learns of the place at once"
    );
    assert_eq!(admission.load_for(busy).in_flight, 1);
    assert_eq!(admission.load_for(refused).in_flight, 0);
    assert_eq!(admit(&admission, 2, busy).err(), Some(FULL));
    assert!(admit(&admission, 2, refused).is_ok());
}

#[tokio::test(start_paused = true)]
async fn place_that_is_not_taken_is_free_for_all() {
    let admission = admission();
    let ((busy, _), (refused, _)) = (admission.open_link(), admission.open_link());
    let permit = admit(&admission, 1, busy).unwrap();
    assert_eq!(admit(&admission, 1, refused).err(), Some(FULL));
    let mut changes = admission.changes();
    changes.mark_unchanged();
    drop(permit);
    sleep(OFFER_DURATION + Duration::from_millis(1)).await;
    assert!(changes.has_changed().unwrap(), "all entries get a report");
    assert!(admit(&admission, 2, busy).is_ok());
}

#[tokio::test(start_paused = true)]
async fn closed_link_gives_up_its_offer() {
    let admission = admission();
    let ((busy, _), (refused, _)) = (admission.open_link(), admission.open_link());
    let permit = admit(&admission, 1, busy).unwrap();
    assert_eq!(admit(&admission, 1, refused).err(), Some(FULL));
    drop(permit);
    admission.close_link(refused);
    assert!(admit(&admission, 2, busy).is_ok());
}

#[tokio::test(start_paused = true)]
async fn reports_of_free_places_are_bounded_in_rate() {
    let admission = admission();
    let (link, _) = admission.open_link();
    let mut changes = admission.changes();
    let mut reports = 0;
    // A target whose load varies around its limit 100 times a second.
    for counter in 0..100 {
        drop(admit(&admission, counter, link).unwrap());
        advance(Duration::from_millis(10)).await;
        sleep(Duration::ZERO).await;
        reports += u32::from(changes.has_changed().unwrap());
        changes.mark_unchanged();
    }
    assert!((1..=10).contains(&reports), "{reports} reports in 1 s");
}
