//! Subcommand `status`.

use {
    crate::{
        api::OperatorApi,
        errors::Result,
        output::{Output, cut_off_warning, render_table, yes_no},
    },
    sassafrasslip_core::explanation::{FleetStatus, PeerStatus, TargetStatus},
};

pub(super) async fn execute(api: &OperatorApi, output: &mut Output<'_>) -> Result<()> {
    let status: FleetStatus = api.read("/v1/status").await?;
    output.show(&status, render)
}

fn render(status: &FleetStatus) -> String {
    format!(
        "entry {} in {}, configuration revision {}{}\n\n{}\n\n{}",
        status.entry,
        status.availability_zone,
        status.revision,
        cut_off_warning(status.cut_off),
        render_targets(&status.targets),
        render_peers(&status.peers)
    )
}

fn render_targets(targets: &[TargetStatus]) -> String {
    let header = [
        "target",
        "availability zone",
        "service",
        "group",
        "state",
        "in flight",
        "concurrency",
        "revision",
        "map",
        "step (us)",
    ];
    let rows = targets.iter().map(|target| {
        let group = target.group.as_ref();
        [
            target.target.to_string(),
            target.availability_zone.to_string(),
            target.service.to_string(),
            group.map_or_else(|| "-".to_owned(), ToString::to_string),
            target.state.clone(),
            target.in_flight.to_string(),
            target.concurrency.to_string(),
            target.revision.to_string(),
            target.map_version.to_string(),
            target.mean_step_us.to_string(),
        ]
    });
    render_table(header, rows)
}

fn render_peers(peers: &[PeerStatus]) -> String {
    let rows = peers.iter().map(|peer| {
        [
            peer.entry.to_string(),
            peer.availability_zone.to_string(),
            yes_no(peer.connected).to_owned(),
            peer.revision.to_string(),
        ]
    });
    let header = ["peer entry", "availability zone", "connected", "revision"];
    render_table(header, rows)
}
