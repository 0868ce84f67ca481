//! Starts and lifts the faults of a schedule.

mod actions;

use {
    super::{
        balancer::ReadyEntries,
        disturbances::DisturbanceLog,
        observer::StartCounts,
        operators::ChangeBoard,
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

const TICK: Duration = Duration::from_millis(25);
/// Longest call of the injector to a stand-in or an operator address.
const CALL_LIMIT: Duration = Duration::from_secs(2);
/// Longest time until the last faults are lifted. A restart waits for the work in flight, whose
/// deadline is a few seconds.
const LIFT_LIMIT: Duration = Duration::from_secs(30);
/// Longest wait for operators that still repeat their changes.
const OPERATOR_LIMIT: Duration = Duration::from_secs(60);

/// Fault in force.
struct ActiveFault {
    fault: PlannedFault,
    started: Instant,
    /// Reads the calls admitted at a leaving target.
    base: Option<JoinHandle<Option<u64>>>,
}

/// Owner of the fleet while faults are injected.
pub struct FaultInjector {
    /// Fleet.
    pub fleet: Fleet,
    /// Unplanned faults.
    pub disturbances: Arc<DisturbanceLog>,
    /// Starts of the entries.
    pub starts: Arc<StartCounts>,
    /// Changes of the operators.
    pub board: Arc<ChangeBoard>,
    /// Balancer.
    pub balancer: Arc<ReadyEntries>,
    /// Descriptions of broken guarantees: new work at leaving targets.
    pub leaving_faults: Vec<String>,
    /// Descriptions of planned stops that did not end well.
    pub stop_faults: Vec<String>,
    instances: InstanceBody,
    client: HttpClient,
    operators: JoinSet<()>,
    active: Vec<ActiveFault>,
    begun: Instant,
    log: File,
}

impl FaultInjector {
    /// Creates the injector of a running fleet.
    ///
    /// # Errors
    ///
    /// Fails if the instance list cannot be read.
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
            board: Arc::default(),
            balancer,
            leaving_faults: Vec::new(),
            stop_faults: Vec::new(),
            instances: serde_json::from_str(&list).unwrap_or_default(),
            client: HttpClient::new(CALL_LIMIT),
            operators: JoinSet::new(),
            active: Vec::new(),
            begun: Instant::now(),
            log,
        })
    }

    /// Runs a schedule until all faults are lifted.
    ///
    /// # Errors
    ///
    /// Fails if a fault cannot be injected or lifted.
    pub async fn run(&mut self, schedule: Vec<PlannedFault>) -> Result<()> {
        self.begun = Instant::now();
        let mut schedule = schedule.into_iter().peekable();
        let mut last = self.begun;
        while schedule.peek().is_some() || !self.active.is_empty() {
            while let Some(fault) =
                schedule.next_if(|fault| self.begun + fault.at <= Instant::now())
            {
                last = Instant::now() + fault.duration;
                self.start(fault).await?;
            }
            self.lift_due().await?;
            if schedule.peek().is_none() && Instant::now() > last + LIFT_LIMIT {
                let names = self.active.iter().map(|active| active.fault.to_string());
                let names: Vec<_> = names.collect();
                self.stop_faults.push(format!("not lifted: {names:?}"));
                break;
            }
            sleep(TICK).await;
        }
        let operators = std::mem::take(&mut self.operators);
        let _ = timeout(OPERATOR_LIMIT, operators.join_all()).await;
        Ok(())
    }

    /// Writes a line with the time since the start of the round.
    pub fn note(&mut self, text: &str) {
        let elapsed = self.begun.elapsed().as_secs_f64();
        // A log that cannot be written must not end the run.
        let _ = writeln!(self.log, "{elapsed:9.3} s  {text}");
    }

    async fn start(&mut self, fault: PlannedFault) -> Result<()> {
        let busy = |active: &ActiveFault| active.fault.subject == fault.subject;
        if self.active.iter().any(busy) {
            self.note(&format!("skip   {fault}: the subject is busy"));
            return Ok(());
        }
        self.note(&format!("start  {fault}"));
        for scope in self.scopes(&fault) {
            self.disturbances.begin(&scope);
        }
        let base = self.inject(&fault).await?;
        self.active.push(ActiveFault {
            fault,
            started: Instant::now(),
            base,
        });
        Ok(())
    }

    async fn lift_due(&mut self) -> Result<()> {
        let active = std::mem::take(&mut self.active);
        for mut active in active {
            let is_due = active.started.elapsed() >= active.fault.duration;
            if !is_due || !self.lift(&mut active).await? {
                self.active.push(active);
                continue;
            }
            self.note(&format!(
                "lifted {:?} {}",
                active.fault.kind, active.fault.subject
            ));
            for scope in self.scopes(&active.fault) {
                self.disturbances.end(&scope);
            }
        }
        Ok(())
    }

    /// Returns the entry or the service whose calls an unplanned fault may break.
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
