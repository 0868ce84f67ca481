//! Work of a placer under one lease.

use {
    super::{
        PlacerParts,
        driver::ChangeDriver,
        members::{GroupMember, MemberLinks, find_members},
    },
    sassafrasslip_core::map_change::MapCoordinator,
    std::fmt,
    tokio::{
        sync::watch,
        time::{Instant, sleep},
    },
};

/// Why a session ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SessionEnd {
    /// The lease ended or another holder has a higher token.
    LeaseLost,
    /// The agents of the group changed.
    MembersChanged,
    /// The agent stops.
    Stopped,
    /// A chart does not match the program.
    ChartFault,
}

impl fmt::Display for SessionEnd {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::ChartFault => "a state chart does not match the program",
            Self::LeaseLost => "the lease ended",
            Self::MembersChanged => "the agents of the group changed",
            Self::Stopped => "the agent stops",
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
    /// Creates a session under a fencing token.
    pub fn new(parts: &'a PlacerParts, token: u64, lease_end: watch::Receiver<Instant>) -> Self {
        Self {
            parts,
            token,
            lease_end,
        }
    }

    /// Works until the lease or the membership ends.
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
            if let Some(members) = find_members(self.parts).await {
                return members;
            }
            sleep(self.parts.options.member_interval).await;
        }
    }
}
