//! Who should hold which role.
//!
//! Each role has an order of the live controllers, the first of them a different one for each
//! role, so that one death takes few roles with it. When one is taken and given back is
//! `Vacancies`' decision.

use crate::role::Role;
use crate::vacancies::Vacancies;
use cleatfold_wire::{ControllerId, Ms};
use std::collections::BTreeSet;

/// When this controller takes roles and gives them back.
#[derive(Debug, Default)]
pub struct RoleAssignment {
    vacancies: Vacancies<Role>,
}

/// The place of `me` among those who should hold the role.
pub fn rank(role: Role, me: &ControllerId, live: &BTreeSet<ControllerId>) -> usize {
    let me = live.range(..me.clone()).count();
    let first = role as usize % live.len().max(1);
    (me + live.len() - first) % live.len().max(1)
}

impl RoleAssignment {
    /// Sees who lives and what is held. Call it with what was read last.
    pub fn see<'a>(
        &mut self,
        now: Ms,
        me: &ControllerId,
        live: impl Iterator<Item = &'a ControllerId>,
        held: impl Fn(Role) -> bool,
    ) {
        self.vacancies.see(now, me, live, Role::ALL.iter(), |role| held(*role));
    }

    /// A role that is ours to take now: one that stands empty, or that was ours before we were
    /// restarted.
    pub fn take(
        &mut self,
        now: Ms,
        me: &ControllerId,
        was_mine: impl Fn(Role) -> bool,
    ) -> Option<Role> {
        let all = Role::ALL.iter();
        let rank = |role: &Role, live: &BTreeSet<ControllerId>| rank(*role, me, live);
        self.vacancies.take(now, 1, all, rank, |role| was_mine(*role)).pop()
    }

    /// A role of ours that should go back to its first controller now.
    pub fn give(
        &mut self,
        now: Ms,
        me: &ControllerId,
        mine: impl Fn(Role) -> bool,
    ) -> Option<Role> {
        // Pool assignment stays: its holder knows what it has just assigned.
        let mine = Role::ALL.iter().filter(|d| **d != Role::PoolAssignment && mine(**d));
        self.vacancies.give(now, mine, |role, live| rank(*role, me, live))
    }

    /// The state service has answered; what stands is read next.
    pub fn settled(&mut self, role: Role) {
        self.vacancies.settled(&role);
    }
}
