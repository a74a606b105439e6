//! Elastic jobs: which steps are finished, who holds which, and how wide a job should run.
//! Pure: no I/O and no clock. `docs/elastic.md` says why it is as it is.

#![warn(
    missing_docs,
    clippy::cognitive_complexity,
    clippy::expect_used,
    clippy::too_many_lines,
    clippy::unwrap_used
)]

pub mod accounting;
pub mod progress;
pub mod width;

pub use accounting::{Members, StepAccounts, Verdict};
pub use progress::{part_count, Hold, Part, PartRecord, Progress, Unreadable, STEPS_PART};
pub use width::Width;
