//! Overload that lasts: measurements at every controller, one quota that all of them go by.

mod overload;
pub(crate) mod state;
