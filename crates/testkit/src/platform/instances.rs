//! Instance list that shows changes after a lag.

use {
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
    tokio::time::Instant,
};

/// Role of a listed instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedRole {
    /// The instance runs an entry, which accepts calls.
    Entry,
    /// The instance is a target, to which calls are sent.
    Target,
}

/// State of a listed instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    /// The instance is in service.
    Live,
    /// The platform is going to remove the instance.
    Leaving,
}

/// Instance as the list shows it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedInstance {
    /// Name of the instance.
    pub instance: String,
    /// Whether the instance is an entry or a target.
    pub role: ListedRole,
    /// Availability zone of the instance.
    pub availability_zone: String,
    /// Region of the instance.
    pub region: String,
    /// Service that a target belongs to; `None` for an entry.
    pub service: Option<String>,
    /// Model group that a target belongs to; `None` for an entry or a target of a plain service.
    pub group: Option<String>,
    /// Address at which the instance accepts links between entries and agents.
    pub link_address: SocketAddr,
    /// Whether the instance is in service or about to be removed.
    pub state: ListedState,
}

/// Body of `POST /admin/instances` and of `GET /v1/instances`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceBody {
    /// All live and leaving instances.
    pub instances: Vec<ListedInstance>,
}

/// Instance lists with the times at which they were set, oldest first.
#[derive(Debug, Default)]
pub struct InstanceHistory {
    lists: Vec<(Instant, InstanceBody)>,
}

impl InstanceHistory {
    /// Sets the current list.
    pub fn set(&mut self, body: InstanceBody) {
        self.lists.push((Instant::now(), body));
    }

    /// Returns the list as it was `lag` ago; an empty one if none was set. The first list is shown
    /// at once, so that a test can start a fleet while a lag is set.
    pub fn read(&mut self, lag: Duration) -> InstanceBody {
        let now = Instant::now();
        let shown = self
            .lists
            .iter()
            .rposition(|(set_at, _)| now.duration_since(*set_at) >= lag)
            .unwrap_or(0);
        let shown = self.lists.get(shown);
        shown.map(|(_, body)| body.clone()).unwrap_or_default()
    }
}
