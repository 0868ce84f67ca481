//! Guards the offers by which an agent reserves freed slots for entries that were refused at a full
//! target. Without them, an entry without a slot gets none for as long as others have waiting
//! requests.

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

/// Returns the admission of a healthy target with one slot.
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
async fn freed_slot_is_offered_to_the_refused_entry() {
    let admission = admission();
    let ((admitted, _), (refused, offered)) = (admission.open_link(), admission.open_link());
    let permit = admit(&admission, 1, admitted).unwrap();
    assert_eq!(admit(&admission, 1, refused).err(), Some(FULL));
    drop(permit);
    let notified = timeout(Duration::from_millis(1), offered.notified()).await;
    assert!(
        notified.is_ok(),
        "the refused entry was not notified of the free slot"
    );
    assert_eq!(admission.load_for(admitted).in_flight, 1);
    assert_eq!(admission.load_for(refused).in_flight, 0);
    assert_eq!(admit(&admission, 2, admitted).err(), Some(FULL));
    assert!(admit(&admission, 2, refused).is_ok());
}

#[tokio::test(start_paused = true)]
async fn unused_offer_is_open_to_all_entries() {
    let admission = admission();
    let ((admitted, _), (refused, _)) = (admission.open_link(), admission.open_link());
    let permit = admit(&admission, 1, admitted).unwrap();
    assert_eq!(admit(&admission, 1, refused).err(), Some(FULL));
    let mut changes = admission.changes();
    changes.mark_unchanged();
    drop(permit);
    sleep(OFFER_DURATION + Duration::from_millis(1)).await;
    assert!(
        changes.has_changed().unwrap(),
        "no report of the free slot was triggered"
    );
    assert!(admit(&admission, 2, admitted).is_ok());
}

#[tokio::test(start_paused = true)]
async fn closed_link_loses_its_offer() {
    let admission = admission();
    let ((admitted, _), (refused, _)) = (admission.open_link(), admission.open_link());
    let permit = admit(&admission, 1, admitted).unwrap();
    assert_eq!(admit(&admission, 1, refused).err(), Some(FULL));
    drop(permit);
    admission.close_link(refused);
    assert!(admit(&admission, 2, admitted).is_ok());
}

#[tokio::test(start_paused = true)]
async fn reports_of_free_slots_are_bounded_in_rate() {
    let admission = admission();
    let (link, _) = admission.open_link();
    let mut changes = admission.changes();
    let mut reports = 0;
    // The load of the target crosses its limit 100 times a second.
    for counter in 0..100 {
        drop(admit(&admission, counter, link).unwrap());
        advance(Duration::from_millis(10)).await;
        sleep(Duration::ZERO).await;
        reports += u32::from(changes.has_changed().unwrap());
        changes.mark_unchanged();
    }
    assert!(
        (1..=10).contains(&reports),
        "{reports} reports in 1 s, expected 1 to 10"
    );
}
