//! Admission: what is worked on, in which order, and who is turned away.
//!
//! Pure decisions, no I/O and no clock of their own: times are milliseconds on the caller's
//! steady clock. `docs/overload.md` says why they are what they are.

mod class;
mod desk;
mod intake;
mod outlet;
mod pressure;
mod retry;
mod seats;
mod turns;
mod write_pacer;

pub use class::Class;
pub use desk::Desk;
pub use intake::Intake;
pub use outlet::Outlet;
pub use pressure::{Level, Pressure};
pub use retry::{Backoff, Breaker, RetryBudget};
pub use seats::{Seat, SeatId, Seats};
pub use turns::{Turns, ROUND, TURN_MS};
pub use write_pacer::{Need, PacerLimits, WritePacer};
