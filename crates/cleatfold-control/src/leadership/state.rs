//! Which roles this controller holds or takes, and how far its assignments have come.

use cleatfold_roles::RoleAssignment;
use cleatfold_wire::{Ms, PoolId};
use std::collections::BTreeMap;

/// What a controller knows of roles and of the assignments it has made.
#[derive(Debug, Default)]
pub(crate) struct Leadership {
    pub roles: RoleAssignment,
    /// Since when the assignment of pools has been ours.
    pub leader_since: Option<Ms>,
    /// The call that writes an assignment of pools.
    pub pending_assignment: Option<u64>,
    /// When it was last looked whether pools have to be assigned.
    pub assignment_checked_at: Ms,
    /// When the last assignment was settled; it shows in readings sent since.
    pub assignment_confirmed_at: Ms,
    /// When each pool was last assigned, as far as we saw.
    pub pool_assigned_at: BTreeMap<PoolId, Ms>,
    /// When jobs were last sent to pools.
    pub jobs_assigned_at: Ms,
    pub garbage_collection_inflight: bool,
}
