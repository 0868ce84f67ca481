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
/// Time for which a caller may refuse to take bytes of its answer.
pub const CALLER_WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Connections of callers that are open at once; further ones wait in the listener's backlog.
pub const MAX_CALLER_CONNECTIONS: usize = 2048;
/// Memory for the bodies of all requests in flight, in bytes; a quarter of the 256 MB that an
/// entry may use.
pub const REQUEST_BODY_MEMORY: usize = 64 * 1024 * 1024;
/// Bytes of a refused body that are read and dropped, so that the caller gets the refusal.
pub const DISCARDED_BYTES: usize = 4 * MAX_BODY_BYTES;
/// Time for which the rest of a refused body is read and dropped.
pub const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest answer that is collected whole, in bytes.
pub const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// Bytes of a streamed answer that wait for a slow caller before the answer is cut.
pub const STREAM_BUFFER_BYTES: usize = 1024 * 1024;
/// Chunks of a streamed answer between the dispatcher and the caller's connection.
pub const STREAM_CHUNKS: usize = 16;
/// Deadline that a caller may ask for at most.
pub const MAX_DEADLINE: Duration = Duration::from_secs(3600);
/// Requests that `explain` remembers.
pub const EXPLAINED_REQUESTS: usize = 10_000;

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
/// Time for which a configuration revision waits for room on one link.
pub const PUBLISH_TIMEOUT: Duration = Duration::from_millis(500);

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

/// Interval at which the platform's instance list is read. Half of the 2 s within which a leaving
/// target must stop to receive new work, so that a slow read still leaves time.
pub const INSTANCE_LIST_INTERVAL: Duration = Duration::from_secs(1);

// Claims.

/// Time for which the record of a non-idempotent call is kept.
pub const CLAIM_RETENTION: Duration = Duration::from_secs(24 * 60 * 60);
/// Largest answer that is stored in the claim record itself; longer ones go to the object store.
pub const MAX_INLINE_ANSWER_BYTES: usize = 64 * 1024;
/// Largest answer of a claimed call that is collected; it is held in memory as a whole.
pub const MAX_CLAIMED_ANSWER_BYTES: usize = 64 * 1024 * 1024;
/// Longest run of a claimed call. Its entry has answered `unknown` long before, but the answer
/// is still worth storing; without a limit, a hung service would keep its slot for ever.
pub const CLAIMED_CALL_LIMIT: Duration = Duration::from_secs(120);
/// Pause before a record is read again after a failed read.
pub const CLAIM_READ_PAUSE: Duration = Duration::from_millis(50);
/// Pause before a record is read again whose call may be running. A lost agent leaves up to 32
/// such calls, which together read the table 128 times a second; it takes about 2,000 reads.
pub const CLAIM_POLL_PAUSE: Duration = Duration::from_millis(250);
/// Time that a table or object call of a settlement gets although the caller's deadline has passed.
pub const SETTLEMENT_GRACE: Duration = Duration::from_millis(500);
/// Time after which a settlement gives up on a table that does not answer. It covers a lost answer
/// and its reading back; in a longer outage, the caller learns sooner that the outcome is unknown.
pub const SETTLEMENT_TABLE_LIMIT: Duration = Duration::from_secs(1);
/// Pause before a done record is written again.
pub const CLAIM_STORE_PAUSE: Duration = Duration::from_millis(500);
/// Start records that share one transaction.
pub const MAX_INSERT_GROUP: usize = 32;
/// Records that the sweeper reads at once.
pub const SWEEP_PAGE_ITEMS: usize = 500;
/// Pause of the sweeper between two pages. At the target size, 30 agents of plain services read 30
/// pages a second of the about 2,000 reads that the table takes, and one agent passes over 3.1
/// million records in less than two hours.
pub const SWEEP_PAGE_PAUSE: Duration = Duration::from_secs(1);
/// Pause of the sweeper between two passes; its phase is random.
pub const SWEEP_PASS_PAUSE: Duration = Duration::from_secs(15 * 60);

// Agents.

/// Time to open a connection to the target, which is on the same instance.
pub const TARGET_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval of the target's health check.
pub const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Longest wait for the answer of a health check.
pub const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest deadline that an agent accepts; it keeps the arithmetic on instants in range.
pub const MAX_REMAINING: Duration = Duration::from_secs(24 * 60 * 60);
/// Largest payload of one answer chunk, in bytes. It is larger than the most that one read of
/// the target's connection yields, so that no token line is split between chunks.
pub const MAX_CHUNK_BYTES: usize = 1024 * 1024;
/// Interval at which an agent looks for pauses of its own process.
pub const PAUSE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// A gap between two looks that counts as a pause of the process.
pub const PAUSE_THRESHOLD: Duration = Duration::from_millis(250);
/// Time after a pause in which frames may still come from the socket's buffer.
pub const PAUSE_BACKLOG: Duration = Duration::from_secs(1);
/// Longest wait for the peers to close their links at the end of a graceful stop.
pub const LINK_CLOSE_TIMEOUT: Duration = Duration::from_secs(2);
