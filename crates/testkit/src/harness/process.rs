//! Child processes, which are ended by their id when they are dropped.

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

/// Interval at which an awaited end is looked for.
const EXIT_POLL: Duration = Duration::from_millis(10);
/// Log lines that are shown when a test fails.
const SHOWN_LOG_LINES: usize = 20;

/// Signal to a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProcessSignal {
    /// SIGTERM, which asks for a graceful stop.
    Terminate,
    /// SIGHUP, which asks for the settings to be read again.
    Hangup,
    /// SIGKILL, which ends the process at once.
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

/// What to start.
#[derive(Clone, Debug)]
pub struct ProcessSpec {
    /// Name in messages.
    pub name: String,
    /// Program.
    pub program: PathBuf,
    /// Arguments.
    pub arguments: Vec<String>,
    /// File to which standard output and standard error are appended.
    pub log: PathBuf,
}

/// Child process.
#[derive(Debug)]
pub struct ChildProcess {
    spec: ProcessSpec,
    child: Child,
    status: Option<ExitStatus>,
}

impl ChildProcess {
    /// Starts a process.
    ///
    /// # Errors
    ///
    /// Fails if the program cannot be started.
    pub fn start(spec: ProcessSpec) -> Result<Self> {
        let child = spawn(&spec)?;
        Ok(Self {
            spec,
            child,
            status: None,
        })
    }

    /// Starts the process again after its end.
    ///
    /// # Errors
    ///
    /// Fails if it still runs or cannot be started.
    pub fn restart(&mut self) -> Result<()> {
        if self.try_exit()?.is_none() {
            return Err(self.failure("still runs"));
        }
        self.child = spawn(&self.spec)?;
        self.status = None;
        Ok(())
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the name in messages.
    pub fn name(&self) -> &str {
        &self.spec.name
    }

    /// Returns what the process has written so far.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.spec.log).unwrap_or_default()
    }

    /// Sends a signal. A process that has ended gets none, because its id may be another's.
    ///
    /// # Errors
    ///
    /// Fails if the process has ended.
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

    /// Returns the exit status if the process has ended.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot be asked.
    pub fn try_exit(&mut self) -> Result<Option<ExitStatus>> {
        if self.status.is_none() {
            let status = self.child.try_wait();
            self.status = status.map_err(|error| self.failure(error))?;
        }
        Ok(self.status)
    }

    /// Waits for the end of the process.
    ///
    /// # Errors
    ///
    /// Fails if the process still runs after `limit`.
    pub async fn wait_exit(&mut self, limit: Duration) -> Result<ExitStatus> {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if let Some(status) = self.try_exit()? {
                return Ok(status);
            }
            sleep(EXIT_POLL).await;
        }
        Err(self.failure(format!("still runs after {limit:?}")))
    }

    /// Creates a report about this process, with the end of its log.
    pub(super) fn failure(&self, fault: impl ToString) -> error_stack::Report<HarnessError> {
        let name = format!("{} (process {})", self.spec.name, self.id());
        let (fault, log) = (fault.to_string(), self.log_tail());
        HarnessError::report(name, format!("{fault}; end of its log:\n{log}"))
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
