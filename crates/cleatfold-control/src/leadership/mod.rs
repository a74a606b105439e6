//! Work of exactly one controller: who holds which role, and the assignment of pools and jobs by
//! whoever holds that role.

mod pool_assignment;
mod roles;
pub(crate) mod state;
