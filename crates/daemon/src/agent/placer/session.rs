//! Session of a placer under one lease: waits for the members of the group, then runs the driver.

use {
    super::{
        PlacerParts,
        driver::ChangeDriver,
        members::{GroupMember, MemberLinks, discover_members},
    },
    sassafrasslip_core::map_change::MapCoordinator,
    std::fmt,
    tokio::{
        sync::watch,
        time::{Instant, sleep},
    },
};

/// Reason why a session ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SessionEnd {
    /// The lease expired, or another holder has a higher fencing token.
    LeaseLost,
    /// The agents of the group changed.
    MembersChanged,
    /// The agent is stopping.
    Stopped,
    /// The state chart of the coordinator does not match the code.
    ChartFault,
}

impl fmt::Display for SessionEnd {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::ChartFault => "a state chart does not match the code",
            Self::LeaseLost => "the lease ended",
            Self::MembersChanged => "the agents of the group changed",
            Self::Stopped => "the agent is stopping",
        })
    }
}

/// Session of a placer.
pub struct PlacerSession<'a> {
    parts: &'a PlacerParts,
    token: u64,
    lease_end: watch::Receiver<Instant>,
}

impl<'a> PlacerSession<'a> {
    /// Creates a session under a fencing token; `lease_end` carries the expiry of the lease by the
    /// local clock.
    pub fn new(parts: &'a PlacerParts, token: u64, lease_end: watch::Receiver<Instant>) -> Self {
        Self {
            parts,
            token,
            lease_end,
        }
    }

    /// Runs until the lease is lost or the members of the group change; returns which of the two,
    /// or [`SessionEnd::ChartFault`].
    pub async fn run(self) -> SessionEnd {
        let members = self.wait_for_members().await;
        let (links, replies) = MemberLinks::open(&members, &self.parts.hello);
        let (now, lease_end) = (Instant::now(), *self.lease_end.borrow());
        let times = self.parts.options.change;
        let coordinator = MapCoordinator::new(self.token, members.len(), lease_end, times, now);
        let Ok(coordinator) = coordinator else {
            return SessionEnd::ChartFault;
        };
        let driver = ChangeDriver::new(self.parts, self.lease_end, members, links, coordinator);
        driver.run(replies).await
    }

    async fn wait_for_members(&self) -> Vec<GroupMember> {
        loop {
            if let Some(members) = discover_members(self.parts).await {
                return members;
            }
            sleep(self.parts.options.member_interval).await;
        }
    }
}
