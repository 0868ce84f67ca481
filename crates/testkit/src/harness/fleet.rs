//! Fleet of child processes: platform, targets, relays, agents and entries.

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

/// Time limit of HTTP requests to the processes of the fleet.
const CALL_LIMIT: Duration = Duration::from_secs(5);

/// Running entry and its addresses.
#[derive(Debug)]
pub struct EntryHandle {
    /// Process of the entry.
    pub process: ChildProcess,
    /// Instance name.
    pub name: String,
    /// Availability zone of the entry.
    pub availability_zone: String,
    /// Address for requests of callers.
    pub caller_address: SocketAddr,
    /// Address of the operator API.
    pub operator_address: SocketAddr,
    /// Address that serves metrics and health checks.
    pub metrics_address: SocketAddr,
}

/// Running agent with its target.
#[derive(Debug)]
pub struct AgentHandle {
    /// Process of the agent.
    pub process: ChildProcess,
    /// Instance name.
    pub name: String,
    /// Availability zone of the agent.
    pub availability_zone: String,
    /// Service that the target provides.
    pub service: String,
    /// Address of the target.
    pub target_address: SocketAddr,
    /// Address that serves metrics and health checks.
    pub metrics_address: SocketAddr,
    /// Index in [`Fleet::relays`] of the relay in front of the agent's link address, if links are
    /// relayed.
    pub relay: Option<usize>,
}

/// Running engine stand-in, which is one process for all servers of a model group.
#[derive(Debug)]
pub struct GroupHandle {
    /// Process of the engine stand-in.
    pub process: ChildProcess,
    /// Group name.
    pub name: String,
    /// Service that the group provides.
    pub service: String,
    /// Availability zone of the group.
    pub availability_zone: String,
    /// Address of each server.
    pub servers: Vec<SocketAddr>,
    /// Number of ranks of each server.
    pub ranks: usize,
    /// Most requests in flight at each server.
    pub concurrency: usize,
}

/// Running service stand-in, which is one instance of a plain service.
#[derive(Debug)]
pub struct ServiceHandle {
    /// Process of the service stand-in.
    pub process: ChildProcess,
    /// Name of the instance, made of the zone, the service and a number.
    pub name: String,
    /// Service that the instance provides.
    pub service: String,
    /// Availability zone of the instance.
    pub availability_zone: String,
    /// Address that serves requests and the admin API of the stand-in.
    pub address: SocketAddr,
    /// Most requests in flight at the instance.
    pub concurrency: usize,
}

/// Running relay in front of an agent or the platform.
#[derive(Debug)]
pub struct RelayHandle {
    /// Process of the relay.
    pub process: ChildProcess,
    /// Name of the agent that the relay forwards to, or `platform-ZONE` for the relay between a
    /// zone and the platform.
    pub name: String,
    /// Address that accepts the connections to forward.
    pub address: SocketAddr,
    /// Address of the admin API, which sets the mode of the relay.
    pub admin_address: SocketAddr,
}

/// Child processes of a fleet. Dropping the fleet kills them in the order of the fields: entries
/// first, the platform last.
#[derive(Debug)]
pub struct Fleet {
    /// Running entries.
    pub entries: Vec<EntryHandle>,
    /// Running agents.
    pub agents: Vec<AgentHandle>,
    /// Running relays.
    pub relays: Vec<RelayHandle>,
    /// Running model groups.
    pub groups: Vec<GroupHandle>,
    /// Running instances of plain services.
    pub services: Vec<ServiceHandle>,
    /// Process of the platform stand-in.
    pub platform: ChildProcess,
    /// Address of the platform stand-in, not of a relay.
    pub platform_address: SocketAddr,
    topology: FleetTopology,
    client: HttpClient,
    folder: TempDir,
}

impl Fleet {
    /// Starts the stand-ins, agents and entries of a topology and waits until they are ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a process cannot be started or does not become ready.
    pub async fn start(topology: FleetTopology) -> Result<Self> {
        let mut fleet = Self::start_stand_ins(topology).await?;
        fleet.start_daemons().await?;
        Ok(fleet)
    }

    /// Posts a JSON value to the admin API of a stand-in, for example to set a fault.
    ///
    /// # Errors
    ///
    /// Returns an error if the stand-in cannot be reached or does not answer 200.
    pub async fn post_admin(
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

    /// Sends a GET request and returns the body of the answer as text.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be reached or does not answer 200.
    pub async fn read(&self, address: SocketAddr, path: &str) -> Result<String> {
        let answer = self.client.get(address, path).await;
        let answer = answer.map_err(|error| HarnessError::report(path, error))?;
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        if answer.status == StatusCode::OK {
            return Ok(body);
        }
        Err(HarnessError::report(path, body))
    }

    /// Returns how many steps a model group has made, and in how many of them its ranks used
    /// different expert maps.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine stand-in does not answer or its answer cannot be decoded.
    pub async fn violations(&self, group: &GroupHandle) -> Result<StepViolations> {
        let body = self.read(group.servers[0], "/admin/violations").await?;
        serde_json::from_str(&body).map_err(|error| HarnessError::report(&group.name, error))
    }

    /// Returns the index in [`Fleet::agents`] of the agent with this name.
    pub fn agent(&self, name: &str) -> Option<usize> {
        self.agents.iter().position(|agent| agent.name == name)
    }

    /// Sends SIGTERM to all entries, waits until they have ended, and then does the same for all
    /// agents.
    ///
    /// # Errors
    ///
    /// Returns an error if a process is still running after `limit` or ends with a failure status.
    pub async fn stop_daemons(&mut self, limit: Duration) -> Result<()> {
        let entries = self.entries.iter_mut().map(|entry| &mut entry.process);
        stop_all(entries.collect(), limit).await?;
        let agents = self.agents.iter_mut().map(|agent| &mut agent.process);
        stop_all(agents.collect(), limit).await
    }

    /// Returns the path of a file in the fleet's temporary folder, which is deleted with the fleet.
    pub fn file(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    /// Runs a program to its end and returns its output.
    ///
    /// # Errors
    ///
    /// Returns an error if the program cannot be started, ends with a failure status or is still
    /// running after `limit`.
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

/// Stops processes concurrently. Skips those that have already ended, for example because a test
/// killed them.
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
