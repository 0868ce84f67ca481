//! Entries of one configuration revision in the order in which the operator has written them.
//!
//! A [`RouteTable`] keeps one entry for each key; a review needs the ones that it drops, too.

use {
    super::route_table::{CallerLimits, RouteRule, RouteTable, ServiceRule, TeamRule},
    crate::ids::ServiceName,
};

/// Routes, services, teams and limits of one revision, as written.
#[derive(Clone, Debug, PartialEq)]
pub struct TableRules {
    /// Number of the configuration revision.
    pub revision: u64,
    /// Limits on the requests and connections of callers.
    pub limits: CallerLimits,
    /// Routes.
    pub routes: Vec<RouteRule>,
    /// Services with their names.
    pub services: Vec<(ServiceName, ServiceRule)>,
    /// Teams with their keys.
    pub teams: Vec<(TeamRule, Vec<String>)>,
}

impl From<TableRules> for RouteTable {
    fn from(rules: TableRules) -> Self {
        let mut table = Self::new(rules.revision, rules.limits);
        for (name, service) in rules.services {
            table.add_service(name, service);
        }
        for (team, keys) in rules.teams {
            table.add_team(team, keys);
        }
        for route in rules.routes {
            table.add_route(route);
        }
        table
    }
}
