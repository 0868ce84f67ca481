//! Election of the agent that takes a free placement lease.

use {
    super::{
        PlacerParts,
        lease::{HeldLease, PlacementLease},
        members::{list_members, probe_facts},
    },
    sassafrasslip_core::{events::LogEvent::PlatformUnavailable, log_event},
    tokio::time::Instant,
};

/// State of one agent's attempts to take the placement lease.
#[derive(Debug, Default)]
pub struct Election {
    /// Time since which the lease may have been free.
    free_since: Option<Instant>,
}

impl Election {
    /// Tries once to take the lease. The reachable member with the lowest first rank takes a free
    /// lease at once, the others after [`takeover_pause`](super::PlacerOptions::takeover_pause).
    /// Returns `None` if the lease was not taken or the table is unavailable.
    pub async fn try_take(
        &mut self,
        parts: &PlacerParts,
        lease: &PlacementLease,
    ) -> Option<HeldLease> {
        let view = match lease.read().await {
            Ok(view) => view,
            Err(error) => {
                self.free_since = None;
                log_event!(PlatformUnavailable, group = parts.group, error = error);
                return None;
            }
        };
        if !view.is_free() {
            self.free_since = None;
        }
        let free_since = *self.free_since.get_or_insert_with(Instant::now);
        let waited = free_since.elapsed() >= parts.options.takeover_pause;
        if view.is_free() && !waited && !has_lowest_rank(parts).await {
            return None;
        }
        match lease.take(&view).await {
            Ok(held) => held,
            Err(error) => {
                log_event!(PlatformUnavailable, group = parts.group, error = error);
                None
            }
        }
    }
}

/// Returns whether no reachable member of the group has a lower first rank.
async fn has_lowest_rank(parts: &PlacerParts) -> bool {
    let Ok(members) = list_members(parts).await else {
        return false;
    };
    for member in members {
        if member.instance == parts.instance {
            continue;
        }
        let facts = probe_facts(member.address, parts).await;
        if facts.is_some_and(|facts| facts.first_rank < parts.first_rank) {
            return false;
        }
    }
    true
}
