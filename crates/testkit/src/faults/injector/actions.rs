//! Injects and clears each kind of fault in the fleet.

use {
    super::{ActiveFault, CLEAR_LIMIT, FaultInjector},
    crate::{
        faults::{
            leaving, operators,
            schedule::{FaultKind, PlannedFault},
        },
        harness::{ChildProcess, HarnessError, ProcessSignal, Result},
        platform::{FaultMode, FaultSwitch, PlatformFaults, instances::ListedState},
        relay::{RelayMode, RelaySwitch},
    },
    serde_json::json,
    std::net::SocketAddr,
    tokio::{task::JoinHandle, time::Instant},
};

/// Event name that a daemon logs if it interrupts work at the end of the stop grace.
const INTERRUPTED_EVENT: &str = "StopGraceExceeded";
/// Answer delay of a slow table in milliseconds, close to the platform timeout of 1 s.
const TABLE_DELAY_MS: u64 = 700;
/// Share of requests whose answers a table loses, from 0 to 1.
const LOST_SHARE: f64 = 0.4;
/// Delay of a relay in milliseconds, for each chunk of bytes.
const RELAY_DELAY_MS: u64 = 40;
/// Bytes that a connection of a cutting relay forwards to the caller before it is closed.
const CUT_BYTES: u64 = 2_000;
/// Lag of the instance list in milliseconds.
const LIST_LAG_MS: u64 = 20_000;

/// Task that returns the calls a leaving target has admitted by the time limit for new work; `None`
/// if its agent does not answer.
type BaselineCount = JoinHandle<Option<u64>>;

impl FaultInjector {
    /// Applies a fault to the fleet. For a target that is leaving, returns the task that counts the
    /// calls it has admitted.
    pub(super) async fn inject(&mut self, fault: &PlannedFault) -> Result<Option<BaselineCount>> {
        match fault.kind {
            FaultKind::KillEntry | FaultKind::KillAgent => {
                self.starts.add(&fault.subject);
                self.signal(&fault.subject, ProcessSignal::Kill)?;
            }
            FaultKind::FreezeEntry | FaultKind::FreezeAgent => {
                self.signal(&fault.subject, ProcessSignal::Stop)?;
            }
            FaultKind::RestartEntry | FaultKind::RestartAgent => {
                self.starts.add(&fault.subject);
                self.signal(&fault.subject, ProcessSignal::Terminate)?;
            }
            FaultKind::OperatorsRace | FaultKind::ChangeRepeated => self.start_operators(fault),
            FaultKind::ListedLeaving => return self.list_as_leaving(fault).await,
            FaultKind::Drained => return self.drain(fault).await,
            _ => self.switch_stand_in(fault, true).await?,
        }
        Ok(None)
    }

    /// Reverts a fault. Returns false if it has to be tried again at the next tick.
    pub(super) async fn clear(&mut self, active: &mut ActiveFault) -> Result<bool> {
        let fault = active.fault.clone();
        match fault.kind {
            FaultKind::KillEntry | FaultKind::KillAgent => {
                self.process(&fault.subject)?.wait_exit(CLEAR_LIMIT).await?;
                self.process(&fault.subject)?.restart()?;
            }
            FaultKind::FreezeEntry | FaultKind::FreezeAgent => {
                self.signal(&fault.subject, ProcessSignal::Continue)?;
            }
            FaultKind::RestartEntry | FaultKind::RestartAgent => {
                return self.restart_after_stop(&fault.subject);
            }
            FaultKind::OperatorsRace | FaultKind::ChangeRepeated => {}
            FaultKind::ListedLeaving => {
                self.check_leaving(active).await;
                self.set_listed(&fault.subject, ListedState::Live).await?;
            }
            FaultKind::Drained => {
                self.check_leaving(active).await;
                return Ok(self.set_drained(&fault.subject, false).await);
            }
            _ => self.switch_stand_in(&fault, false).await?,
        }
        Ok(true)
    }

    fn process(&mut self, name: &str) -> Result<&mut ChildProcess> {
        let fleet = &mut self.fleet;
        let entries = fleet.entries.iter_mut();
        let entries = entries.map(|entry| (&entry.name, &mut entry.process));
        let agents = fleet.agents.iter_mut();
        let agents = agents.map(|agent| (&agent.name, &mut agent.process));
        let found = entries
            .chain(agents)
            .find(|(process_name, _)| *process_name == name);
        found
            .map(|(_, process)| process)
            .ok_or_else(|| HarnessError::report(name, "no such process"))
    }

    fn signal(&mut self, name: &str, signal: ProcessSignal) -> Result<()> {
        self.process(name)?.signal(signal)
    }

    /// Restarts a process after its planned stop and records a violation if the stop interrupted
    /// work. Returns false if the process has not ended yet.
    fn restart_after_stop(&mut self, name: &str) -> Result<bool> {
        let process = self.process(name)?;
        let Some(status) = process.try_exit()? else {
            return Ok(false);
        };
        let interrupted = process.log().contains(INTERRUPTED_EVENT);
        process.restart()?;
        if interrupted || !status.success() {
            let violation =
                format!("stop of {name} ended with {status}, work interrupted: {interrupted}");
            self.stop_violations.push(violation);
        }
        Ok(true)
    }

    fn start_operators(&mut self, fault: &PlannedFault) {
        let entries = self.balancer.entries();
        let first = fault.draw as usize % entries.len();
        let ledger = std::sync::Arc::clone(&self.ledger);
        if fault.kind == FaultKind::OperatorsRace {
            let second = (first + 1) % entries.len();
            let pair = [entries[first].clone(), entries[second].clone()];
            self.operators
                .spawn(operators::race(ledger, pair, fault.draw));
            return;
        }
        let mut entries = entries.to_vec();
        entries.rotate_left(first);
        self.operators
            .spawn(operators::repeat(ledger, entries, fault.draw));
    }

    fn agent_metrics(&self, name: &str) -> Option<SocketAddr> {
        let position = self.fleet.agent(name)?;
        Some(self.fleet.agents[position].metrics_address)
    }

    fn start_baseline_count(&self, name: &str) -> Option<BaselineCount> {
        let agent = self.agent_metrics(name)?;
        Some(tokio::spawn(leaving::baseline_count(agent, Instant::now())))
    }

    async fn list_as_leaving(&mut self, fault: &PlannedFault) -> Result<Option<BaselineCount>> {
        self.set_listed(&fault.subject, ListedState::Leaving)
            .await?;
        Ok(self.start_baseline_count(&fault.subject))
    }

    async fn set_listed(&mut self, name: &str, state: ListedState) -> Result<()> {
        let instances = self.instances.instances.iter_mut();
        instances
            .filter(|instance| instance.instance == name)
            .for_each(|instance| instance.state = state);
        let address = self.fleet.platform_address;
        self.fleet
            .post_admin(address, "/admin/instances", &self.instances)
            .await
    }

    async fn drain(&mut self, fault: &PlannedFault) -> Result<Option<BaselineCount>> {
        let reached = self.set_drained(&fault.subject, true).await;
        if !reached {
            self.write_log("       no entry confirmed the drain");
        }
        Ok(reached
            .then(|| self.start_baseline_count(&fault.subject))
            .flatten())
    }

    /// Sends an order to start or end a drain to one entry after the other, until one confirms it.
    /// Returns whether one did.
    async fn set_drained(&self, name: &str, draining: bool) -> bool {
        let body = json!({"operator": "drainer", "draining": draining, "reason": "fault run"});
        let path = format!("/v1/drain/{name}");
        for entry in self.balancer.entries() {
            let answer = self.client.post(entry.operator_address, &path, &body).await;
            if answer.is_ok_and(|answer| answer.status == 200) {
                return true;
            }
        }
        false
    }

    async fn check_leaving(&mut self, active: &mut ActiveFault) {
        let Some(baseline) = active.baseline.take() else {
            return;
        };
        let agent = self.agent_metrics(&active.fault.subject);
        if let (Some(agent), Ok(Some(baseline))) = (agent, baseline.await) {
            let count = leaving::new_calls(agent, baseline).await;
            if count > 0 {
                let violation = format!(
                    "{count} calls admitted later than 2 s after {}",
                    active.fault
                );
                self.leaving_violations.push(violation);
            }
        }
    }

    async fn switch_stand_in(&self, fault: &PlannedFault, on: bool) -> Result<()> {
        match fault.kind {
            FaultKind::TableDown
            | FaultKind::TableSlow
            | FaultKind::TableLosesAnswers
            | FaultKind::ListLags => self.switch_platform(fault, on).await,
            FaultKind::EngineDown | FaultKind::RankStalled => self.switch_engine(fault, on).await,
            _ => self.switch_relay(fault, on).await,
        }
    }

    async fn switch_platform(&self, fault: &PlannedFault, on: bool) -> Result<()> {
        let mode = match fault.kind {
            FaultKind::TableDown if on => FaultMode::Down,
            FaultKind::TableSlow if on => FaultMode::Slow,
            FaultKind::TableLosesAnswers if on => FaultMode::LoseAnswers,
            _ => FaultMode::Ok,
        };
        let is_lag = fault.kind == FaultKind::ListLags;
        let switch = FaultSwitch {
            mode,
            delay_ms: TABLE_DELAY_MS,
            probability: if mode == FaultMode::LoseAnswers {
                LOST_SHARE
            } else {
                1.0
            },
            seed: Some(fault.draw),
            lag_ms: if is_lag && on { LIST_LAG_MS } else { 0 },
        };
        let plan = PlatformFaults {
            table: (!is_lag).then_some(switch),
            objects: None,
            instances: is_lag.then_some(switch),
        };
        let address = self.fleet.platform_address;
        self.fleet.post_admin(address, "/admin/faults", &plan).await
    }

    async fn switch_engine(&self, fault: &PlannedFault, on: bool) -> Result<()> {
        let group = self.fleet.groups.iter();
        let mut group = group.filter(|group| group.name == fault.subject);
        let group = group
            .next()
            .ok_or_else(|| HarnessError::report(&fault.subject, "no such group"))?;
        let server = fault.draw as usize % group.servers.len();
        let address = group.servers[server];
        if fault.kind == FaultKind::EngineDown {
            let body = json!({"down": on});
            return self.fleet.post_admin(address, "/admin/server", &body).await;
        }
        let mode = if on { "stall" } else { "ok" };
        let body = json!({"rank": server * group.ranks, "mode": mode});
        self.fleet.post_admin(address, "/admin/ranks", &body).await
    }

    async fn switch_relay(&self, fault: &PlannedFault, on: bool) -> Result<()> {
        let mode = match fault.kind {
            _ if !on => RelayMode::Pass,
            FaultKind::PlatformRefused | FaultKind::LinkRefused => RelayMode::Refuse,
            FaultKind::PlatformHeld | FaultKind::LinkHeld => RelayMode::BlackHole,
            FaultKind::PlatformDelayed | FaultKind::LinkDelayed => RelayMode::Delay,
            _ => RelayMode::Cut,
        };
        let switch = RelaySwitch {
            mode,
            delay_ms: RELAY_DELAY_MS,
            after_bytes: CUT_BYTES,
        };
        let names = [fault.subject.clone(), format!("platform-{}", fault.subject)];
        let mut relays = self.fleet.relays.iter();
        let relay = relays.find(|relay| names.contains(&relay.name));
        let relay = relay.ok_or_else(|| HarnessError::report(&fault.subject, "no such relay"))?;
        self.fleet
            .post_admin(relay.admin_address, "/admin/mode", &switch)
            .await
    }
}
