//! Limits on the requests of teams, and the queue of requests that wait for a free target.

mod pace;
pub mod queue;
mod service_queue;
pub mod team;

pub use {
    queue::{QueueLimits, QueueRefusal, TicketKey, WaitQueue, WaitRequest},
    team::{TeamLimiter, TeamLimits, TeamRefusal},
};
