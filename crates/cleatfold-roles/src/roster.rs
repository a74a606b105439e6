//! Who should hold which duty.
//!
//! Each duty has an order of the live controllers, the first of them a different one for each
//! duty, so that one death takes few duties with it. When one is taken and given back is
//! `Vacancies`' decision.

use crate::duty::Duty;
use crate::vacancies::Vacancies;
use cleatfold_wire::{ControllerId, Ms};
use std::collections::BTreeSet;

#[derive(Debug, Default)]
pub struct Roster {
    vacancies: Vacancies<Duty>,
}

/// The place of `me` among those who should hold the duty.
pub fn rank(duty: Duty, me: &ControllerId, live: &BTreeSet<ControllerId>) -> usize {
    let me = live.range(..me.clone()).count();
    let first = duty as usize % live.len().max(1);
    (me + live.len() - first) % live.len().max(1)
}

impl Roster {
    /// Sees who lives and what is held. Call it with what was read last.
    pub fn see<'a>(
        &mut self,
        now: Ms,
        me: &ControllerId,
        live: impl Iterator<Item = &'a ControllerId>,
        held: impl Fn(Duty) -> bool,
    ) {
        self.vacancies.see(now, me, live, Duty::ALL.iter(), |duty| held(*duty));
    }

    /// A duty that is ours to take now: one that stands empty, or that was ours before we were
    /// restarted.
    pub fn take(
        &mut self,
        now: Ms,
        me: &ControllerId,
        was_mine: impl Fn(Duty) -> bool,
    ) -> Option<Duty> {
        let all = Duty::ALL.iter();
        let rank = |duty: &Duty, live: &BTreeSet<ControllerId>| rank(*duty, me, live);
        self.vacancies.take(now, 1, all, rank, |duty| was_mine(*duty)).pop()
    }

    /// A duty of ours that should go back to its first controller now.
    pub fn give(
        &mut self,
        now: Ms,
        me: &ControllerId,
        mine: impl Fn(Duty) -> bool,
    ) -> Option<Duty> {
        // Dealing stays: whoever deals knows what it has just dealt.
        let mine = Duty::ALL.iter().filter(|d| **d != Duty::Deal && mine(**d));
        self.vacancies.give(now, mine, |duty, live| rank(*duty, me, live))
    }

    /// The state service has answered; what stands is read next.
    pub fn settled(&mut self, duty: Duty) {
        self.vacancies.settled(&duty);
    }
}
