//! Review of a configuration before it takes effect: entries that can never match, limits that
//! contradict each other, and differences from the configuration in force.

use {
    super::{
        pass_model::PassModel,
        route_table::{RepeatRule, RouteRule, ServiceRule, TeamRule},
        table_rules::TableRules,
    },
    crate::ids::{RegionName, ServiceName},
    serde::Serialize,
    std::{
        collections::{BTreeMap, BTreeSet, HashMap, HashSet},
        fmt,
        time::Duration,
    },
};

/// Weight of a finding.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum FindingLevel {
    /// An entry cannot do what it is written for.
    Error,
    /// An entry has no effect, or one that is rarely meant.
    Warning,
}

/// What a review has found about one entry.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ReviewFinding {
    /// Weight of the finding.
    pub level: FindingLevel,
    /// Kind and name of the entry, such as `route briefs`.
    pub entry: String,
    /// What is wrong, and why.
    pub text: String,
}

/// How an entry differs between two configurations.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum EntryChange {
    /// Only the new configuration has the entry.
    Added,
    /// Both configurations have the entry, with different values.
    Changed,
    /// Only the configuration in force has the entry.
    Removed,
}

/// Difference of one entry from the configuration in force.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct EntryDifference {
    /// How the entry differs.
    pub change: EntryChange,
    /// Kind and name of the entry, such as `route briefs`.
    pub entry: String,
    /// Fields that differ, with the value in force and the new one. Keys are counted and not shown.
    pub fields: Vec<String>,
}

/// Reviews a configuration by itself. Errors come first.
pub fn review_rules(rules: &TableRules) -> Vec<ReviewFinding> {
    let mut review = RulesReview::default();
    review.check_limits(rules);
    review.check_services(rules);
    review.check_teams(rules);
    review.check_routes(rules);
    let mut findings = review.findings;
    findings.sort_by_key(|finding| finding.level);
    findings
}

/// Reviews whether a configuration takes effect at gateways that use the one in force.
pub fn review_revision(in_force: &TableRules, rules: &TableRules) -> Option<ReviewFinding> {
    (rules.revision <= in_force.revision).then(|| ReviewFinding {
        level: FindingLevel::Error,
        entry: "configuration".to_owned(),
        text: format!(
            "revision {} is not higher than {}, which is in force; gateways ignore it",
            rules.revision, in_force.revision
        ),
    })
}

/// Returns the differences of a configuration from the one in force: limits, then routes, services
/// and teams by name.
pub fn compare_rules(in_force: &TableRules, rules: &TableRules) -> Vec<EntryDifference> {
    let limits = |rules: &TableRules| BTreeMap::from([("limits".to_owned(), limit_fields(rules))]);
    let routes = |rules: &TableRules| {
        let routes = rules.routes.iter();
        routes
            .map(|route| (route_entry(route), route_fields(route)))
            .collect()
    };
    let services = |rules: &TableRules| {
        let services = rules.services.iter();
        services
            .map(|(name, service)| (service_entry(name), service_fields(service)))
            .collect()
    };
    let mut differences = compare_entries(&limits(in_force), &limits(rules));
    differences.extend(compare_entries(&routes(in_force), &routes(rules)));
    differences.extend(compare_entries(&services(in_force), &services(rules)));
    differences.extend(compare_teams(in_force, rules));
    differences
}

#[derive(Debug, Default)]
struct RulesReview {
    findings: Vec<ReviewFinding>,
}

impl RulesReview {
    fn add(&mut self, level: FindingLevel, entry: &str, text: impl Into<String>) {
        self.findings.push(ReviewFinding {
            level,
            entry: entry.to_owned(),
            text: text.into(),
        });
    }

    fn error(&mut self, entry: &str, text: impl Into<String>) {
        self.add(FindingLevel::Error, entry, text);
    }

    fn warning(&mut self, entry: &str, text: impl Into<String>) {
        self.add(FindingLevel::Warning, entry, text);
    }

    fn check_limits(&mut self, rules: &TableRules) {
        let limits = &rules.limits;
        if limits.header_bytes == 0 {
            self.error("limits", "request heads may have no bytes");
        }
        if limits.header_timeout.is_zero() {
            self.error("limits", "request heads may take no time");
        }
        if limits.idle_timeout.is_zero() {
            self.warning("limits", "connections may never be idle");
        }
        if limits.body_bytes == 0 {
            self.warning("limits", "requests may have no body");
        }
    }

    fn check_services(&mut self, rules: &TableRules) {
        let mut names = HashSet::new();
        for (name, service) in &rules.services {
            let entry = service_entry(name);
            if !names.insert(name) {
                self.error(&entry, "a later service of the same name replaces it");
            }
            if service.channel_limit == 0 {
                self.error(&entry, "its targets may have no connection");
            }
            if service.engine.is_some_and(|engine| engine.slots == 0) {
                self.error(&entry, "its engine runs no request");
            }
        }
        let routed: HashSet<_> = rules.routes.iter().flat_map(receiving_services).collect();
        for (name, _) in &rules.services {
            if !routed.contains(name) {
                self.warning(&service_entry(name), "no route leads to it");
            }
        }
    }

    fn check_teams(&mut self, rules: &TableRules) {
        let mut names = HashSet::new();
        let mut owners: HashMap<&str, &TeamRule> = HashMap::new();
        for (team, keys) in &rules.teams {
            let entry = team_entry(team);
            if !names.insert(&team.name) {
                self.error(&entry, "another team has the same name");
            }
            if keys.is_empty() {
                self.warning(&entry, "it has no key, so that no request is its own");
            }
            for key in keys {
                if let Some(earlier) = owners.insert(key, team).filter(|other| *other != team) {
                    let text = format!("{entry} has the same key, so that it never matches here");
                    self.error(&team_entry(earlier), text);
                }
            }
        }
    }

    fn check_routes(&mut self, rules: &TableRules) {
        let services: HashMap<_, _> = rules
            .services
            .iter()
            .map(|(name, rule)| (name, rule))
            .collect();
        for (index, route) in rules.routes.iter().enumerate() {
            let entry = route_entry(route);
            self.check_match(&entry, route);
            let mut later = rules.routes[index + 1..].iter();
            if let Some(other) =
                later.find(|other| other.host == route.host && other.prefix == route.prefix)
            {
                let other = route_entry(other);
                let text = format!("it never matches: {other} has the same host and prefix");
                self.error(&entry, text);
            }
            self.check_targets(&entry, route, &services);
            self.check_times(&entry, route, &services);
        }
    }

    /// Checks that a request can match the host and the prefix of a route. Hosts of requests are
    /// compared in lower case and without their port, and prefixes up to a slash.
    fn check_match(&mut self, entry: &str, route: &RouteRule) {
        let is_host = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'.' | b'-' | b'_');
        if route.host.is_empty() || !route.host.bytes().all(is_host) {
            let text = format!("it never matches: `{}` is no host name", route.host);
            self.error(entry, text);
        }
        let prefix = &route.prefix;
        if !prefix.starts_with('/') || !prefix.ends_with('/') {
            let text = format!("it never matches: `{prefix}` does not begin and end with a slash");
            self.error(entry, text);
        }
        if prefix.contains(['?', '#', ' ']) {
            let text = format!("it never matches: `{prefix}` is no path");
            self.error(entry, text);
        }
    }

    fn check_targets(
        &mut self,
        entry: &str,
        route: &RouteRule,
        services: &HashMap<&ServiceName, &ServiceRule>,
    ) {
        if route.services.is_empty() {
            self.error(entry, "it names no service");
        }
        for (service, weight) in &route.services {
            if !services.contains_key(service) {
                let text = format!("service {service} is not configured");
                self.error(entry, text);
            }
            if *weight == 0 {
                let text = format!("service {service} has weight 0 and gets no request");
                self.warning(entry, text);
            }
        }
        if route.attempts == 0 {
            self.error(entry, "its requests may have no attempt");
        }
        if route.attempts > 1 && !route.repeat.is_repeatable() {
            let text = format!(
                "{} attempts are allowed, but its requests may run once",
                route.attempts
            );
            self.warning(entry, text);
        }
    }

    fn check_times(
        &mut self,
        entry: &str,
        route: &RouteRule,
        services: &HashMap<&ServiceName, &ServiceRule>,
    ) {
        if route.timeout.is_zero() {
            self.error(entry, "its requests may take no time");
        }
        if route.objective > route.timeout {
            let text = format!(
                "the objective of {} exceeds the timeout of {}",
                Milliseconds(route.objective),
                Milliseconds(route.timeout)
            );
            self.error(entry, text);
        }
        let Some(pause) = route.pause_objective else {
            return;
        };
        if !route.repeat.is_stream() {
            self.warning(
                entry,
                "an objective for pauses has no effect on whole answers",
            );
            return;
        }
        if pause >= route.timeout {
            let text = format!(
                "the pause objective of {} is not below the timeout of {}",
                Milliseconds(pause),
                Milliseconds(route.timeout)
            );
            self.error(entry, text);
        }
        for (name, _) in &route.services {
            let engine = services.get(name).and_then(|service| service.engine);
            let pass = engine.map(|engine| PassModel::new(&engine).duration(1.0, 1.0));
            let pass = pass.and_then(|pass| Duration::try_from_secs_f64(pass).ok());
            if let Some(pass) = pass.filter(|pass| *pass > pause) {
                let text = format!(
                    "a pass of service {name} takes {} with a single request; the pause objective \
                     is {}",
                    Milliseconds(pass),
                    Milliseconds(pause)
                );
                self.error(entry, text);
            }
        }
    }
}

/// Returns the services of a route that get requests.
fn receiving_services(route: &RouteRule) -> impl Iterator<Item = &ServiceName> {
    let services = route.services.iter();
    services
        .filter(|(_, weight)| *weight > 0)
        .map(|(service, _)| service)
}

type FieldValues = Vec<(&'static str, String)>;

fn compare_entries(
    in_force: &BTreeMap<String, FieldValues>,
    new: &BTreeMap<String, FieldValues>,
) -> Vec<EntryDifference> {
    let names: BTreeSet<_> = in_force.keys().chain(new.keys()).collect();
    let differences = names.into_iter().filter_map(|entry| {
        let (change, fields) = match (in_force.get(entry), new.get(entry)) {
            (Some(old), Some(new)) if old != new => {
                (EntryChange::Changed, changed_fields(old, new))
            }
            (None, Some(_)) => (EntryChange::Added, Vec::new()),
            (Some(_), None) => (EntryChange::Removed, Vec::new()),
            _ => return None,
        };
        Some(EntryDifference {
            change,
            entry: entry.clone(),
            fields,
        })
    });
    differences.collect()
}

fn changed_fields(old: &FieldValues, new: &FieldValues) -> Vec<String> {
    let pairs = old.iter().zip(new).filter(|(old, new)| old != new);
    pairs
        .map(|((field, old), (_, new))| format!("{field}: {old} -> {new}"))
        .collect()
}

/// Compares teams by their keys, of which only numbers are returned.
fn compare_teams(in_force: &TableRules, rules: &TableRules) -> Vec<EntryDifference> {
    fn keys(rules: &TableRules) -> HashMap<String, HashSet<&String>> {
        let mut keys: HashMap<String, HashSet<&String>> = HashMap::new();
        for (team, own) in &rules.teams {
            keys.entry(team_entry(team)).or_default().extend(own);
        }
        keys
    }
    let values = |rules: &TableRules| {
        let teams = rules.teams.iter();
        teams
            .map(|(team, _)| (team_entry(team), team_fields(team)))
            .collect::<BTreeMap<_, _>>()
    };
    let (old_keys, new_keys) = (keys(in_force), keys(rules));
    let (old_teams, new_teams) = (values(in_force), values(rules));
    let mut differences = compare_entries(&old_teams, &new_teams);
    for (entry, new) in &new_keys {
        let Some(old) = old_keys.get(entry).filter(|old| *old != new) else {
            continue;
        };
        let added = new.difference(old).count();
        let removed = old.difference(new).count();
        let text = format!("keys: {added} added, {removed} removed");
        let known = differences.iter_mut().find(|known| known.entry == *entry);
        match known {
            Some(known) => known.fields.push(text),
            None => differences.push(EntryDifference {
                change: EntryChange::Changed,
                entry: entry.clone(),
                fields: vec![text],
            }),
        }
    }
    differences.sort_by(|left, right| left.entry.cmp(&right.entry));
    differences
}

fn route_entry(route: &RouteRule) -> String {
    format!("route {}", route.name)
}

fn service_entry(name: &ServiceName) -> String {
    format!("service {name}")
}

fn team_entry(team: &TeamRule) -> String {
    format!("team {}", team.name)
}

fn limit_fields(rules: &TableRules) -> FieldValues {
    let limits = &rules.limits;
    vec![
        ("head bytes", limits.header_bytes.to_string()),
        ("body bytes", limits.body_bytes.to_string()),
        (
            "head timeout",
            Milliseconds(limits.header_timeout).to_string(),
        ),
        (
            "idle timeout",
            Milliseconds(limits.idle_timeout).to_string(),
        ),
    ]
}

fn route_fields(route: &RouteRule) -> FieldValues {
    let services = route.services.iter();
    let services: Vec<_> = services
        .map(|(service, weight)| format!("{service} {weight}"))
        .collect();
    let pause = route.pause_objective;
    vec![
        ("host", route.host.clone()),
        ("prefix", route.prefix.clone()),
        ("kind", repeat_name(route.repeat).to_owned()),
        ("timeout", Milliseconds(route.timeout).to_string()),
        ("objective", Milliseconds(route.objective).to_string()),
        (
            "pause objective",
            pause.map_or_else(
                || "none".to_owned(),
                |pause| Milliseconds(pause).to_string(),
            ),
        ),
        ("priority", route.priority.to_string()),
        ("services", services.join(", ")),
        ("attempts", route.attempts.to_string()),
        ("anonymous", route.allows_anonymous.to_string()),
        ("homes", region_names(&route.homes)),
    ]
}

fn repeat_name(repeat: RepeatRule) -> &'static str {
    match repeat {
        RepeatRule::Once => "once",
        RepeatRule::Repeatable => "repeatable",
        RepeatRule::ResumableStream => "resumable stream",
        RepeatRule::Stream => "stream",
    }
}

fn service_fields(service: &ServiceRule) -> FieldValues {
    vec![
        ("connections", service.channel_limit.to_string()),
        ("engine", format!("{:?}", service.engine)),
        ("cold", format!("{:?}", service.cold)),
    ]
}

fn team_fields(team: &TeamRule) -> FieldValues {
    let priority = team.priority;
    let priority = priority.map_or_else(|| "of the route".to_owned(), |value| value.to_string());
    vec![("priority", priority), ("homes", region_names(&team.homes))]
}

fn region_names(regions: &[RegionName]) -> String {
    let names: Vec<_> = regions.iter().map(RegionName::as_str).collect();
    names.join(", ")
}

/// Duration that is written in milliseconds.
struct Milliseconds(Duration);

impl fmt::Display for Milliseconds {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} ms", self.0.as_secs_f64() * 1e3)
    }
}
