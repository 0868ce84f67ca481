//! Guards against load reports that gateways of two builds cannot read from each other while the
//! machines of a fleet are replaced one after the other.

use {
    prost::Message,
    sassafrasslip_proto::peer::{
        ColdRecord, CrashRecord, DepartureRecord, EmptiedZonesRecord, LimitRecord, LoadReport,
        PaceRecord, PartProofRecord, PreviousUsageRecord, QuarantineRecord, RequestCrashRecord,
        RetryUsageRecord, SlowdownRecord, Snapshot, SnapshotRequest, TargetRecord,
    },
};

/// Report as the build of 7816a51 declares it, without the records that its successor has not
/// changed.
#[derive(Clone, Message, PartialEq)]
struct EarlierReport {
    #[prost(fixed64, tag = "1")]
    incarnation: u64,
    #[prost(uint64, tag = "2")]
    sequence: u64,
    #[prost(string, tag = "3")]
    availability_zone: String,
    #[prost(fixed32, repeated, tag = "4")]
    targets: Vec<u32>,
    #[prost(uint32, repeated, tag = "5")]
    in_flight: Vec<u32>,
    #[prost(fixed32, repeated, tag = "6")]
    gateways: Vec<u32>,
    #[prost(bool, tag = "7")]
    leaving: bool,
    #[prost(bool, tag = "8")]
    settled: bool,
    #[prost(uint32, tag = "9")]
    interval_ms: u32,
    #[prost(message, repeated, tag = "11")]
    slowdowns: Vec<SlowdownRecord>,
}

fn report() -> LoadReport {
    LoadReport {
        incarnation: 7,
        sequence: 12,
        availability_zone: "ruwi".to_owned(),
        targets: vec![1, 2],
        in_flight: vec![3, 4],
        gateways: vec![0x7f00_0001],
        settled: true,
        interval_ms: 100,
        slowdowns: vec![SlowdownRecord {
            target: 1,
            factor: 2.0,
            age_ms: 30,
        }],
        ..LoadReport::default()
    }
}

fn earlier_report() -> EarlierReport {
    let report = report();
    EarlierReport {
        incarnation: report.incarnation,
        sequence: report.sequence,
        availability_zone: report.availability_zone,
        targets: report.targets,
        in_flight: report.in_flight,
        gateways: report.gateways,
        leaving: report.leaving,
        settled: report.settled,
        interval_ms: report.interval_ms,
        slowdowns: report.slowdowns,
    }
}

fn usage() -> RetryUsageRecord {
    RetryUsageRecord {
        service: "orders".to_owned(),
        first_tries: vec![5, 6],
        retries: vec![1, 0, 2],
    }
}

#[test]
fn earlier_build_reads_a_report_with_crashes_and_limits() {
    let news = LoadReport {
        crashes: vec![CrashRecord {
            crash: 1,
            suspects: vec![2, 3],
            age_ms: 40,
            waiting: vec![4],
        }],
        proofs: vec![PartProofRecord {
            part: 2,
            age_ms: 50,
        }],
        quarantined: vec![QuarantineRecord {
            part: 3,
            age_ms: 60,
            incidents: 2,
        }],
        limits: vec![LimitRecord {
            target: 1,
            per_second: Some(2.4),
            age_ms: 70,
        }],
        retry_usage: vec![usage()],
        has_retry_part: true,
        cold_targets: vec![ColdRecord {
            target: 1,
            remaining_ms: 900,
        }],
        paces: vec![PaceRecord {
            target: 1,
            per_second: 4.5,
            age_ms: 90,
        }],
        previous_usage: vec![PreviousUsageRecord {
            gateway: 0x7f00_0002,
            age_ms: 80,
            gateways: 4,
            services: vec![usage()],
        }],
        ..report()
    };
    let read = EarlierReport::decode(&*news.encode_to_vec()).unwrap();
    assert_eq!(read, earlier_report());
}

#[test]
fn report_of_an_earlier_build_has_no_crashes_and_limits() {
    let read = LoadReport::decode(&*earlier_report().encode_to_vec()).unwrap();
    assert_eq!(read, report());
}

/// Request for a snapshot as the build of beb994b declares it.
#[derive(Clone, Copy, Message, PartialEq)]
struct EarlierRequest {
    #[prost(uint64, tag = "1")]
    revision: u64,
    #[prost(fixed64, tag = "2")]
    list_digest: u64,
}

/// Snapshot as the build of beb994b declares it.
#[derive(Clone, Message, PartialEq)]
struct EarlierSnapshot {
    #[prost(bytes = "vec", tag = "1")]
    document: Vec<u8>,
    #[prost(message, repeated, tag = "2")]
    targets: Vec<EarlierTarget>,
    #[prost(uint64, tag = "3")]
    list_age_ms: u64,
    #[prost(uint64, tag = "4")]
    configuration_age_ms: u64,
    #[prost(bool, tag = "5")]
    list_unchanged: bool,
}

/// Target as the build of beb994b declares it, without the fields that its successor has not
/// changed.
#[derive(Clone, Message, PartialEq)]
struct EarlierTarget {
    #[prost(string, tag = "1")]
    id: String,
    #[prost(uint64, tag = "7")]
    started_at_ms: u64,
}

fn earlier_snapshot() -> EarlierSnapshot {
    EarlierSnapshot {
        document: b"{}".to_vec(),
        targets: vec![EarlierTarget {
            id: "i-1".to_owned(),
            started_at_ms: 5,
        }],
        list_age_ms: 10,
        configuration_age_ms: 20,
        list_unchanged: false,
    }
}

fn snapshot() -> Snapshot {
    Snapshot {
        document: b"{}".to_vec().into(),
        targets: vec![TargetRecord {
            id: "i-1".to_owned(),
            started_at_ms: 5,
            ..TargetRecord::default()
        }],
        list_age_ms: 10,
        configuration_age_ms: 20,
        ..Snapshot::default()
    }
}

#[test]
fn earlier_build_reads_a_snapshot_with_eras() {
    let mut snapshot = Snapshot {
        list_era: 2,
        configuration_era: 2,
        document_era: 1,
        departures: vec![DepartureRecord {
            id: "i-0".to_owned(),
            started_at_ms: 4,
        }],
        informed: true,
        ..snapshot()
    };
    snapshot.targets[0].unconfirmed = true;
    snapshot.targets[0].cold_for_ms = Some(900);
    let read = EarlierSnapshot::decode(&*snapshot.encode_to_vec()).unwrap();
    assert_eq!(read, earlier_snapshot());
    let request = SnapshotRequest {
        revision: 3,
        list_digest: 7,
        document_era: 2,
        wants_departures: true,
    };
    let read = EarlierRequest::decode(&*request.encode_to_vec()).unwrap();
    assert_eq!((read.revision, read.list_digest), (3, 7));
}

#[test]
fn snapshot_of_an_earlier_build_names_no_era() {
    let read = Snapshot::decode(&*earlier_snapshot().encode_to_vec()).unwrap();
    assert_eq!(read, snapshot());
    let request = EarlierRequest {
        revision: 3,
        list_digest: 7,
    };
    let read = SnapshotRequest::decode(&*request.encode_to_vec()).unwrap();
    let expected = SnapshotRequest {
        revision: 3,
        list_digest: 7,
        ..SnapshotRequest::default()
    };
    assert_eq!(read, expected);
}

#[test]
fn earlier_build_reads_a_report_with_a_revision() {
    let news = LoadReport {
        revision: 4,
        document_era: 2,
        ..report()
    };
    let read = EarlierReport::decode(&*news.encode_to_vec()).unwrap();
    assert_eq!(read, earlier_report());
}

#[test]
fn earlier_build_reads_a_report_with_crashes_of_requests() {
    let news = LoadReport {
        request_crashes: vec![RequestCrashRecord {
            crash: 1,
            begun: vec![2],
            waiting: vec![3, 4],
            age_ms: 40,
        }],
        request_proofs: vec![PartProofRecord {
            part: 2,
            age_ms: 50,
        }],
        quarantined_requests: vec![QuarantineRecord {
            part: 3,
            age_ms: 60,
            incidents: 2,
        }],
        ..report()
    };
    let read = EarlierReport::decode(&*news.encode_to_vec()).unwrap();
    assert_eq!(read, earlier_report());
}

/// Guards against a report or snapshot of an earlier build that reads as one without emptied zones,
/// and thus takes back a zone.
#[test]
fn absent_emptied_zones_differ_from_none() {
    let none = Some(EmptiedZonesRecord::default());
    let told = LoadReport {
        emptied_zones: none.clone(),
        ..report()
    };
    let bytes = told.encode_to_vec();
    assert_eq!(LoadReport::decode(&*bytes), Ok(told));
    assert_eq!(EarlierReport::decode(&*bytes), Ok(earlier_report()));
    let earlier = LoadReport::decode(&*earlier_report().encode_to_vec()).unwrap();
    assert_eq!(earlier.emptied_zones, None);
    let earlier = Snapshot::decode(&*earlier_snapshot().encode_to_vec()).unwrap();
    assert_eq!(earlier.emptied_zones, None);
    let held = Snapshot {
        emptied_zones: none,
        ..snapshot()
    };
    assert_eq!(Snapshot::decode(&*held.encode_to_vec()), Ok(held));
}
