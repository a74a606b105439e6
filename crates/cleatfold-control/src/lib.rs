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
mod duties;
pub mod effects;
mod entitled;
mod event_number;
mod fault_attribution;
mod format;
mod inventory;
mod jobs;
mod lanes;
mod leader;
mod limits;
mod losses;
mod machines;
mod mesh;
mod news;
mod pace;
mod pending;
mod queue;
mod reach;
pub mod records;
mod renting;
mod requests;
mod schedule;
mod settle;
mod shrink;
mod state;
mod steps;
mod submissions;
mod teams;
mod weights;
mod workers;
mod workspaces;

pub use config::{Aim, AimKind, Config, Team};
pub use controller::Controller;
pub use deleted_machines::DeletedMachines;
pub use effects::{
    CloudReply, CloudRequest, Effect, Event, Lane, Request, Response, StoreReply, StoreRequest,
    TeamAnswer, TeamAsk,
};
pub use format::FORMAT;
