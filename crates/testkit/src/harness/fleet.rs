//! Fleet of child processes.

mod daemons;
mod stand_ins;

use {
    super::{
        HarnessError, Result,
        process::{ChildProcess, ProcessSignal, ProcessSpec},
        topology::FleetTopology,
    },
    crate::{engine::StepViolations, http::HttpClient},
    hyper::StatusCode,
    serde::Serialize,
    std::{net::SocketAddr, path::PathBuf, time::Duration},
    tempfile::TempDir,
};

/// Time limit of calls to switches.
const CALL_LIMIT: Duration = Duration::from_secs(5);

/// Entry process.
#[derive(Debug)]
pub struct EntryHandle {
    /// Process.
    pub process: ChildProcess,
    /// Instance name.
    pub name: String,
    /// Availability zone.
    pub availability_zone: String,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for operators.
    pub operator_address: SocketAddr,
    /// Address of metrics and health.
    pub metrics_address: SocketAddr,
}

/// Agent process.
#[derive(Debug)]
pub struct AgentHandle {
    /// Process.
    pub process: ChildProcess,
    /// Instance name.
    pub name: String,
    /// Availability zone.
    pub availability_zone: String,
    /// Service of the target.
    pub service: String,
    /// Address of the target.
    pub target_address: SocketAddr,
    /// Address of metrics and health.
    pub metrics_address: SocketAddr,
    /// Position of the agent's relay, if links are relayed.
    pub relay: Option<usize>,
}

/// Model group process.
#[derive(Debug)]
pub struct GroupHandle {
    /// Process.
    pub process: ChildProcess,
    /// Name.
    pub name: String,
    /// Service.
    pub service: String,
    /// Availability zone.
    pub availability_zone: String,
    /// Addresses of the servers.
    pub servers: Vec<SocketAddr>,
    /// Ranks of each server.
    pub ranks: usize,
    /// Requests in flight at each server.
    pub concurrency: usize,
}

/// Process of a plain service's instance.
#[derive(Debug)]
pub struct ServiceHandle {
    /// Process.
    pub process: ChildProcess,
    /// Name.
    pub name: String,
    /// Service.
    pub service: String,
    /// Availability zone.
    pub availability_zone: String,
    /// Address.
    pub address: SocketAddr,
    /// Requests in flight.
    pub concurrency: usize,
}

/// Relay process.
#[derive(Debug)]
pub struct RelayHandle {
    /// Process.
    pub process: ChildProcess,
    /// Agent or availability zone behind which the relay stands.
    pub name: String,
    /// Address that callers use.
    pub address: SocketAddr,
    /// Address of the switch.
    pub admin_address: SocketAddr,
}

/// Fleet whose processes end when it is dropped. Entries end first, stand-ins last.
#[derive(Debug)]
pub struct Fleet {
    /// Entries.
    pub entries: Vec<EntryHandle>,
    /// Agents.
    pub agents: Vec<AgentHandle>,
    /// Relays.
    pub relays: Vec<RelayHandle>,
    /// Model groups.
    pub groups: Vec<GroupHandle>,
    /// Instances of plain services.
    pub services: Vec<ServiceHandle>,
    /// Platform.
    pub platform: ChildProcess,
    /// Address of the platform.
    pub platform_address: SocketAddr,
    topology: FleetTopology,
    client: HttpClient,
    folder: TempDir,
}

impl Fleet {
    /// Starts all processes and waits until they are ready.
    ///
    /// # Errors
    ///
    /// Fails if a process cannot be started or does not become ready.
    pub async fn start(topology: FleetTopology) -> Result<Self> {
        let mut fleet = Self::start_stand_ins(topology).await?;
        fleet.start_daemons().await?;
        Ok(fleet)
    }

    /// Posts JSON to a switch of a stand-in.
    ///
    /// # Errors
    ///
    /// Fails if the stand-in does not answer 200.
    pub async fn switch(
        &self,
        address: SocketAddr,
        path: &str,
        value: &impl Serialize,
    ) -> Result<()> {
        let answer = self.client.post(address, path, value).await;
        let answer = answer.map_err(|error| HarnessError::report(path, error))?;
        if answer.status == StatusCode::OK {
            return Ok(());
        }
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        Err(HarnessError::report(path, body))
    }

    /// Reads a path with GET.
    ///
    /// # Errors
    ///
    /// Fails if the process does not answer 200.
    pub async fn read(&self, address: SocketAddr, path: &str) -> Result<String> {
        let answer = self.client.get(address, path).await;
        let answer = answer.map_err(|error| HarnessError::report(path, error))?;
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        if answer.status == StatusCode::OK {
            return Ok(body);
        }
        Err(HarnessError::report(path, body))
    }

    /// Returns the steps of a model group in which ranks used different expert maps.
    ///
    /// # Errors
    ///
    /// Fails if the engine does not answer.
    pub async fn violations(&self, group: &GroupHandle) -> Result<StepViolations> {
        let body = self.read(group.servers[0], "/admin/violations").await?;
        serde_json::from_str(&body).map_err(|error| HarnessError::report(&group.name, error))
    }

    /// Returns the position of an agent.
    pub fn agent(&self, name: &str) -> Option<usize> {
        self.agents.iter().position(|agent| agent.name == name)
    }

    /// Sends SIGTERM to all entries and agents and waits until they have ended with success.
    ///
    /// # Errors
    ///
    /// Fails if a process still runs after `limit` or reports a failure.
    pub async fn stop_daemons(&mut self, limit: Duration) -> Result<()> {
        let entries = self.entries.iter_mut().map(|entry| &mut entry.process);
        stop_all(entries.collect(), limit).await?;
        let agents = self.agents.iter_mut().map(|agent| &mut agent.process);
        stop_all(agents.collect(), limit).await
    }

    /// Returns the file in the fleet's temporary folder.
    pub fn file(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    /// Runs a program to its end and returns what it wrote.
    ///
    /// # Errors
    ///
    /// Fails if the program reports a failure or still runs after `limit`.
    pub async fn run_program(
        &self,
        name: &str,
        program: PathBuf,
        arguments: Vec<String>,
        limit: Duration,
    ) -> Result<String> {
        let mut process = self.start_process(name, program, arguments)?;
        let status = process.wait_exit(limit).await?;
        if status.success() {
            return Ok(process.log());
        }
        Err(process.failure(format!("ended with {status}")))
    }

    fn start_process(
        &self,
        name: &str,
        program: PathBuf,
        arguments: Vec<String>,
    ) -> Result<ChildProcess> {
        ChildProcess::start(ProcessSpec {
            name: name.to_owned(),
            program,
            arguments,
            log: self.file(&format!("{name}.log")),
        })
    }
}

/// Stops processes together. One that has been killed by a test is skipped.
async fn stop_all(mut processes: Vec<&mut ChildProcess>, limit: Duration) -> Result<()> {
    let mut running = Vec::new();
    for process in &mut processes {
        if process.try_exit()?.is_none() {
            process.signal(ProcessSignal::Terminate)?;
            running.push(process);
        }
    }
    for process in running {
        let status = process.wait_exit(limit).await?;
        if !status.success() {
            return Err(process.failure(format!("ended with {status}")));
        }
    }
    Ok(())
}
