//! Elastic jobs: which steps are finished, which member holds which steps, and how many members a job
//! should have.
//!
//! Pure: no I/O and no clock. `docs/elastic.md` gives the reasons.

#![warn(
    missing_docs,
    clippy::cognitive_complexity,
    clippy::expect_used,
    clippy::too_many_lines,
    clippy::unwrap_used
)]

pub mod progress;
pub mod step_ledger;
pub mod width;

pub use progress::{
    progress_part_count, Hold, Progress, ProgressDecodeError, ProgressPart, ProgressPartRecord,
    STEPS_PER_PART,
};
pub use step_ledger::{Members, StepLedger, Verdict};
pub use width::ElasticWidth;
