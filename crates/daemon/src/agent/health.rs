//! Periodic health check of the target.

use {
    super::{admission::Admission, backend::Backend},
    crate::constants::{HEALTH_CHECK_INTERVAL, HEALTH_CHECK_TIMEOUT},
    tokio::time::{sleep, timeout},
};

/// Runs one health check of the target and passes the result to its admission control.
pub async fn check(backend: &Backend, admission: &Admission) {
    match timeout(HEALTH_CHECK_TIMEOUT, backend.check_health()).await {
        Ok(Ok(())) => admission.set_healthy(true, ""),
        Ok(Err(error)) => admission.set_healthy(false, &error.to_string()),
        Err(_) => admission.set_healthy(false, "health check timed out"),
    }
}

/// Checks the target at [`HEALTH_CHECK_INTERVAL`] until the process ends.
pub async fn run(backend: Backend, admission: Admission) {
    loop {
        sleep(HEALTH_CHECK_INTERVAL).await;
        check(&backend, &admission).await;
    }
}
