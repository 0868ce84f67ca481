//! Structured logs on standard output.
//!
//! Lines go through a bounded queue to a thread that writes them, so that a request never waits
//! for whoever reads the output. Lines beyond the rate or the queue are dropped and counted.

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

/// Lines that wait for the writer.
const QUEUE_LINES: usize = 2048;

/// Pause of the writer between two batches. It bounds the wake-ups that logging costs.
const BATCH_PAUSE: Duration = Duration::from_millis(50);

/// Longest wait for the last lines when the process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// Lines that are written in a second at most. A gateway at 100 requests a second writes three
/// lines for each, so that the bound is reached only when something goes badly wrong.
const MOST_LINES_PER_S: f64 = 400.0;

/// Lines that may be written at once after a quiet time.
const BURST_LINES: f64 = 800.0;

/// The global logger could not be set.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LogsError;

impl fmt::Display for LogsError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("cannot set the global logger")
    }
}

impl Error for LogsError {}

/// Bucket of lines that may be written.
#[derive(Debug)]
struct LineBucket {
    lines: f64,
    filled_at: Instant,
}

impl LineBucket {
    fn take(&mut self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.filled_at).as_secs_f64();
        self.lines = (self.lines + elapsed * MOST_LINES_PER_S).min(BURST_LINES);
        self.filled_at = now;
        let is_allowed = self.lines >= 1.0;
        if is_allowed {
            self.lines -= 1.0;
        }
        is_allowed
    }
}

/// What the writer gets.
#[derive(Debug)]
enum QueuedLine {
    /// Line to write.
    Text(Vec<u8>),
    /// Request to answer when everything before it is written.
    Flush(SyncSender<()>),
}

/// Queue of lines for the writer.
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
        // Warnings and errors are rare and matter most; only the queue bounds them.
        let is_routine = record.level() < logforth::record::Level::Warn;
        let mut bucket = self.bucket.lock().unwrap_or_else(PoisonError::into_inner);
        bucket.take(Instant::now()) || !is_routine
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
        let (sender, written) = mpsc::sync_channel(1);
        if self.queue.try_send(QueuedLine::Flush(sender)).is_ok() {
            // A reader that takes nothing must not keep the process from ending.
            let _ = written.recv_timeout(FLUSH_TIMEOUT);
        }
        Ok(())
    }
}

fn write_lines(lines: &Receiver<QueuedLine>) {
    let mut output = io::stdout();
    let mut batch = Vec::new();
    while let Ok(first) = lines.recv() {
        let mut flushed = Vec::new();
        take(first, &mut batch, &mut flushed);
        if flushed.is_empty() {
            thread::sleep(BATCH_PAUSE);
        }
        while let Ok(line) = lines.try_recv() {
            take(line, &mut batch, &mut flushed);
        }
        // Nobody is left to tell that the output is closed.
        let _ = output.write_all(&batch);
        let _ = output.flush();
        batch.clear();
        for sender in flushed {
            let _ = sender.try_send(());
        }
    }
}

fn take(line: QueuedLine, batch: &mut Vec<u8>, flushed: &mut Vec<SyncSender<()>>) {
    match line {
        QueuedLine::Flush(sender) => flushed.push(sender),
        QueuedLine::Text(text) => batch.extend(text),
    }
}

/// Sets the global logger.
///
/// # Errors
///
/// Fails if a logger is set already.
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

/// Sets the lowest level of log lines.
pub fn set_level(options: &LogOptions) {
    log::set_max_level(match options.level {
        LogLevel::Debug => LevelFilter::Debug,
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Warn => LevelFilter::Warn,
    });
}
