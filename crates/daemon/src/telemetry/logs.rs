//! Structured logs on standard output.
//!
//! Lines pass through a bounded queue to a thread that writes them, so that a request never blocks
//! on a slow reader of the output. Lines that exceed the rate limit or the queue are dropped and
//! counted.

use {
    crate::options::log::{LogFormat, LogLevel, LogOptions},
    error_stack::{Report, ResultExt},
    log::LevelFilter,
    logforth::{
        Append, Diagnostic, Error as LogforthError, Layout,
        layout::{JsonLayout, PlainTextLayout},
        record::Record,
        starter_log,
    },
    std::{
        error::Error,
        fmt,
        io::{self, Write},
        result,
        sync::{
            Mutex, PoisonError,
            atomic::{AtomicU64, Ordering},
            mpsc::{self, Receiver, SyncSender},
        },
        thread,
        time::Duration,
    },
    tokio::time::Instant,
};

/// Result of setting up logs.
pub type Result<T> = result::Result<T, Report<LogsError>>;

/// Capacity of the queue to the writer, in lines.
const QUEUE_LINES: usize = 2048;

/// Pause of the writer between two batches. It limits how often logging wakes the process up.
const BATCH_PAUSE: Duration = Duration::from_millis(50);

/// Maximum time that the process waits for its last lines to be written when it ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// Rate limit of routine lines, in lines per second. A gateway at 100 requests per second writes
/// three lines for each, so the limit is reached only when something goes badly wrong.
const MAX_LINES_PER_SECOND: f64 = 400.0;

/// Capacity of the token bucket: the largest burst above the rate limit, in lines.
const BURST_LINES: f64 = 800.0;

/// Failure to set the global logger.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LogsError;

impl fmt::Display for LogsError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("cannot set the global logger")
    }
}

impl Error for LogsError {}

/// Token bucket that limits the rate of lines.
#[derive(Debug)]
struct LineBucket {
    lines: f64,
    filled_at: Instant,
}

impl LineBucket {
    /// Takes one line from the bucket; returns `false` if the bucket is empty.
    fn try_take(&mut self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.filled_at).as_secs_f64();
        self.lines = (self.lines + elapsed * MAX_LINES_PER_SECOND).min(BURST_LINES);
        self.filled_at = now;
        let is_allowed = self.lines >= 1.0;
        if is_allowed {
            self.lines -= 1.0;
        }
        is_allowed
    }
}

/// Item of the queue to the writer.
#[derive(Debug)]
enum QueuedLine {
    /// Bytes of one or more lines.
    Text(Vec<u8>),
    /// Request for a signal once everything queued before it has been written.
    Flush(SyncSender<()>),
}

/// Log appender that limits the rate of lines and queues them for the writer.
#[derive(Debug)]
struct BoundedAppend {
    layout: Box<dyn Layout>,
    queue: SyncSender<QueuedLine>,
    bucket: Mutex<LineBucket>,
    dropped: AtomicU64,
}

impl BoundedAppend {
    fn start(layout: impl Into<Box<dyn Layout>>) -> Self {
        let (queue, lines) = mpsc::sync_channel(QUEUE_LINES);
        thread::spawn(move || write_lines(&lines));
        let bucket = LineBucket {
            lines: BURST_LINES,
            filled_at: Instant::now(),
        };
        Self {
            layout: layout.into(),
            queue,
            bucket: Mutex::new(bucket),
            dropped: AtomicU64::new(0),
        }
    }

    fn is_within_rate(&self, record: &Record<'_>) -> bool {
        // Warnings and errors are rare and matter most, so only the queue limits them.
        let is_routine = record.level() < logforth::record::Level::Warn;
        let mut bucket = self.bucket.lock().unwrap_or_else(PoisonError::into_inner);
        bucket.try_take(Instant::now()) || !is_routine
    }
}

impl Append for BoundedAppend {
    fn append(
        &self,
        record: &Record<'_>,
        diagnostics: &[Box<dyn Diagnostic>],
    ) -> result::Result<(), LogforthError> {
        if !self.is_within_rate(record) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        let mut line = Vec::new();
        if dropped > 0 {
            line = format!("{{\"event\":1007,\"name\":\"LinesDropped\",\"count\":{dropped}}}\n")
                .into_bytes();
        }
        line.extend(self.layout.format(record, diagnostics)?);
        line.push(b'\n');
        if self.queue.try_send(QueuedLine::Text(line)).is_err() {
            self.dropped.fetch_add(dropped + 1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> result::Result<(), LogforthError> {
        let (sender, done) = mpsc::sync_channel(1);
        if self.queue.try_send(QueuedLine::Flush(sender)).is_ok() {
            // A reader that has stalled must not keep the process from ending.
            let _ = done.recv_timeout(FLUSH_TIMEOUT);
        }
        Ok(())
    }
}

fn write_lines(lines: &Receiver<QueuedLine>) {
    let mut output = io::stdout();
    let mut batch = Vec::new();
    while let Ok(first) = lines.recv() {
        let mut flush_requests = Vec::new();
        collect_line(first, &mut batch, &mut flush_requests);
        if flush_requests.is_empty() {
            thread::sleep(BATCH_PAUSE);
        }
        while let Ok(line) = lines.try_recv() {
            collect_line(line, &mut batch, &mut flush_requests);
        }
        // If the output is closed, there is nowhere left to report the failure.
        let _ = output.write_all(&batch);
        let _ = output.flush();
        batch.clear();
        for sender in flush_requests {
            let _ = sender.try_send(());
        }
    }
}

/// Appends the bytes of a line to the batch, or a flush request to `flush_requests`.
fn collect_line(line: QueuedLine, batch: &mut Vec<u8>, flush_requests: &mut Vec<SyncSender<()>>) {
    match line {
        QueuedLine::Flush(sender) => flush_requests.push(sender),
        QueuedLine::Text(text) => batch.extend(text),
    }
}

/// Installs the global logger and sets its level.
///
/// # Errors
///
/// Fails if a global logger is already installed.
pub fn start(options: &LogOptions) -> Result<()> {
    let append = match options.format {
        LogFormat::Json => BoundedAppend::start(JsonLayout::default()),
        LogFormat::Text => BoundedAppend::start(PlainTextLayout::default()),
    };
    starter_log::builder()
        .dispatch(|dispatch| dispatch.append(append))
        .try_apply()
        .change_context(LogsError)?;
    set_level(options);
    Ok(())
}

/// Sets the lowest level at which lines are logged.
pub fn set_level(options: &LogOptions) {
    log::set_max_level(match options.level {
        LogLevel::Debug => LevelFilter::Debug,
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Warn => LevelFilter::Warn,
    });
}
