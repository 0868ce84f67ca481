//! Decisions of a gateway, which is an entry that dispatches directly to targets without an agent.
//!
//! These modules perform no input or output: instance lists, answers and the current time are
//! arguments, decisions are return values, and orders to engines go through [`RankControl`].

pub mod caller_memory;
pub mod channel_plan;
pub mod demand_news;
pub mod demand_window;
pub mod dispatch_queue;
pub mod event_stream;
pub mod failure;
pub mod group_watch;
pub mod home_regions;
pub mod map_plan;
pub mod map_switch;
pub mod outage_plan;
pub mod overload_plan;
pub mod part_quarantine;
pub mod pass_governor;
pub mod pass_model;
pub mod peer_inquiry;
pub mod peer_table;
pub mod prompt_part;
pub mod prompt_spread;
pub mod rank_status;
pub mod request_limits;
pub mod request_quarantine;
pub mod retry_allowance;
pub mod retry_budgets;
pub mod retry_handover;
pub mod route_table;
pub mod slow_ranks;
pub mod stop_plan;
pub mod store_history;
pub mod table_review;
pub mod table_rules;
pub mod target_choice;
pub mod target_entry;
pub mod target_health;
pub mod target_pace;
pub mod target_roster;
pub mod zone_evacuation;

pub use {
    caller_memory::{CallerMemory, HoldKey, MemoryGrowth, MemoryPlan},
    channel_plan::{ChannelPlan, plan_channel},
    demand_news::{DemandNews, DemandReport},
    dispatch_queue::{DispatchQueue, WaitKey, WaitRefusal, WaitingRequest},
    event_stream::EventSplitter,
    failure::{AttemptFailure, FailureContext, NextStep, decide_next_step, may_run_beside},
    group_watch::{DatedView, GroupNews, GroupWatch, RankRejection},
    home_regions::{HomeZones, ZoneRegions},
    map_switch::{OrderOutcome, RankControl, RankOrder, SwitchResult, free_group, switch_map},
    outage_plan::{OutageStep, decide_during_outage},
    overload_plan::{ArrivalRate, OverloadPlan, ServiceCapacity, ServiceDemand},
    part_quarantine::{
        CrashId, CrashReport, PartChange, PartProof, PartQuarantine, PartRestriction,
        QuarantinedPart,
    },
    pass_governor::{GroupLoad, PassGovernor, StartPacer},
    pass_model::PassModel,
    peer_inquiry::PeerInquiry,
    peer_table::{PeerReport, PeerTable, ZonePlace},
    prompt_part::PromptPart,
    prompt_spread::{SpreadCandidate, StartSlice, spread_start},
    rank_status::{PassPace, RankStatus, armed_version, held_pass, pass_to_hold},
    request_limits::{FleetShare, LimitNews, RequestLimits, RequestRate, StartPace},
    request_quarantine::{
        CrashEvidence, RequestChange, RequestQuarantine, RequestRestriction, RequestTraits,
    },
    retry_allowance::{RetryAllowance, RetryStatus, RetryUsage},
    retry_budgets::{RetryBudgets, RetryRule},
    retry_handover::{PreviousUsage, RetryHandover, UsageReport},
    route_table::{
        CallerLimits, EngineProfile, ExpertProfile, RepeatRule, RouteMatch, RouteMiss, RouteRule,
        RouteTable, ServiceRule, TeamRule,
    },
    slow_ranks::{DatedSlowdown, SlowRanks, Slowdown},
    stop_plan::{DurationEstimate, StopPlan, StoppingRequest},
    store_history::{EraChange, KnownEra, ListHistory, StoreEra, StoreStamp, StoreVersion},
    table_rules::TableRules,
    target_choice::{ChoiceInput, TargetChoice, choose_home_target, choose_target, start_pace},
    target_entry::{
        DirectTarget, GroupMember, TargetEntry, TargetId, TargetKey, TargetNotice, TargetState,
    },
    target_health::TargetHealth,
    target_pace::{
        ColdRule, FirstAnswer, PaceChange, PaceInput, PaceNews, PaceRule, PacedTarget, TargetPacer,
    },
    target_roster::{
        GroupPace, GroupView, RosterChange, TargetDeparture, TargetList, TargetRoster,
    },
    zone_evacuation::{EmptiedZones, MissedChanges, ZoneChange, ZoneEvacuation},
};
