//! Sizes of link frames, as the link codec encodes them.

use {
    super::series::MeasuredSeries,
    bytes::BytesMut,
    sassafrasslip_core::placement::{ExpertMap, RankNumber},
    sassafrasslip_proto::{
        FrameCodec,
        link::{
            AgentReport, ConfigurationItem, ConfigurationSnapshot, ExpertMap as LinkMap,
            ExpertReplicas, KindCost, LayerCounts, LayerMap, MapOrder, MapReply, PeerReport,
            RevisionNotice, ServiceDigest, TargetLoad, TeamUsage, link_frame::Message,
        },
    },
    tokio_util::codec::Encoder,
};

/// Typical cumulative token count of an expert, which takes 5 bytes as a varint.
const EXPERT_TOKENS: u64 = 1_000_000_000;

/// Returns the encoded size of a message in bytes, with the length prefix of the frame, or 0 if
/// the codec refuses it.
pub fn frame_bytes(message: Message) -> usize {
    let mut buffer = BytesMut::new();
    let encoded = FrameCodec::new().encode(message, &mut buffer);
    encoded.map_or(0, |()| buffer.len())
}

/// Returns an example report of a model agent with the costs of `kinds` request kinds.
pub fn agent_report(kinds: usize) -> Message {
    let kind_costs = (0..kinds).map(|kind| KindCost {
        kind: format!("kind-{kind:04}"),
        hot_rank_cost: 1.25,
    });
    Message::AgentReport(AgentReport {
        load: Some(TargetLoad {
            in_flight: 17,
            concurrency: 32,
            draining: false,
        }),
        configuration_revision: 500_000,
        kind_costs: kind_costs.collect(),
        mean_step_us: 25_000,
        map_version: 1_000,
        target_healthy: true,
        ..AgentReport::default()
    })
}

/// Returns an example report of a peer entry with a number of teams and services.
pub fn peer_report(teams: usize, services: usize) -> Message {
    let teams = (0..teams).map(|team| TeamUsage {
        team: format!("team-{team:05}"),
        in_flight: 3,
    });
    let services = (0..services).map(|service| ServiceDigest {
        service: format!("model-{service:03}"),
        in_flight: 200,
        concurrency: 640,
    });
    Message::PeerReport(PeerReport {
        availability_zone: "zone-01".to_owned(),
        configuration_revision: 500_000,
        teams: teams.collect(),
        services: services.collect(),
    })
}

fn snapshot(defaults: usize, exceptions: usize) -> Message {
    let item = |key: String, value: &str| ConfigurationItem {
        key,
        value: value.to_owned(),
        revision: 500_000,
    };
    let value = r#"{"scope":"team=team-00017","key":"limits.team_concurrency","value":"96",
        "reason":"sponsor season, agreed with the team until the end of the quarter",
        "operator":"aziza"}"#;
    let defaults = (0..defaults).map(|index| item(format!("default/limits.key_{index:05}"), "64"));
    let exceptions = (0..exceptions).map(|index| item(format!("exception/team-{index:05}"), value));
    let snapshot = ConfigurationSnapshot {
        revision: 500_000,
        items: defaults.chain(exceptions).collect(),
    };
    Message::RevisionNotice(RevisionNotice {
        revision: 500_000,
        snapshot: Some(snapshot),
    })
}

fn query_reply(layers: usize, experts: usize, ranks: usize) -> Message {
    let counts = LayerCounts {
        tokens: vec![EXPERT_TOKENS; experts],
    };
    Message::MapReply(MapReply {
        group: "group-01".to_owned(),
        fencing_token: 40,
        accepted: true,
        map_version: 1_000,
        current_step: 100_000_000,
        expert_tokens: vec![counts; layers],
        rank_step_us: vec![25_000; ranks],
        ..MapReply::default()
    })
}

fn prepare_order(layers: usize, experts: usize, ranks: usize) -> Message {
    let map = ExpertMap::round_robin(1_000, layers, experts, ranks);
    let ranks_of = |replicas: &[RankNumber]| replicas.iter().map(|rank| u32::from(*rank)).collect();
    let layer_map = |layer| LayerMap {
        experts: (0..experts)
            .map(|expert| ExpertReplicas {
                ranks: ranks_of(map.replicas(layer, expert)),
            })
            .collect(),
    };
    Message::MapOrder(MapOrder {
        group: "group-01".to_owned(),
        map: Some(LinkMap {
            version: 1_000,
            layers: (0..layers).map(layer_map).collect(),
        }),
        ..MapOrder::default()
    })
}

fn series(
    quantity: &str,
    size: &'static str,
    sizes: &[usize],
    message: impl Fn(usize) -> Message,
) -> MeasuredSeries {
    let mut series = MeasuredSeries::new(quantity, size);
    for size in sizes {
        series.add(*size as f64, frame_bytes(message(*size)) as f64);
    }
    series
}

/// Returns the sizes of the control frames by the numbers that they grow with.
pub fn measure() -> Vec<MeasuredSeries> {
    let notice = RevisionNotice {
        revision: 500_000,
        snapshot: None,
    };
    let notice = Message::RevisionNotice(notice);
    vec![
        series("AgentReport, bytes", "kinds", &[0, 4, 16], agent_report),
        series("RevisionNotice, bytes", "links", &[1], |_| notice.clone()),
        series("PeerReport, bytes", "teams", &[0, 100, 1_000], |teams| {
            peer_report(teams, 0)
        }),
        series("PeerReport, bytes", "services", &[0, 8, 32], |services| {
            peer_report(0, services)
        }),
        series("snapshot, bytes", "defaults", &[0, 9, 18], |defaults| {
            snapshot(defaults, 0)
        }),
        series(
            "snapshot, bytes",
            "exceptions",
            &[0, 100, 1_000],
            |exceptions| snapshot(18, exceptions),
        ),
        series(
            "query reply, 128 experts, 4 ranks, bytes",
            "layers",
            &[15, 30, 60],
            |layers| query_reply(layers, 128, 4),
        ),
        series(
            "query reply, 60 layers, 4 ranks, bytes",
            "experts",
            &[32, 64, 128],
            |experts| query_reply(60, experts, 4),
        ),
        series(
            "prepare order, 60 layers, 256 ranks, bytes",
            "experts",
            &[32, 64, 128],
            |experts| prepare_order(60, experts, 256),
        ),
    ]
}
