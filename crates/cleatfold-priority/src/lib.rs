//! Priority rules: urgent work starts before background work, also while pools change their owner and
//! controllers fail.
//!
//! Pure: no I/O and no clock. `docs/priority.md` gives the reasons.

#![warn(
    missing_docs,
    clippy::cognitive_complexity,
    clippy::expect_used,
    clippy::too_many_lines,
    clippy::unwrap_used
)]

mod acceptance_order;
mod inversions;
mod owner_liveness;
mod preemption_record;
mod start_barrier;

pub use acceptance_order::{acceptance_revision, acceptance_times};
pub use inversions::{is_inversion, Inversions, TaskStart, WaitingJob};
pub use owner_liveness::{
    is_owner_live, is_promise_trusted, min_wait_benefit_ms, should_plan, JobAssignment,
    ListenerHealth, OwnerStatus,
};
pub use preemption_record::{BeneficiaryState, PreemptionPlan, PreemptionRecord, Victim};
pub use start_barrier::StartBarrier;
