//! Attributes task failures to the job or to the machine. A faulty machine fails every job that runs on it; a
//! job that was submitted with a mistake fails on every machine. The failures of both decide when and with how
//! many tasks the job is retried, and whether the machine is returned.
//!
//! The evidence about jobs is in their records (each failed start with machine, task, attempt and time), so
//! every controller reaches the same result, including one that has just started. The evidence about machines
//! is kept in memory by their owner only: a new owner starts without it, and a faulty machine fails again.

#![warn(
    missing_docs,
    clippy::cognitive_complexity,
    clippy::expect_used,
    clippy::too_many_lines,
    clippy::unwrap_used
)]

mod job;
mod machine;

pub use job::{job_health, retry_backoff_ms, Failure, JobHealth};
pub use machine::{Evidence, MachineFailures};
