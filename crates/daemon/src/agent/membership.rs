//! Polls the instance list; the agent drains while its instance is listed as leaving.

use {
    super::admission::{Admission, DrainReason},
    crate::{
        constants::INSTANCE_LIST_INTERVAL,
        platform::{InstanceList, ListedInstance, ListedState},
    },
    sassafrasslip_core::{
        events::LogEvent::{PlatformRecovered, PlatformUnavailable},
        ids::InstanceName,
        log_event,
    },
    std::sync::Arc,
    tokio::time::sleep,
};

/// Polls the list at [`INSTANCE_LIST_INTERVAL`] until the process ends. While it cannot be read,
/// the last known state holds.
pub async fn run(instances: Arc<dyn InstanceList>, admission: Admission, name: InstanceName) {
    let mut available = true;
    loop {
        match instances.list().await {
            Ok(listed) => {
                apply(&listed, &admission, &name);
                if !available {
                    log_event!(PlatformRecovered, service = "instance list");
                }
                available = true;
            }
            Err(error) => {
                if available {
                    log_event!(
                        PlatformUnavailable,
                        service = "instance list",
                        error = error
                    );
                }
                available = false;
            }
        }
        sleep(INSTANCE_LIST_INTERVAL).await;
    }
}

/// Sets or clears the drain by the instance's listed state. An instance that is not listed keeps
/// its state, because the list lags behind a start.
fn apply(listed: &[ListedInstance], admission: &Admission, name: &InstanceName) {
    let own = listed.iter().find(|instance| instance.instance == *name);
    if let Some(own) = own {
        let leaving = own.state == ListedState::Leaving;
        admission.set_draining(DrainReason::Listed, leaving);
    }
}
