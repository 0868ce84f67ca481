//! Injects and clears the faults of a schedule.

mod actions;

use {
    super::{
        balancer::ReadyEntries,
        disturbances::DisturbanceLog,
        observer::StartCounts,
        operators::ChangeLedger,
        schedule::{FaultKind, PlannedFault},
    },
    crate::{
        harness::{Fleet, Result},
        http::HttpClient,
        platform::instances::InstanceBody,
    },
    std::{fs::File, io::Write, sync::Arc, time::Duration},
    tokio::{
        task::{JoinHandle, JoinSet},
        time::{Instant, sleep, timeout},
    },
};

/// Interval at which due faults are injected and cleared.
const TICK: Duration = Duration::from_millis(25);
/// Time limit of a request to the operator API of an entry.
const CALL_LIMIT: Duration = Duration::from_secs(2);
/// Longest time until the last faults are cleared, counted from their planned end. A restart waits
/// for the work in flight, whose deadline is a few seconds.
const CLEAR_LIMIT: Duration = Duration::from_secs(30);
/// Longest wait at the end for operators that still retry their changes.
const OPERATOR_LIMIT: Duration = Duration::from_secs(60);

/// Fault that has been injected and not yet cleared.
struct ActiveFault {
    fault: PlannedFault,
    started: Instant,
    /// Task that counts the calls a leaving target has admitted by the time limit for new work.
    baseline: Option<JoinHandle<Option<u64>>>,
}

/// Injector of faults, which owns the fleet while a schedule runs.
pub struct FaultInjector {
    /// Fleet that the faults hit.
    pub fleet: Fleet,
    /// Time windows in which unplanned faults may interrupt calls.
    pub disturbances: Arc<DisturbanceLog>,
    /// Number of starts of each entry.
    pub starts: Arc<StartCounts>,
    /// Configuration changes of the operators.
    pub ledger: Arc<ChangeLedger>,
    /// Balancer of the callers, which knows all entries.
    pub balancer: Arc<ReadyEntries>,
    /// Descriptions of violations by leaving targets that got new work.
    pub leaving_violations: Vec<String>,
    /// Descriptions of planned stops that interrupted work, failed or did not end in time.
    pub stop_violations: Vec<String>,
    instances: InstanceBody,
    client: HttpClient,
    operators: JoinSet<()>,
    active: Vec<ActiveFault>,
    round_start: Instant,
    log: File,
}

impl FaultInjector {
    /// Reads the instance list of a running fleet and returns its injector.
    ///
    /// # Errors
    ///
    /// Returns an error if the instance list cannot be read.
    pub async fn new(
        fleet: Fleet,
        balancer: Arc<ReadyEntries>,
        starts: Arc<StartCounts>,
        disturbances: Arc<DisturbanceLog>,
        log: File,
    ) -> Result<Self> {
        let list = fleet.read(fleet.platform_address, "/v1/instances").await?;
        Ok(Self {
            fleet,
            disturbances,
            starts,
            ledger: Arc::default(),
            balancer,
            leaving_violations: Vec::new(),
            stop_violations: Vec::new(),
            instances: serde_json::from_str(&list).unwrap_or_default(),
            client: HttpClient::new(CALL_LIMIT),
            operators: JoinSet::new(),
            active: Vec::new(),
            round_start: Instant::now(),
            log,
        })
    }

    /// Runs a schedule until all its faults are cleared. A fault that cannot be cleared in time is
    /// recorded as a violation.
    ///
    /// # Errors
    ///
    /// Returns an error if a fault cannot be injected or cleared.
    pub async fn run(&mut self, schedule: Vec<PlannedFault>) -> Result<()> {
        self.round_start = Instant::now();
        let mut schedule = schedule.into_iter().peekable();
        let mut last = self.round_start;
        while schedule.peek().is_some() || !self.active.is_empty() {
            while let Some(fault) =
                schedule.next_if(|fault| self.round_start + fault.at <= Instant::now())
            {
                last = Instant::now() + fault.duration;
                self.start(fault).await?;
            }
            self.clear_due().await?;
            if schedule.peek().is_none() && Instant::now() > last + CLEAR_LIMIT {
                let names = self.active.iter().map(|active| active.fault.to_string());
                let names: Vec<_> = names.collect();
                self.stop_violations.push(format!("not cleared: {names:?}"));
                break;
            }
            sleep(TICK).await;
        }
        let operators = std::mem::take(&mut self.operators);
        let _ = timeout(OPERATOR_LIMIT, operators.join_all()).await;
        Ok(())
    }

    /// Writes a log line with the time since the start of the round.
    pub fn write_log(&mut self, text: &str) {
        let elapsed = self.round_start.elapsed().as_secs_f64();
        // A log that cannot be written does not end the run.
        let _ = writeln!(self.log, "{elapsed:9.3} s  {text}");
    }

    async fn start(&mut self, fault: PlannedFault) -> Result<()> {
        let is_same_subject = |active: &ActiveFault| active.fault.subject == fault.subject;
        if self.active.iter().any(is_same_subject) {
            self.write_log(&format!(
                "skip   {fault}: another fault of the subject is active"
            ));
            return Ok(());
        }
        self.write_log(&format!("start  {fault}"));
        for scope in self.scopes(&fault) {
            self.disturbances.begin(&scope);
        }
        let baseline = self.inject(&fault).await?;
        self.active.push(ActiveFault {
            fault,
            started: Instant::now(),
            baseline,
        });
        Ok(())
    }

    async fn clear_due(&mut self) -> Result<()> {
        let active = std::mem::take(&mut self.active);
        for mut active in active {
            let is_due = active.started.elapsed() >= active.fault.duration;
            if !is_due || !self.clear(&mut active).await? {
                self.active.push(active);
                continue;
            }
            self.write_log(&format!(
                "clear  {:?} {}",
                active.fault.kind, active.fault.subject
            ));
            for scope in self.scopes(&active.fault) {
                self.disturbances.end(&scope);
            }
        }
        Ok(())
    }

    /// Returns the entry or the service whose calls a fault may interrupt; empty for a planned
    /// fault and for a fault that must not interrupt calls.
    fn scopes(&self, fault: &PlannedFault) -> Vec<String> {
        let service = |name: &str| {
            let agent = self.fleet.agents.iter().find(|agent| agent.name == name);
            agent.map(|agent| agent.service.clone())
        };
        let group = |name: &str| {
            let group = self.fleet.groups.iter().find(|group| group.name == name);
            group.map(|group| group.service.clone())
        };
        let scope = match fault.kind {
            FaultKind::KillEntry | FaultKind::FreezeEntry => Some(fault.subject.clone()),
            FaultKind::KillAgent
            | FaultKind::FreezeAgent
            | FaultKind::LinkRefused
            | FaultKind::LinkHeld
            | FaultKind::LinkDelayed
            | FaultKind::LinkCut => service(&fault.subject),
            FaultKind::EngineDown | FaultKind::RankStalled => group(&fault.subject),
            _ => None,
        };
        scope.into_iter().collect()
    }
}
