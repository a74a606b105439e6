//! The service's decisions as state machines: events in, effects out, no I/O and no clock.
//!
//! `Controller` is one controller. Safety rests on the state service alone: every claim is one
//! transaction guarded by the job's and the pool's version (see `docs/safety.md`).

mod admission;
mod archive;
mod cache;
mod cancellations;
pub mod config;
mod controller;
mod deleted_machines;
pub mod effects;
mod event_number;
mod fault_attribution;
mod format;
mod image_distribution;
mod inventory;
mod jobs;
mod leader;
mod losses;
mod machines;
mod mesh;
mod pending;
mod preemption;
mod priority;
mod queue;
mod quota;
mod rate_limiter;
mod reachability;
pub mod records;
mod requests;
mod roles;
mod scale_out;
mod schedule;
mod state;
mod steps;
mod submissions;
mod teams;
mod unknown_outcomes;
mod worker_authority;
mod workers;
mod workspaces;
mod write_batching;

pub use config::{Aim, AimKind, Config, Team};
pub use controller::Controller;
pub use deleted_machines::DeletedMachines;
pub use effects::{
    CallPriority, CloudReply, CloudRequest, Effect, Event, Request, Response, StoreReply,
    StoreRequest, TeamAnswer, TeamAsk,
};
pub use format::FORMAT;
