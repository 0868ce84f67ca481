//! Child processes. Each is killed by its process id, not by name, when its handle is dropped.

use {
    super::{HarnessError, Result},
    std::{
        fs::{self, OpenOptions},
        path::PathBuf,
        process::{Child, Command, ExitStatus, Stdio},
        thread,
        time::Duration,
    },
    tokio::time::{Instant, sleep},
};

/// Interval at which [`ChildProcess::wait_exit`] polls the process.
const EXIT_POLL: Duration = Duration::from_millis(10);
/// Log lines that are included in errors and printed when a test panics.
const SHOWN_LOG_LINES: usize = 20;

/// Signal that the harness sends to a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProcessSignal {
    /// SIGTERM, which requests a graceful stop.
    Terminate,
    /// SIGHUP, which makes a daemon read its settings again.
    Hangup,
    /// SIGKILL, which ends the process immediately.
    Kill,
    /// SIGSTOP, which pauses the process.
    Stop,
    /// SIGCONT, which resumes a paused process.
    Continue,
}

impl ProcessSignal {
    fn name(self) -> &'static str {
        match self {
            Self::Continue => "CONT",
            Self::Hangup => "HUP",
            Self::Kill => "KILL",
            Self::Stop => "STOP",
            Self::Terminate => "TERM",
        }
    }
}

/// Command line and log file of a child process.
#[derive(Clone, Debug)]
pub struct ProcessSpec {
    /// Name of the process in error messages.
    pub name: String,
    /// Path of the executable, or its name if it is searched for in `PATH`.
    pub program: PathBuf,
    /// Command-line arguments, without the program itself.
    pub arguments: Vec<String>,
    /// File to which standard output and standard error are appended, so that a restart keeps the
    /// log.
    pub log: PathBuf,
}

/// Running or ended child process. Dropping it kills the process and waits for its end.
#[derive(Debug)]
pub struct ChildProcess {
    spec: ProcessSpec,
    child: Child,
    status: Option<ExitStatus>,
}

impl ChildProcess {
    /// Starts a process with an empty standard input and its output appended to the log file.
    ///
    /// # Errors
    ///
    /// Returns an error if the log file cannot be opened or the program cannot be executed.
    pub fn start(spec: ProcessSpec) -> Result<Self> {
        let child = spawn(&spec)?;
        Ok(Self {
            spec,
            child,
            status: None,
        })
    }

    /// Starts the program again with the same arguments and log file, after the process has ended.
    ///
    /// # Errors
    ///
    /// Returns an error if the process is still running or the program cannot be executed.
    pub fn restart(&mut self) -> Result<()> {
        if self.try_exit()?.is_none() {
            return Err(self.failure("is still running"));
        }
        self.child = spawn(&self.spec)?;
        self.status = None;
        Ok(())
    }

    /// Returns the process id, which a restart changes.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the name that error messages use.
    pub fn name(&self) -> &str {
        &self.spec.name
    }

    /// Returns the output of the process so far, that of earlier starts included; empty if the log
    /// file cannot be read.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.spec.log).unwrap_or_default()
    }

    /// Sends a signal. Nothing is sent to a process that has ended, because the system may have
    /// given its id to another process.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has ended or `kill` fails.
    pub fn signal(&mut self, signal: ProcessSignal) -> Result<()> {
        if self.try_exit()?.is_some() {
            return Err(self.failure("has ended"));
        }
        let mut command = Command::new("kill");
        let command = command.args(["-s", signal.name(), &self.id().to_string()]);
        let status = command.status().map_err(|error| self.failure(error))?;
        if status.success() {
            return Ok(());
        }
        Err(self.failure(format!("kill -s {} failed", signal.name())))
    }

    /// Returns the exit status if the process has ended, without waiting.
    ///
    /// # Errors
    ///
    /// Returns an error if the system cannot report the state of the process.
    pub fn try_exit(&mut self) -> Result<Option<ExitStatus>> {
        if self.status.is_none() {
            let status = self.child.try_wait();
            self.status = status.map_err(|error| self.failure(error))?;
        }
        Ok(self.status)
    }

    /// Waits for the process to end and returns its exit status.
    ///
    /// # Errors
    ///
    /// Returns an error if the process is still running after `limit`.
    pub async fn wait_exit(&mut self, limit: Duration) -> Result<ExitStatus> {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if let Some(status) = self.try_exit()? {
                return Ok(status);
            }
            sleep(EXIT_POLL).await;
        }
        Err(self.failure(format!("is still running after {limit:?}")))
    }

    /// Returns an error report about this process, with the last lines of its log.
    pub(super) fn failure(&self, fault: impl ToString) -> error_stack::Report<HarnessError> {
        let name = format!("{} (process {})", self.spec.name, self.id());
        let (fault, log) = (fault.to_string(), self.log_tail());
        HarnessError::report(name, format!("{fault}; last log lines:\n{log}"))
    }

    fn log_tail(&self) -> String {
        let log = self.log();
        let lines: Vec<_> = log.lines().collect();
        lines[lines.len().saturating_sub(SHOWN_LOG_LINES)..].join("\n")
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        if thread::panicking() {
            eprintln!("--- log of {} ---\n{}", self.spec.name, self.log_tail());
        }
        if let Ok(None) = self.try_exit() {
            let _ = self.child.kill();
            let _ = self.child.wait();
        }
    }
}

fn spawn(spec: &ProcessSpec) -> Result<Child> {
    let failed = |error: std::io::Error| HarnessError::report(&spec.name, error);
    let log = OpenOptions::new().create(true).append(true).open(&spec.log);
    let log = log.map_err(failed)?;
    let errors = log.try_clone().map_err(failed)?;
    Command::new(&spec.program)
        .args(&spec.arguments)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors)
        .spawn()
        .map_err(failed)
}
