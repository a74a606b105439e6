//! Admission under sustained overload: which groups of jobs get a guaranteed minimum, the order of the queue, and
//! which new jobs are refused for now.
//!
//! Jobs are grouped by team and class. One controller computes an `OverloadQuota` from the state that all controllers
//! read and writes it to the state service; every controller orders its queue by the quota that it read last. Pure:
//! no I/O and no clock. `docs/admission.md` gives the reasons.

#![warn(
    missing_docs,
    clippy::cognitive_complexity,
    clippy::expect_used,
    clippy::too_many_lines,
    clippy::unwrap_used
)]

pub mod decide;
pub mod long_work_limit;
pub mod max_min;
pub mod meter;
pub mod order;
pub mod overload_quota;
pub mod size_classes;

pub use decide::{
    decide, AdmissionRules, Demand, DemandSnapshot, OverloadTimers, SizeBounds, SizeDemand,
};
pub use meter::Meter;
pub use overload_quota::{Group, OverloadQuota, QuotaEntry};
pub use size_classes::{SizeClass, SizeClassQuota};
