//! State of role acquisition and of pool and job assignment.

use crate::event_number::EventNumber;
use cleatfold_roles::RoleAssignment;
use cleatfold_wire::{Ms, PoolId};
use std::collections::BTreeMap;

/// A controller's state for roles and assignments.
#[derive(Debug, Default)]
pub(crate) struct Leadership {
    pub roles: RoleAssignment,
    /// Since when this controller has held the pool assignment role.
    pub leader_since: Option<Ms>,
    /// The pending call that writes a pool assignment.
    pub pending_assignment: Option<u64>,
    /// When it was last checked whether pools have to be assigned.
    pub assignment_checked_at: Ms,
    /// The event at which the last assignment write was answered; any sync sent since reads its
    /// result.
    pub assignment_confirmed_at: EventNumber,
    /// When each pool was last assigned, as far as this controller knows.
    pub pool_assigned_at: BTreeMap<PoolId, Ms>,
    /// When jobs were last assigned to pools.
    pub jobs_assigned_at: Ms,
    /// A garbage collection transaction is pending.
    pub garbage_collection_in_flight: bool,
}
