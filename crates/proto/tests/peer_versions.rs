//! Guards against load reports that gateways of two builds cannot read from each other while the
//! machines of a fleet are replaced one after the other.

use {
    prost::Message,
    sassafrasslip_proto::peer::{
        CrashRecord, LimitRecord, LoadReport, PartProofRecord, QuarantineRecord, SlowdownRecord,
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

#[test]
fn earlier_build_reads_a_report_with_crashes_and_limits() {
    let news = LoadReport {
        crashes: vec![CrashRecord {
            crash: 1,
            suspects: vec![2, 3],
            age_ms: 40,
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
