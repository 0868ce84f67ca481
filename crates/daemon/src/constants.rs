//! Constants with their units, by area.

use std::time::Duration;

/// Threads of the runtime. Control work stays far below one core; a second thread keeps health
/// and metrics answering while the first is busy with a large answer.
pub const RUNTIME_THREADS: usize = 2;

// Callers.

/// Largest head of a caller's request, in bytes.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Largest body of a caller's request, in bytes.
pub const MAX_BODY_BYTES: usize = 1024 * 1024;
/// Time that a caller has to send the head and the body of a request.
pub const CALLER_READ_TIMEOUT: Duration = Duration::from_secs(10);

// Links.

/// Time to open a link and exchange `Hello`.
pub const LINK_OPEN_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause before a closed link is opened again.
pub const LINK_RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Interval of reports on a link.
pub const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// A link that was silent for this long is closed; three reports are missing by then.
pub const LINK_SILENCE_LIMIT: Duration = Duration::from_secs(3);
/// Messages that wait to be written on one link.
pub const LINK_QUEUE_LENGTH: usize = 1024;

// Configuration.

/// Duration of a configuration lease. Shorter than the 6 s in which a change has to be in force,
/// so that an acceptance never waits longer than that for a silent entry.
pub const LEASE_DURATION: Duration = Duration::from_secs(3);
/// Interval at which a lease is renewed and the head revision read.
pub const LEASE_RENEWAL_INTERVAL: Duration = Duration::from_secs(1);
/// Longest duration of a renewal; a hanging call leaves time for one more before the lease ends.
pub const LEASE_RENEWAL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Longest duration of loading a revision.
pub const REVISION_LOAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest duration of sending a revision to agents and peers.
pub const REVISION_PUBLISH_TIMEOUT: Duration = Duration::from_secs(2);
/// Time in which a change has to be committed and confirmed; guarantee P7 names it.
pub const ACCEPTANCE_LIMIT: Duration = Duration::from_secs(6);
/// Interval at which lease records are read while a change waits for its acceptance.
pub const ACCEPTANCE_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Pause before a change is tried again after a moved head or a lost answer.
pub const CHANGE_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Longest wait for the deletion of the lease record at a graceful stop.
pub const LEASE_RELEASE_TIMEOUT: Duration = Duration::from_secs(1);
/// Items in one page of a table scan.
pub const TABLE_PAGE_ITEMS: usize = 500;

// Operators.

/// Largest body of an operator's request, in bytes.
pub const MAX_OPERATOR_BODY_BYTES: usize = 64 * 1024;
/// Time that an operator's client has to send the head, and again the body, of a request.
pub const OPERATOR_READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Changes that the history returns if the request names no limit.
pub const HISTORY_DEFAULT_LIMIT: u64 = 50;
/// Most changes that the history returns.
pub const HISTORY_MAX_LIMIT: u64 = 1_000;

// Membership.

/// Interval at which the platform's instance list is read.
pub const INSTANCE_LIST_INTERVAL: Duration = Duration::from_secs(2);

// Claims.

/// Time for which the record of a non-idempotent call is kept.
pub const CLAIM_RETENTION: Duration = Duration::from_secs(24 * 60 * 60);
/// Largest answer that is stored in the claim record itself; longer ones go to the object store.
pub const MAX_INLINE_ANSWER_BYTES: usize = 64 * 1024;
