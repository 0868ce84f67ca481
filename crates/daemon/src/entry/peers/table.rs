//! Known peer entries with their links, configuration revisions and team usage.

use {
    crate::link::LinkSender,
    sassafrasslip_core::{
        configuration::Revision,
        explanation::PeerStatus,
        ids::{InstanceName, TeamName, ZoneName},
    },
    sassafrasslip_proto::link::PeerReport,
    slotmap::{SlotMap, new_key_type},
    std::collections::BTreeMap,
};

new_key_type! {
    /// Key of a peer in [`PeerTable`].
    pub struct PeerKey;
}

#[derive(Debug)]
struct Peer {
    name: InstanceName,
    zone: ZoneName,
    sender: Option<LinkSender>,
    revision: Revision,
    teams: Vec<(TeamName, u32)>,
}

/// Peer entries known to this entry. A peer can have two records for a short time, when its link
/// was just replaced.
#[derive(Debug, Default)]
pub struct PeerTable {
    peers: SlotMap<PeerKey, Peer>,
}

impl PeerTable {
    /// Adds a peer without a link, and returns its key.
    pub fn insert(&mut self, name: InstanceName, zone: ZoneName) -> PeerKey {
        self.peers.insert(Peer {
            name,
            zone,
            sender: None,
            revision: 0,
            teams: Vec::new(),
        })
    }

    /// Removes a peer; does nothing if the key is unknown.
    pub fn remove(&mut self, key: PeerKey) {
        self.peers.remove(key);
    }

    /// Records that the link to a peer is open, with the configuration revision of its `Hello`.
    pub fn connected(&mut self, key: PeerKey, sender: LinkSender, revision: Revision) {
        if let Some(peer) = self.peers.get_mut(key) {
            peer.sender = Some(sender);
            peer.revision = revision;
        }
    }

    /// Records that the link to a peer is closed; its team usage no longer counts.
    pub fn disconnected(&mut self, key: PeerKey) {
        if let Some(peer) = self.peers.get_mut(key) {
            peer.sender = None;
            peer.teams.clear();
        }
    }

    /// Records the configuration revision and the team usage that a peer has reported. Teams with
    /// an invalid name are skipped.
    pub fn reported(&mut self, key: PeerKey, report: PeerReport) {
        let Some(peer) = self.peers.get_mut(key) else {
            return;
        };
        peer.revision = report.configuration_revision;
        let teams = report.teams.into_iter();
        let teams = teams.filter_map(|usage| Some((usage.team.parse().ok()?, usage.in_flight)));
        peer.teams = teams.collect();
    }

    /// Returns the number of requests in flight per team and peer; a team has one item for each
    /// peer that reports it.
    pub fn team_usage(&self) -> Vec<(TeamName, u32)> {
        let teams = self.peers.values().flat_map(|peer| &peer.teams);
        teams.cloned().collect()
    }

    /// Returns the senders of all open links.
    pub fn senders(&self) -> Vec<LinkSender> {
        let senders = self.peers.values().filter_map(|peer| peer.sender.clone());
        senders.collect()
    }

    /// Returns the status of all peers, sorted by name. Of two records of one peer, the one with an
    /// open link takes precedence.
    pub fn status(&self) -> Vec<PeerStatus> {
        let mut peers: BTreeMap<&InstanceName, PeerStatus> = BTreeMap::new();
        for peer in self.peers.values() {
            let connected = peer.sender.is_some();
            let known = peers.get(&peer.name).is_some_and(|known| known.connected);
            if connected || !known {
                let status = PeerStatus {
                    entry: peer.name.clone(),
                    availability_zone: peer.zone.clone(),
                    connected,
                    revision: peer.revision,
                };
                peers.insert(&peer.name, status);
            }
        }
        peers.into_values().collect()
    }
}
