//! States, events and effects in the state chart `map_coordinator.ini`.

use crate::chart_labels;

chart_labels! {
    /// State of a coordinator.
    pub enum CoordinatorState {
        /// The participants are asked for a change that an earlier lease holder left open.
        Querying = "querying",
        /// No change is open; a new one can be proposed.
        Ready = "ready",
        /// The participants are ordered to load the experts of the new map.
        Preparing = "preparing",
        /// The participants are ordered to arm the gate.
        Arming = "arming",
        /// The change is decided: all participants are ordered to commit.
        Committing = "committing",
        /// The change is decided: all participants are ordered to abort.
        Aborting = "aborting",
        /// The lease ended, or another holder took over.
        Stopped = "stopped",
    }
}

chart_labels! {
    /// Event of a coordinator.
    pub enum CoordinatorEvent {
        /// All participants have answered the query, and none has an open change.
        NoneOpen = "none_open",
        /// All participants have answered; a change is open, and at least one has committed it.
        SomeCommitted = "some_committed",
        /// All participants have answered; a change is open, and none has committed it.
        NoneCommitted = "none_committed",
        /// A new map is proposed.
        Propose = "propose",
        /// All participants accepted the current order.
        AllAccepted = "all_accepted",
        /// A participant refused the current order.
        Refused = "refused",
        /// The deadline of the phase passed.
        Deadline = "deadline",
        /// Replies are still missing at the end of the retry interval.
        Retry = "retry",
        /// The lease ended, or a participant has seen a higher fencing token.
        LeaseEnded = "lease_ended",
    }
}

chart_labels! {
    /// Effect of an event on the participants or the caller.
    pub enum CoordinatorEffect {
        /// Send `Query` to the participants that have not answered.
        SendQuery = "send_query",
        /// Send `Prepare` to the participants that have not completed it.
        SendPrepare = "send_prepare",
        /// Send `Arm` to the participants that have not accepted it.
        SendArm = "send_arm",
        /// Send `Commit` to the participants that have not accepted it.
        SendCommit = "send_commit",
        /// Send `Abort` to the participants that have not accepted it.
        SendAbort = "send_abort",
        /// Report that all participants have committed the change.
        ReportCommitted = "report_committed",
        /// Report that all participants have aborted the change.
        ReportAborted = "report_aborted",
        /// Stop the coordinator.
        StepDown = "step_down",
    }
}
