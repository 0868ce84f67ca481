//! Set of targets, maintained from the instance list and the reports of their agents.

pub mod policy;
pub mod target;

pub use {
    policy::CachedSetting,
    target::{AgentFacts, AgentStatus, ServiceKind, Target, TargetListing, TargetLoad},
};

use {
    crate::{
        configuration::ConfigurationView,
        ids::{InstanceName, ServiceName},
    },
    slotmap::{SlotMap, new_key_type},
    std::{
        collections::{HashMap, HashSet},
        sync::Arc,
    },
};

new_key_type! {
    /// Key of a target in [`Membership`]; it is not reused after the target is removed.
    pub struct TargetKey;
}

/// Changes of the target set that a new instance list causes.
#[derive(Debug, Default)]
pub struct ListChanges {
    /// Added targets, to which a link has to be opened.
    pub joined: Vec<TargetKey>,
    /// Removed targets, whose links can be closed.
    pub removed: Vec<TargetKey>,
    /// Targets that this list is the first to mark as leaving or to omit, and that stay for now.
    pub leaving: Vec<TargetKey>,
}

/// Targets of a service, in the order in which they were added.
#[derive(Debug, Default)]
struct ServiceTargets {
    keys: Vec<TargetKey>,
    /// Name hash of each target, parallel to `keys`, so that hashing over all targets of a service
    /// reads one contiguous array.
    name_hashes: Vec<u64>,
}

/// All known targets, indexed by service and by name.
#[derive(Debug, Default)]
pub struct Membership {
    targets: SlotMap<TargetKey, Target>,
    by_name: HashMap<InstanceName, TargetKey>,
    by_service: HashMap<ServiceName, ServiceTargets>,
    view: Arc<ConfigurationView>,
    listed: bool,
}

impl Membership {
    /// Returns whether an instance list has been applied. Until then, a service without targets
    /// cannot be reported as unknown.
    pub fn is_listed(&self) -> bool {
        self.listed
    }

    /// Returns the target with this key, or `None` if it has been removed.
    pub fn target(&self, key: TargetKey) -> Option<&Target> {
        self.targets.get(key)
    }

    /// Returns all targets with their keys, in no particular order.
    pub fn targets(&self) -> impl Iterator<Item = (TargetKey, &Target)> {
        self.targets.iter()
    }

    /// Returns the key of the target with this name.
    pub fn find(&self, name: &InstanceName) -> Option<TargetKey> {
        self.by_name.get(name).copied()
    }

    /// Returns the keys of a service's targets, in the order in which they were added.
    pub fn of_service(&self, service: &ServiceName) -> &[TargetKey] {
        let targets = self.by_service.get(service);
        targets.map_or(&[], |targets| targets.keys.as_slice())
    }

    /// Returns the name hashes of a service's targets, in the order of [`Self::of_service`].
    pub fn name_hashes(&self, service: &ServiceName) -> &[u64] {
        let targets = self.by_service.get(service);
        targets.map_or(&[], |targets| targets.name_hashes.as_slice())
    }

    /// Returns the number of requests that this entry has in flight at all targets of a service.
    pub fn own_in_flight(&self, service: &ServiceName) -> u32 {
        let targets = self.of_service(service).iter();
        targets.map(|key| self.targets[*key].own_in_flight()).sum()
    }

    /// Applies a new instance list.
    ///
    /// A target that is no longer listed gets no new requests. It is removed by the first list that
    /// is applied when this entry has no request in flight there.
    pub fn apply_list(&mut self, listings: Vec<TargetListing>) -> ListChanges {
        self.listed = true;
        let mut changes = ListChanges::default();
        let mut seen = HashSet::new();
        for listing in listings {
            let key = self.upsert(listing, &mut changes);
            seen.insert(key);
        }
        self.retire_unlisted(&seen, &mut changes);
        changes
    }

    fn upsert(&mut self, listing: TargetListing, changes: &mut ListChanges) -> TargetKey {
        if let Some(key) = self.by_name.get(&listing.name).copied() {
            if self.targets[key].listing.is_same_except_leaving(&listing) {
                self.refresh(key, listing, changes);
                return key;
            }
            // The name now refers to another address, zone, service or group, so the old target is
            // replaced by a new one.
            self.remove(key);
            changes.removed.push(key);
        }
        let key = self.insert(listing);
        changes.joined.push(key);
        key
    }

    fn refresh(&mut self, key: TargetKey, listing: TargetListing, changes: &mut ListChanges) {
        let target = &mut self.targets[key];
        if listing.leaving && !target.listing.leaving {
            changes.leaving.push(key);
        }
        target.listing.leaving = listing.leaving;
    }

    fn insert(&mut self, listing: TargetListing) -> TargetKey {
        let (name, service) = (listing.name.clone(), listing.service.clone());
        let target = Target::new(listing, &self.view);
        let name_hash = target.name_hash;
        let key = self.targets.insert(target);
        self.by_name.insert(name, key);
        let targets = self.by_service.entry(service).or_default();
        targets.keys.push(key);
        targets.name_hashes.push(name_hash);
        key
    }

    fn retire_unlisted(&mut self, seen: &HashSet<TargetKey>, changes: &mut ListChanges) {
        let unlisted: Vec<_> = self
            .targets
            .keys()
            .filter(|key| !seen.contains(key))
            .collect();
        for key in unlisted {
            let target = &mut self.targets[key];
            if target.own_in_flight() == 0 {
                self.remove(key);
                changes.removed.push(key);
            } else if !target.listing.leaving {
                target.listing.leaving = true;
                changes.leaving.push(key);
            }
        }
    }

    fn remove(&mut self, key: TargetKey) {
        let Some(target) = self.targets.remove(key) else {
            return;
        };
        self.by_name.remove(&target.listing.name);
        let service = &target.listing.service;
        if let Some(targets) = self.by_service.get_mut(service) {
            if let Some(position) = targets.keys.iter().position(|other| *other == key) {
                targets.keys.remove(position);
                targets.name_hashes.remove(position);
            }
            if targets.keys.is_empty() {
                self.by_service.remove(service);
            }
        }
    }

    /// Applies a configuration view. The limit and the zone cost of each target are resolved here,
    /// once for each view, so that routing decisions need not resolve them.
    pub fn apply_view(&mut self, view: &Arc<ConfigurationView>) {
        if Arc::ptr_eq(view, &self.view) {
            return;
        }
        self.view = Arc::clone(view);
        for target in self.targets.values_mut() {
            target.apply_view(view);
        }
    }

    /// Records that the link to an agent has opened, with the facts that the agent sent.
    pub fn connected(&mut self, key: TargetKey, facts: AgentFacts) {
        if let Some(target) = self.targets.get_mut(key) {
            target.connect(facts);
        }
    }

    /// Records that the link to an agent has closed.
    pub fn disconnected(&mut self, key: TargetKey) {
        if let Some(target) = self.targets.get_mut(key) {
            target.disconnect();
        }
    }

    /// Applies a report of an agent and returns whether the target has just started to drain.
    pub fn reported(&mut self, key: TargetKey, status: AgentStatus) -> bool {
        let target = self.targets.get_mut(key);
        let starts_to_drain = target.is_some_and(|target| target.report(status));
        self.share_kind_costs(key);
        starts_to_drain
    }

    /// Copies the kind costs of a target's last report to all targets of its group. The costs hold
    /// for the whole group, because its ranks step in lock-step, but only the agent that runs the
    /// group's placer reports them.
    fn share_kind_costs(&mut self, key: TargetKey) {
        let Some(source) = self.targets.get_mut(key) else {
            return;
        };
        let costs = source.reported_costs();
        let was_source = std::mem::replace(&mut source.is_cost_source, !costs.is_empty());
        if costs.is_empty() && !was_source {
            return;
        }
        let Some(group) = source.listing.group.clone() else {
            source.set_kind_costs(costs);
            return;
        };
        let Some(service) = self.by_service.get(&source.listing.service) else {
            return;
        };
        for key in &service.keys {
            let member = &mut self.targets[*key];
            if member.listing.group.as_ref() == Some(&group) {
                member.set_kind_costs(costs.clone());
            }
        }
    }

    /// Records that this entry has sent a request to a target.
    pub fn dispatched(&mut self, key: TargetKey) {
        if let Some(target) = self.targets.get_mut(key) {
            target.add_request();
        }
    }

    /// Records that a request of this entry has ended at a target, with the exact load if the agent
    /// sent it.
    pub fn finished(&mut self, key: TargetKey, load: Option<TargetLoad>) {
        if let Some(target) = self.targets.get_mut(key) {
            target.end_request(load);
        }
    }
}
