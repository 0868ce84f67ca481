//! Instance list that shows changes late.

use {
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
    tokio::time::Instant,
};

/// Role of an instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedRole {
    /// Entry instance.
    Entry,
    /// Target instance.
    Target,
}

/// State of an instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    /// In service.
    Live,
    /// Will be taken away.
    Leaving,
}

/// Instance of the list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedInstance {
    /// Name.
    pub instance: String,
    /// Role.
    pub role: ListedRole,
    /// Availability zone.
    pub availability_zone: String,
    /// Region.
    pub region: String,
    /// Service of a target.
    pub service: Option<String>,
    /// Model group of a target.
    pub group: Option<String>,
    /// Address for links.
    pub link_address: SocketAddr,
    /// State.
    pub state: ListedState,
}

/// Body of `POST /admin/instances` and of `GET /v1/instances`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceBody {
    /// All live and leaving instances.
    pub instances: Vec<ListedInstance>,
}

/// Lists by the time at which they were set, oldest first.
#[derive(Debug, Default)]
pub struct InstanceHistory {
    lists: Vec<(Instant, InstanceBody)>,
}

impl InstanceHistory {
    /// Sets the list.
    pub fn set(&mut self, body: InstanceBody) {
        self.lists.push((Instant::now(), body));
    }

    /// Returns the list as it was `lag` ago. The first list is shown at once, so that a test can
    /// start a fleet under a lag.
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
