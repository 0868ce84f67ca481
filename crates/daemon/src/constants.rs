//! Limits, timeouts and intervals of the daemon, by area.

use std::time::Duration;

/// Worker threads of the runtime of an entry or agent. The control work needs far less than one
/// core; the second thread keeps health and metrics responsive while the first is busy with a large
/// answer.
pub const RUNTIME_THREADS: usize = 2;

// Callers.

/// Maximum size of the head of a caller's request, in bytes.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum size of the body of a caller's request, in bytes.
pub const MAX_BODY_BYTES: usize = 1024 * 1024;
/// Maximum time that a caller may take to send the head, and again the body, of a request.
pub const CALLER_READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum time for which a caller may accept no bytes of its answer.
pub const CALLER_WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of open connections of callers; further ones wait in the listener's backlog.
pub const MAX_CALLER_CONNECTIONS: usize = 2048;
/// Memory for the bodies of all requests in flight, in bytes. It is a quarter of the 256 MB that an
/// entry may use.
pub const REQUEST_BODY_MEMORY: usize = 64 * 1024 * 1024;
/// Part of [`REQUEST_BODY_MEMORY`] that only small bodies may use, in bytes, so that large ones that
/// callers hold open keep no others out.
pub const SMALL_BODY_MEMORY: usize = REQUEST_BODY_MEMORY / 4;
/// Maximum number of bytes of a refused body that are read and discarded, so that the caller
/// receives the refusal instead of a connection reset.
pub const MAX_DISCARDED_BYTES: usize = 4 * MAX_BODY_BYTES;
/// Maximum time for which the rest of a refused body is read and discarded.
pub const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of an answer that is buffered as a whole, in bytes.
pub const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// Maximum number of bytes of a streamed answer that are buffered for a slow caller; beyond that,
/// the answer is aborted.
pub const STREAM_BUFFER_BYTES: usize = 1024 * 1024;
/// Capacity of the channel for a streamed answer between the dispatcher and the caller's
/// connection, in chunks.
pub const STREAM_CHUNKS: usize = 16;
/// Maximum deadline that a caller may request.
pub const MAX_DEADLINE: Duration = Duration::from_secs(3600);
/// Number of the latest requests whose explanations are kept for `explain`.
pub const MAX_EXPLAINED_REQUESTS: usize = 10_000;

// Links.

/// Timeout of opening a link's connection, and again of exchanging `Hello` on it.
pub const LINK_OPEN_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause before a closed link is reopened.
pub const LINK_RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Interval of the reports on a link, which also serve as heartbeats.
pub const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Heartbeat timeout of a link: a link without a frame for this long, in which three reports are
/// due, is closed.
pub const LINK_IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Capacity of the queue of messages to be written on one link.
pub const LINK_QUEUE_LENGTH: usize = 1024;
/// Maximum time for which a configuration revision waits for room in the queue of one link.
pub const PUBLISH_TIMEOUT: Duration = Duration::from_millis(500);

// Configuration.

/// Duration of a configuration lease. It is shorter than the 6 s within which a change must be in
/// force, so that the acceptance of a change never waits longer than that for an unresponsive
/// entry.
pub const LEASE_DURATION: Duration = Duration::from_secs(3);
/// Interval at which an entry renews its lease and reads the head revision.
pub const LEASE_RENEWAL_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of a lease renewal. A call that hangs leaves time for one more before the lease expires.
pub const LEASE_RENEWAL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Timeout of loading a configuration revision from the table.
pub const REVISION_LOAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout of sending a configuration revision to all agents and peers.
pub const REVISION_PUBLISH_TIMEOUT: Duration = Duration::from_secs(2);
/// Time within which a change must be committed and confirmed. It is the 6 s of guarantee P7: an
/// accepted change is in force everywhere within 6 s.
pub const ACCEPTANCE_LIMIT: Duration = Duration::from_secs(6);
/// Interval at which lease records are polled while a change waits to be accepted.
pub const ACCEPTANCE_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Pause before a change is retried after another change has moved the head revision, or after a
/// lost answer.
pub const CHANGE_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Maximum time that a graceful stop waits for the deletion of the lease record.
pub const LEASE_RELEASE_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of items in one page of a table scan.
pub const TABLE_PAGE_ITEMS: usize = 500;

// Operators.

/// Maximum size of the body of an operator's request, in bytes.
pub const MAX_OPERATOR_BODY_BYTES: usize = 64 * 1024;
/// Maximum time that an operator's client may take to send the head, and again the body, of a
/// request.
pub const OPERATOR_READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Number of changes that the history returns if the request gives no limit.
pub const HISTORY_DEFAULT_LIMIT: u64 = 50;
/// Maximum number of changes that the history returns.
pub const HISTORY_MAX_LIMIT: u64 = 1_000;

// Membership.

/// Interval at which the platform's instance list is read. It is half of the 2 s within which a
/// leaving target must stop receiving new requests, so that there is time left for a slow read.
pub const INSTANCE_LIST_INTERVAL: Duration = Duration::from_secs(1);

// Claims.

/// Time for which the claim record of a non-idempotent call is kept.
pub const CLAIM_RETENTION: Duration = Duration::from_secs(24 * 60 * 60);
/// Maximum size of an answer that is stored in the claim record itself, in bytes; larger answers
/// are stored in the object store.
pub const MAX_INLINE_ANSWER_BYTES: usize = 64 * 1024;
/// Maximum size of the answer of a claimed call, in bytes; it is buffered in memory as a whole.
pub const MAX_CLAIMED_ANSWER_BYTES: usize = 64 * 1024 * 1024;
/// Timeout of a claimed call. Its entry has long answered `unknown` by then, but the answer is
/// still stored for a repeated call. Without a timeout, a service that hangs would occupy its slot
/// forever.
pub const CLAIMED_CALL_TIMEOUT: Duration = Duration::from_secs(120);
/// Pause before a claim record is read again after a failed read.
pub const CLAIM_READ_PAUSE: Duration = Duration::from_millis(50);
/// Interval at which a claim record is polled while its call may be running. An agent that fails
/// leaves up to 32 such calls, which together cause 128 of the about 2,000 reads per second that
/// the table can serve.
pub const CLAIM_POLL_PAUSE: Duration = Duration::from_millis(250);
/// Minimum time for a table or object call of a settlement, even if the caller's deadline has
/// passed.
pub const SETTLEMENT_GRACE: Duration = Duration::from_millis(500);
/// Time after which a settlement gives up on a table that does not answer. It is long enough to
/// lose an answer and read the record back; in a longer outage, the caller learns sooner that the
/// outcome is unknown.
pub const SETTLEMENT_TABLE_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause before the write of a done record is retried.
pub const CLAIM_STORE_PAUSE: Duration = Duration::from_millis(500);
/// Maximum number of start records that are inserted in one transaction.
pub const MAX_INSERT_GROUP: usize = 32;
/// Maximum number of records in one page that the sweeper reads.
pub const SWEEP_PAGE_ITEMS: usize = 500;
/// Pause of the sweeper between two pages. At the planned fleet size, 30 agents of plain services
/// cause 30 of the about 2,000 reads per second that the table can serve, and one agent sweeps 3.1
/// million records in less than two hours.
pub const SWEEP_PAGE_PAUSE: Duration = Duration::from_secs(1);
/// Pause of the sweeper after a pass. A random wait of up to the same length precedes each pass.
pub const SWEEP_PASS_PAUSE: Duration = Duration::from_secs(15 * 60);

// Agents.

/// Timeout of opening a connection to the target, which runs on the same instance.
pub const TARGET_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval of the health checks of the target.
pub const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of a health check.
pub const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum time to the deadline of a request that an agent accepts; longer times are reduced to it,
/// so that adding them to an instant cannot overflow.
pub const MAX_REMAINING_TIME: Duration = Duration::from_secs(24 * 60 * 60);
/// Maximum payload of an answer chunk, in bytes. One read of the target's connection returns less
/// than this, so that no token line is split between chunks.
pub const MAX_CHUNK_BYTES: usize = 1024 * 1024;
/// Interval at which an agent checks whether its own process was paused.
pub const PAUSE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Minimum time between two checks that counts as a pause of the process.
pub const PAUSE_THRESHOLD: Duration = Duration::from_millis(250);
/// Time after a pause during which a received frame may have been waiting in the socket's buffer
/// since the pause began.
pub const PAUSE_BACKLOG: Duration = Duration::from_secs(1);
/// Maximum time that a graceful stop waits at its end for the peers to close their links.
pub const LINK_CLOSE_TIMEOUT: Duration = Duration::from_secs(2);
