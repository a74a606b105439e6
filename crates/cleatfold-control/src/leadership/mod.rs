//! Leadership: the roles that one controller at a time holds, and the assignment of pools and jobs
//! by the holder of the pool assignment role.

mod pool_assignment;
mod roles;
pub(crate) mod state;
