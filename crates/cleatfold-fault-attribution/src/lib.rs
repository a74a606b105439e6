//! Fault attribution: a task has failed. A faulty machine fails whatever runs on it; a job that was submitted
//! with a mistake fails wherever it runs. What is known of both sides decides which it was: when
//! and how widely the job is tried again, and whether the machine is returned.
//!
//! The evidence about jobs is what their records say (each failed start with machine, task,
//! attempt and time), so every controller comes to the same answer, also one that was started
//! just now. The evidence about machines is their owner's memory: a new owner begins anew, and
//! a machine that is faulty shows it again.

#![warn(
    missing_docs,
    clippy::cognitive_complexity,
    clippy::expect_used,
    clippy::too_many_lines,
    clippy::unwrap_used
)]

mod job;
mod machine;

pub use job::{pause_ms, verdict, Failure, Verdict};
pub use machine::{Evidence, Suspicion};
