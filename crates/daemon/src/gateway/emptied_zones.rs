//! Keeps the emptied availability zones up to date, from the store and from peers.
//!
//! Load pattern: a zone is emptied while some gateways start, cannot reach the store, or only hear
//! from peers. Load reports bring the news at once, snapshots bring it to those that missed them.

use {
    super::{
        peers::{age_ms, time_of},
        state::GatewayState,
    },
    sassafrasslip_core::{
        dispatch::{EmptiedZones, HomeZones, RouteMatch, StoreEra, StoreStamp, ZoneChange},
        events::LogEvent::{ZoneEmptied, ZoneTakenBack, ZoneUnreadable},
        ids::ZoneName,
        log_event,
    },
    sassafrasslip_platform::ZoneRows,
    sassafrasslip_proto::peer::{EmptiedZonesRecord, LoadReport},
    std::collections::BTreeSet,
    tokio::time::Instant,
};

/// Most emptied zones that a load report names. Larger sets, which no fleet needs, come with
/// snapshots only, so that reports stay small.
const MAX_REPORTED_ZONES: usize = 32;

impl GatewayState {
    /// Returns whether this gateway knows which zones are emptied.
    pub fn knows_emptied_zones(&self) -> bool {
        self.evacuation.borrow().latest().is_some()
    }

    /// Records the rows that the store holds as of `stamp`.
    pub fn note_zone_rows(&self, rows: ZoneRows, stamp: StoreStamp) {
        log_unreadable(&rows);
        let emptied = rows.changes.into_iter().filter(|change| change.is_emptied);
        let zones = emptied.map(|change| change.zone).collect();
        let now = Instant::now();
        let mut evacuation = self.evacuation.borrow_mut();
        let changes = evacuation.apply(EmptiedZones { zones, stamp }, now);
        drop(evacuation);
        self.note_zone_changes(&changes, "store", now);
    }

    /// Records the rows that have changed in the store after `since`, up to `stamp`. Returns whether
    /// nothing was missed; otherwise all rows have to be read again.
    #[must_use]
    pub fn note_changed_zone_rows(
        &self,
        rows: ZoneRows,
        since: StoreStamp,
        stamp: StoreStamp,
    ) -> bool {
        log_unreadable(&rows);
        let now = Instant::now();
        let followed = {
            let mut evacuation = self.evacuation.borrow_mut();
            evacuation.follow(rows.changes, since, stamp, now)
        };
        match followed {
            Ok(changes) => {
                self.note_zone_changes(&changes, "store", now);
                true
            }
            Err(_) => false,
        }
    }

    /// Records what a peer tells of the emptied zones. An era that the store has disproved says
    /// nothing.
    pub fn note_peer_zones(&self, record: &EmptiedZonesRecord, now: Instant) {
        let named = StoreEra::from_value(record.era);
        let zones: Result<BTreeSet<ZoneName>, _> =
            record.zones.iter().map(|zone| zone.parse()).collect();
        let Some(zones) = zones.ok() else {
            return;
        };
        if self.known_era.get().believed(named) != named {
            return;
        }
        let stamp = StoreStamp {
            era: named,
            version: record.version,
        };
        let changed_at = time_of(record.age_ms, now).unwrap_or(now);
        let mut evacuation = self.evacuation.borrow_mut();
        let is_newer = evacuation.latest().is_none_or(|set| stamp > set.stamp);
        let changes = evacuation.apply(EmptiedZones { zones, stamp }, changed_at);
        drop(evacuation);
        if is_newer {
            self.note_claimed_era(named);
        }
        self.note_zone_changes(&changes, "peer", changed_at);
    }

    /// Records a load report's news of the emptied zones. A gateway that does not know them yet waits
    /// for a snapshot or the store, since the sender of a report may be cut off.
    pub fn note_reported_zones(&self, report: &LoadReport, now: Instant) {
        if let Some(record) = &report.emptied_zones
            && self.knows_emptied_zones()
        {
            self.note_peer_zones(record, now);
        }
    }

    /// Records what a snapshot says of the emptied zones. `is_reliable` says that the sender has
    /// heard from the store lately or that the store cannot be reached from here, and `is_cut_off`
    /// only the latter.
    ///
    /// The snapshot of an earlier build says nothing. Without the store, a gateway that has just
    /// started then takes all zones for in use, as the rest of such a fleet does.
    pub fn note_snapshot_zones(
        &self,
        record: Option<&EmptiedZonesRecord>,
        is_reliable: bool,
        is_cut_off: bool,
        now: Instant,
    ) {
        let is_known = self.knows_emptied_zones();
        match record {
            Some(record) if is_known || is_reliable => self.note_peer_zones(record, now),
            None if !is_known && is_cut_off => {
                let none = EmptiedZones::default();
                self.evacuation.borrow_mut().apply(none, now);
            }
            Some(_) | None => {}
        }
    }

    fn note_zone_changes(&self, changes: &[ZoneChange], source: &'static str, changed_at: Instant) {
        let (zones, stamp) = {
            let evacuation = self.evacuation.borrow();
            let Some(latest) = evacuation.latest().filter(|_| !changes.is_empty()) else {
                return;
            };
            (latest.zones.clone(), latest.stamp)
        };
        for ZoneChange { zone, is_emptied } in changes {
            let (era, version) = (stamp.era.value(), stamp.version);
            let age_ms = changed_at.elapsed().as_millis();
            if *is_emptied {
                log_event!(
                    ZoneEmptied,
                    availability_zone = zone,
                    era = era,
                    version = version,
                    age_ms = age_ms,
                    source = source
                );
            } else {
                log_event!(
                    ZoneTakenBack,
                    availability_zone = zone,
                    era = era,
                    version = version,
                    age_ms = age_ms,
                    source = source
                );
            }
        }
        let age = changed_at.elapsed().as_secs_f64();
        self.metrics.zone_news_age.observe(age);
        let count = i64::try_from(zones.len()).unwrap_or(i64::MAX);
        self.metrics.emptied_zones.set(count);
        self.roster.borrow_mut().set_emptied_zones(zones);
        self.begin_zone_paces(changes);
        if source == "store" {
            self.report_due.notify_one();
        }
    }

    /// Returns the emptied zones for a snapshot; `None` if they are not known.
    pub fn emptied_zones_record(&self, now: Instant) -> Option<EmptiedZonesRecord> {
        let evacuation = self.evacuation.borrow();
        let changed_at = evacuation.changed_at();
        evacuation
            .latest()
            .map(|latest| zones_record(latest, changed_at, now))
    }

    /// Returns the emptied zones for a load report; `None` if there is no need to tell.
    pub fn reported_zones_record(&self, now: Instant) -> Option<EmptiedZonesRecord> {
        let evacuation = self.evacuation.borrow();
        let reported = evacuation.reported(now);
        let reported = reported.filter(|set| set.zones.len() <= MAX_REPORTED_ZONES);
        reported.map(|set| zones_record(set, evacuation.changed_at(), now))
    }

    /// Returns the zones in which a request may run.
    pub fn home_zones(&self, matched: &RouteMatch) -> HomeZones {
        matched.home_zones(&self.options.zone_regions)
    }
}

fn log_unreadable(rows: &ZoneRows) {
    for fault in &rows.unreadable {
        log_event!(ZoneUnreadable, fault = fault);
    }
}

fn zones_record(
    set: &EmptiedZones,
    changed_at: Option<Instant>,
    now: Instant,
) -> EmptiedZonesRecord {
    EmptiedZonesRecord {
        zones: set.zones.iter().map(ToString::to_string).collect(),
        era: set.stamp.era.value(),
        version: set.stamp.version,
        age_ms: changed_at.map_or(0, |at| age_ms(at, now)),
    }
}
