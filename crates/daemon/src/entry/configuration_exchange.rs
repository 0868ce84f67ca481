//! Exchange of configuration revisions over links to agents and peer entries.
//!
//! A notice announces a revision. A process that has an older one requests the configuration and
//! gets a snapshot. An entry that cannot reach the table receives changes from its peers this way.

use {
    super::context::EntryContext,
    crate::link::{
        LinkSender,
        convert::{snapshot_from_link, snapshot_to_link},
    },
    sassafrasslip_core::{
        configuration::{ConfigurationView, Revision},
        events::LogEvent::{FrameDropped, RevisionIgnored},
        log_event,
    },
    sassafrasslip_proto::link::{
        ConfigurationRequest, ConfigurationSnapshot, RevisionNotice, link_frame::Message,
    },
};

/// Returns a notice with the number of the revision in force.
pub fn notice(view: &ConfigurationView) -> Message {
    Message::RevisionNotice(RevisionNotice {
        revision: view.revision(),
        snapshot: None,
    })
}

/// Returns a notice with the revision in force and its complete configuration.
pub fn notice_with_snapshot(view: &ConfigurationView) -> Message {
    Message::RevisionNotice(RevisionNotice {
        revision: view.revision(),
        snapshot: Some(snapshot_to_link(&view.snapshot)),
    })
}

/// Requests the configuration of the other side if its `revision` is newer than the one in force.
pub fn request_newer_snapshot(context: &EntryContext, sender: &LinkSender, revision: Revision) {
    let known_revision = context.current_view().revision();
    if revision > known_revision {
        let request = ConfigurationRequest { known_revision };
        // If the queue of the link is full, the next notice or report triggers the request again.
        let _ = sender.try_send(Message::ConfigurationRequest(request));
    }
}

/// Handles a message about the configuration. Other messages are logged and counted as dropped
/// frames.
pub fn handle(context: &EntryContext, sender: &LinkSender, message: Message) {
    match message {
        Message::ConfigurationRequest(request) => send_snapshot(context, sender, &request),
        Message::ConfigurationSnapshot(snapshot) => queue_snapshot(context, sender, &snapshot),
        Message::RevisionNotice(RevisionNotice {
            snapshot: Some(snapshot),
            ..
        }) => queue_snapshot(context, sender, &snapshot),
        Message::RevisionNotice(notice) => request_newer_snapshot(context, sender, notice.revision),
        _ => {
            context.metrics.dropped_frames.inc();
            log_event!(
                FrameDropped,
                peer = sender.peer(),
                fault = "unexpected message"
            );
        }
    }
}

fn send_snapshot(context: &EntryContext, sender: &LinkSender, request: &ConfigurationRequest) {
    let view = context.current_view();
    if view.revision() > request.known_revision {
        let snapshot = snapshot_to_link(&view.snapshot);
        let _ = sender.try_send(Message::ConfigurationSnapshot(snapshot));
    }
}

fn queue_snapshot(context: &EntryContext, sender: &LinkSender, message: &ConfigurationSnapshot) {
    if message.revision <= context.current_view().revision() {
        return;
    }
    let peer = sender.peer();
    match snapshot_from_link(message) {
        Ok(snapshot) => {
            // The channel is full if the actor is busy with other snapshots. This one is dropped,
            // and the next notice has it sent again.
            let _ = context.snapshots.try_send(snapshot);
        }
        Err(error) => {
            log_event!(
                RevisionIgnored,
                peer = peer,
                revision = message.revision,
                error = error
            );
        }
    }
}
