//! States, events and effects of the chart `map_coordinator.ini`.

use crate::chart_labels;

chart_labels! {
    /// State of a coordinator.
    pub enum CoordinatorState {
        /// Learns what an earlier holder left behind.
        Querying = "querying",
        /// No change is open.
        Ready = "ready",
        /// The ranks load the experts of the new map.
        Preparing = "preparing",
        /// The ranks arm the gate.
        Arming = "arming",
        /// The change is decided: all commit.
        Committing = "committing",
        /// The change is decided: all abort.
        Aborting = "aborting",
        /// The lease ended.
        Stopped = "stopped",
    }
}

chart_labels! {
    /// Event of a coordinator.
    pub enum CoordinatorEvent {
        /// All participants answered the query and none has an open change.
        NoneOpen = "none_open",
        /// All answered; a change is open and some rank has committed it.
        SomeCommitted = "some_committed",
        /// All answered; a change is open and no rank has committed it.
        NoneCommitted = "none_committed",
        /// A new map is proposed.
        Propose = "propose",
        /// All participants accepted the current order.
        AllAccepted = "all_accepted",
        /// A participant refused the current order.
        Refused = "refused",
        /// The phase took too long.
        Deadline = "deadline",
        /// Some replies are missing for a while.
        Retry = "retry",
        /// The lease ended, or a participant has seen a higher token.
        LeaseEnded = "lease_ended",
    }
}

chart_labels! {
    /// Effect of an event.
    pub enum CoordinatorEffect {
        /// Send `Query` to all who have not answered.
        SendQuery = "send_query",
        /// Send `Prepare`.
        SendPrepare = "send_prepare",
        /// Send `Arm`.
        SendArm = "send_arm",
        /// Send `Commit`.
        SendCommit = "send_commit",
        /// Send `Abort`.
        SendAbort = "send_abort",
        /// Report that the change is committed everywhere.
        ReportCommitted = "report_committed",
        /// Report that the change is aborted everywhere.
        ReportAborted = "report_aborted",
        /// Stop coordinating.
        StepDown = "step_down",
    }
}
