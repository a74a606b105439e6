//! The controller as a deterministic state machine: it takes events and returns effects, and
//! performs no I/O and reads no clock.
//!
//! [`Controller`] owns all state of a process and routes each [`Event`] to the module that
//! handles it:
//!
//! - `store`: the cache of the state service, the session that keeps it current, record formats
//! - `membership` and `leadership`: peers, reachability, and roles held by one controller at a time
//! - `pools`: ownership of pools and their workers' heartbeats
//! - `scheduling`: the queue, reservations, placement, preemption
//! - `jobs`: user requests and the transactions on job records
//! - `quota` and `admission`: team limits, and team shares under sustained overload
//! - `machines` and `images`: the inventory, scaling out and in, distribution of large images
//! - `namespaces`: each team's jobs, queue, history and losses
//!
//! Safety depends on the state service alone: every claim is one transaction guarded by the
//! versions of the job and of the pool (`docs/safety.md`).

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
    StoreRequest, WorkspaceContents, WorkspaceView,
};
pub use machines::deleted::DeletedMachines;
pub use store::format::FORMAT_VERSION;
pub use store::records;
