//! Catalogue of the numbered log events.
//!
//! `docs/EVENTS.md` describes every event; a test checks that the numbers, names and levels agree.

use log::Level;

macro_rules! log_events {
    ($($number:literal $event:ident $level:ident $message:literal;)*) => {
        /// Log event with a stable number, a name, a level and a fixed message.
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub enum LogEvent {
            $(#[doc = $message] $event,)*
        }

        impl LogEvent {
            /// All events, ordered by number.
            pub const ALL: &'static [Self] = &[$(Self::$event,)*];

            /// Returns the number, which identifies the event and is never reused for another one.
            pub const fn number(self) -> u16 {
                match self { $(Self::$event => $number,)* }
            }

            /// Returns the name, which is that of the variant.
            pub const fn name(self) -> &'static str {
                match self { $(Self::$event => stringify!($event),)* }
            }

            /// Returns the level at which the event is logged.
            pub const fn level(self) -> Level {
                match self { $(Self::$event => Level::$level,)* }
            }

            /// Returns the message, which is the same for every occurrence; the details are in the
            /// fields of the log line.
            pub const fn message(self) -> &'static str {
                match self { $(Self::$event => $message,)* }
            }
        }
    };
}

log_events! {
    1001 ProcessStarted Info "process started";
    1002 ProcessServing Info "process is serving";
    1003 StopRequested Info "graceful stop started";
    1004 ProcessStopped Info "process stopped";
    1005 StopGraceExceeded Error "work in flight was still running when the stop grace ended";
    1006 ListenerFailed Error "listener failed";
    1007 LinesDropped Warn "log lines were dropped";
    1008 SettingsReloaded Info "settings reloaded";
    1009 SettingsRejected Error "changed settings are invalid and not applied";
    1010 ConnectionsCut Warn "connections of callers were closed with requests in flight";
    1011 TaskEnded Error "background task ended and is started again";
    2001 RouteDecided Info "routing decision";
    2002 RouteFailed Info "no target could be chosen";
    2003 RequestAnswered Info "request answered";
    2004 RequestRefused Info "request refused";
    2005 RequestUnknown Warn "outcome of the request is unknown";
    2006 RequestRetried Info "request is retried at another target";
    2007 StreamResumed Info "broken stream is resumed";
    2008 AnswerCut Warn "connection closed before the end of the answer";
    2009 FrameDropped Warn "frame dropped";
    2010 CallerGone Info "caller closed the connection";
    2011 DispatchReceived Info "dispatch received";
    2012 DispatchDeclined Info "dispatch refused by the agent";
    2013 DispatchEnded Info "dispatch ended at the agent";
    2020 AttemptDecided Info "request is sent to a target";
    2021 AttemptFailed Info "attempt failed";
    2022 GatewayAnswered Info "request answered by a target";
    2023 GatewayRefused Info "request refused; it was not run";
    2024 GatewayUnknown Warn "outcome of the request is unknown";
    2025 StreamMoved Info "broken stream continues at another target";
    2026 StreamCut Warn "stream cut so that the caller sees an incomplete answer";
    2027 CallerLeft Info "caller disconnected before the end of the answer";
    2028 RequestUnanswered Info "connection of a caller ended before the head of the answer";
    2029 TargetSilent Info "target is silent; its request stays with it until another target answers";
    2040 ZoneEmptied Warn "operator has emptied an availability zone; its targets get no new requests";
    2041 ZoneTakenBack Info "availability zone is no longer emptied";
    2042 ZoneUnreadable Warn "row of an emptied zone has an invalid name";
    2045 TargetCold Info "target is cold and gets requests at a bounded rate";
    2046 PaceBegun Info "pace of a target is found from its answers";
    2047 TargetCarries Info "target carries its share";
    2050 BodyRefused Info "body of a caller refused because the memory for bodies is used up";
    2051 CallerDisplaced Warn "body or answer of a caller gives way to others";
    2052 BodyStalled Info "body of a caller takes too long and is refused";
    2055 OverloadChanged Info "demand that can be on time rose above the capacity, or fell below it";
    3001 TeamLimited Info "team limit reached";
    3002 QueueFull Info "request queue is full";
    3003 RetryBudgetExhausted Warn "retry budget is exhausted";
    3004 GroupBounded Info "bound on the requests of a group changed";
    3005 PartQuarantined Warn "requests with a prompt part that crashes targets are refused";
    3006 PartReleased Info "prompt part that was refused is accepted again";
    3007 RequestQuarantined Warn "request that crashes targets is refused";
    3008 RequestReleased Info "request that was refused is accepted again";
    3009 CallerLimitReached Warn "connections of callers have reached their limit";
    4001 RevisionApplied Info "configuration revision applied";
    4002 RevisionIgnored Warn "older configuration revision ignored";
    4003 ChangeAccepted Info "configuration change accepted";
    4004 ChangeConflict Warn "configuration change conflicts with an earlier change";
    4005 LeaseLapsed Warn "configuration lease lapsed; the cut-off defaults apply";
    4006 LeaseRenewed Info "configuration lease is held again";
    4007 ChangeRefused Warn "configuration change refused";
    4008 DrainOrdered Info "operator ordered a drain or its end";
    4009 ChangeUnconfirmed Warn "configuration change is committed but not confirmed in time";
    4010 TableApplied Info "configuration revision in force";
    4011 TableRejected Warn "configuration document is invalid";
    4012 TableOutdated Warn "older configuration ignored";
    4013 PeerTableRejected Warn "configuration of a peer is invalid";
    5001 PlacementDecided Info "placement decision";
    5002 MapChangeStarted Info "expert map change started";
    5003 MapChangeCommitted Info "expert map change committed";
    5004 MapChangeAborted Warn "expert map change aborted";
    5005 StaleOrderRefused Warn "order with an old fencing token refused";
    5006 PlacementLeaseTaken Info "placement lease taken";
    5007 PlacementLeaseLost Warn "placement lease lost";
    5008 RankSlow Warn "rank is slow although the load is even";
    5010 MapPlanned Info "expert map planned";
    5011 MapSwitched Info "expert map change ended";
    5012 GroupFreed Warn "group held by an unfinished map change is released";
    5013 OrderMissed Info "order to an engine was refused or got no response";
    6001 ClaimInserted Info "start record inserted";
    6002 ClaimLost Info "another attempt holds the key";
    6003 ClaimDone Info "answer of a non-idempotent call stored";
    6004 TombstoneInserted Info "tombstone inserted; the call was not run";
    6005 AnswerReplayed Info "stored answer replayed";
    6006 ClaimsSwept Info "expired claim records deleted";
    6007 ClaimWithdrawn Info "start record withdrawn; this attempt did not run the call";
    6008 ClaimRefused Info "claim refused; this attempt did not run the call";
    6009 ClaimUnknown Warn "outcome of a claimed call is unknown";
    6010 ClaimReadBack Warn "response to a table write was lost; the record is read back";
    6011 ClaimStoreFailed Warn "done record could not be written; the write is retried";
    7001 InstanceJoined Info "instance joined";
    7002 InstanceLeft Info "instance left";
    7003 TargetDraining Info "target is draining and takes no new requests";
    7004 LinkOpened Info "link opened";
    7005 LinkClosed Warn "link closed";
    7006 TargetUnhealthy Warn "target failed its health check";
    7007 TargetListed Info "target joined";
    7008 TargetLeft Info "target left";
    7009 TargetEjected Warn "target is temporarily ejected from routing";
    7010 TargetUnreadable Warn "instance list has an invalid entry";
    7011 GroupChanged Info "state of a model group changed";
    7012 PeerChanged Info "peer gateway joined or left";
    7013 TargetHeldOff Info "target requested a hold-off";
    7014 GroupForming Info "all ranks of a broken group answer again";
    7015 TargetSlow Warn "target is slow and gets no new requests";
    7016 TargetRecovered Info "slow target has recovered";
    7017 SlowdownUnreadable Warn "status report of a target has no usable slowdown";
    7018 TargetCrashed Warn "target crashed before it began to answer a request";
    7019 TargetLimited Info "target limits the rate of requests";
    7020 TargetUnlimited Info "target limits the rate of requests no longer";
    7021 RetriesTakenOver Info "retries of the previous process count against the budget";
    8001 PlatformUnavailable Warn "platform call failed";
    8002 PlatformRecovered Info "platform calls succeed again";
    8003 StoreRestored Warn "store was restored from an older copy";
    8004 StoreAnswerOutdated Warn "answer from before the restore of the store ignored";
    8005 StoreEraAbandoned Warn "era that the store does not have given up";
}

/// Logs a [`LogEvent`] at its level, with its number, its name and the given `key = value` fields.
#[macro_export]
macro_rules! log_event {
    ($event:expr $(, $key:ident = $value:expr)* $(,)?) => {{
        let event: $crate::events::LogEvent = $event;
        ::log::log!(
            target: "sassafrasslip",
            event.level(),
            event = event.number(),
            name = event.name()
            $(, $key:% = $value)*;
            "{}",
            event.message()
        );
    }};
}
