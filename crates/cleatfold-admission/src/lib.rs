//! Under lasting overload: who is served, in what order, and who is told to come back.
//!
//! Jobs are looked at by group, a team's jobs of one class. One controller decides from what all of them
//! read in the state service and writes an `OverloadQuota` there; every controller orders its queue by the
//! one it has read. Pure: no I/O and no clock. `docs/admission.md` weighs and argues.

#![warn(
    missing_docs,
    clippy::cognitive_complexity,
    clippy::expect_used,
    clippy::too_many_lines,
    clippy::unwrap_used
)]

pub mod decide;
pub mod fill;
pub mod long_work_limit;
pub mod meter;
pub mod order;
pub mod overload_quota;
pub mod size_classes;

pub use decide::{decide, Bounds, Demand, Judge, Rules, Small, View};
pub use meter::Meter;
pub use overload_quota::{Entry, Group, OverloadQuota};
pub use size_classes::{SizeClass, Sizes};
