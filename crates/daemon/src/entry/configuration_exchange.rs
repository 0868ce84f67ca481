//! Configuration revisions on links: notices, requests and snapshots.

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

/// Returns a notice of the revision in force.
pub fn notice(view: &ConfigurationView) -> Message {
    Message::RevisionNotice(RevisionNotice {
        revision: view.revision(),
        snapshot: None,
    })
}

/// Returns a notice that carries the whole configuration.
pub fn notice_with_snapshot(view: &ConfigurationView) -> Message {
    Message::RevisionNotice(RevisionNotice {
        revision: view.revision(),
        snapshot: Some(snapshot_to_link(&view.snapshot)),
    })
}

/// Asks the other side for its configuration if it has a newer one.
pub fn catch_up(context: &EntryContext, sender: &LinkSender, revision: Revision) {
    let known_revision = context.current_view().revision();
    if revision > known_revision {
        let request = ConfigurationRequest { known_revision };
        // The next notice or report asks again if the link has no room now.
        let _ = sender.try_send(Message::ConfigurationRequest(request));
    }
}

/// Handles a message about the configuration; other messages are dropped and counted.
pub fn handle(context: &EntryContext, sender: &LinkSender, message: Message) {
    match message {
        Message::ConfigurationRequest(request) => answer(context, sender, &request),
        Message::ConfigurationSnapshot(snapshot) => receive(context, sender, &snapshot),
        Message::RevisionNotice(RevisionNotice {
            snapshot: Some(snapshot),
            ..
        }) => receive(context, sender, &snapshot),
        Message::RevisionNotice(notice) => catch_up(context, sender, notice.revision),
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

fn answer(context: &EntryContext, sender: &LinkSender, request: &ConfigurationRequest) {
    let view = context.current_view();
    if view.revision() > request.known_revision {
        let snapshot = snapshot_to_link(&view.snapshot);
        let _ = sender.try_send(Message::ConfigurationSnapshot(snapshot));
    }
}

fn receive(context: &EntryContext, sender: &LinkSender, message: &ConfigurationSnapshot) {
    if message.revision <= context.current_view().revision() {
        return;
    }
    let peer = sender.peer();
    match snapshot_from_link(message) {
        Ok(snapshot) => {
            // A full channel means that the actor is busy with another snapshot; the next notice
            // brings this one again.
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
