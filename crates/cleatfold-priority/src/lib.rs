//! Priority: urgent work starts before background work, whoever plans and whoever fails.
//!
//! Pure: no I/O and no clock. `docs/priority.md` argues.

#![warn(
    missing_docs,
    clippy::cognitive_complexity,
    clippy::expect_used,
    clippy::too_many_lines,
    clippy::unwrap_used
)]

mod decision;
mod inversions;
mod live;
mod place;
mod start_barrier;

pub use decision::{PreemptionPlan, PreemptionRecord, Seen, Victim};
pub use inversions::{inverts, Inversions, Start, Waiting};
pub use live::{believed, considers, lives, prompt_ms, ListenerHealth, Owner, Sent};
pub use place::{acceptance_times, place_of};
pub use start_barrier::StartBarrier;
