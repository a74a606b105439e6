//! Decides which controller should hold which role.
//!
//! Each role ranks the live controllers. The ranking starts at a different controller for each role, so that the
//! failure of one controller affects few roles. `OwnershipTracker` decides when a role is acquired or released.

use crate::ownership_tracker::OwnershipTracker;
use crate::role::Role;
use cleatfold_wire::{ControllerId, Ms};
use std::collections::BTreeSet;

/// Decides when this controller acquires and releases roles.
#[derive(Debug, Default)]
pub struct RoleAssignment {
    ownership: OwnershipTracker<Role>,
}

/// The rank of the controller `me` for the role; the controller of rank 0 should hold it.
pub fn rank(role: Role, me: &ControllerId, live: &BTreeSet<ControllerId>) -> usize {
    let position = live.range(..me.clone()).count();
    let first = role as usize % live.len().max(1);
    (position + live.len() - first) % live.len().max(1)
}

impl RoleAssignment {
    /// Updates the live controllers and the held roles from the last reading.
    pub fn observe<'a>(
        &mut self,
        now: Ms,
        me: &ControllerId,
        live: impl Iterator<Item = &'a ControllerId>,
        is_held: impl Fn(Role) -> bool,
    ) {
        self.ownership.observe(now, me, live, Role::ALL.iter(), |role| is_held(*role));
    }

    /// A role that this controller should acquire now: a vacant one, or one that it held before it was restarted.
    pub fn next_to_acquire(
        &mut self,
        now: Ms,
        me: &ControllerId,
        held_before_restart: impl Fn(Role) -> bool,
    ) -> Option<Role> {
        let all = Role::ALL.iter();
        let rank = |role: &Role, live: &BTreeSet<ControllerId>| rank(*role, me, live);
        self.ownership.next_to_acquire(now, 1, all, rank, |role| held_before_restart(*role)).pop()
    }

    /// A role of this controller that it should release now to the controller of rank 0.
    pub fn next_to_release(
        &mut self,
        now: Ms,
        me: &ControllerId,
        owned: impl Fn(Role) -> bool,
    ) -> Option<Role> {
        // Pool assignment is not released: its holder has its latest assignments in memory.
        let owned = Role::ALL.iter().filter(|role| **role != Role::PoolAssignment && owned(**role));
        self.ownership.next_to_release(now, owned, |role, live| rank(*role, me, live))
    }

    /// The state service has answered the request for the role; the next reading shows the result.
    pub fn request_completed(&mut self, role: Role) {
        self.ownership.request_completed(&role);
    }
}
