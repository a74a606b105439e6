//! One controller as a state machine: events in, effects out, no I/O and no clock.
//!
//! [`Controller`] owns all state of a process and routes each [`Event`] to the module it concerns:
//!
//! - `store`: the cache of the state service, the session that keeps it current, the records
//! - `membership` and `leadership`: peers, who reaches whom, and roles of exactly one controller
//! - `pools`: ownership of pools and their workers' heartbeats
//! - `scheduling`: the queue, reservations, claims to be made, preemption
//! - `jobs`: users' requests and the transactions on jobs' records
//! - `quota` and `admission`: teams' limits, and shares under lasting overload
//! - `machines` and `images`: the inventory, scaling out and in, large images
//! - `namespaces`: each team's jobs, queue, history and losses
//!
//! Safety rests on the state service alone: every claim is one transaction guarded by the job's and
//! the pool's version (`docs/safety.md`).

#![warn(
    missing_docs,
    clippy::cognitive_complexity,
    clippy::expect_used,
    clippy::too_many_lines,
    clippy::unwrap_used
)]

mod admission;
pub mod config;
mod controller;
pub mod effects;
mod event_number;
mod images;
mod jobs;
mod leadership;
mod machines;
mod membership;
mod namespaces;
mod pending;
mod pools;
mod quota;
mod scheduling;
mod store;

pub use config::{Config, ObjectiveKind, ServiceLevelObjective, Team};
pub use controller::Controller;
pub use effects::{
    CallPriority, CloudReply, CloudRequest, Effect, Event, Request, Response, StoreReply,
    StoreRequest, TeamAnswer, TeamAsk,
};
pub use machines::deleted::DeletedMachines;
pub use store::format::FORMAT;
pub use store::records;
