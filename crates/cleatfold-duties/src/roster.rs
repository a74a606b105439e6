//! Who should hold what.
//!
//! Each duty has an order of the live controllers, the first of them a different one for each
//! duty, so that one death takes few duties with it. Whoever is first takes an empty duty at once,
//! the next one a little later if it is still empty, and so on: no herd, and no duty waits for a
//! controller that is listed but does nothing. A duty stays where it is; back to its first
//! controller it goes only after all has been quiet, one at a time.

use crate::duty::Duty;
use cleatfold_wire::{Ms, NodeId};
use std::collections::{BTreeMap, BTreeSet};

/// How much longer the next controller waits before it takes an empty duty.
const STEP_MS: u64 = 400;
/// Duties move back only when nobody has come or gone for so long, and one in so long.
const QUIET_MS: u64 = 30_000;

#[derive(Debug, Default)]
pub struct Roster {
    /// Since when a duty has been seen without a holder.
    empty: BTreeMap<Duty, Ms>,
    asked: BTreeSet<Duty>,
    live: BTreeSet<NodeId>,
    /// When somebody last came or went, or a duty of ours moved.
    moved: Ms,
}

/// The place of `me` among those who should hold the duty.
pub fn rank(duty: Duty, me: &NodeId, live: &BTreeSet<NodeId>) -> usize {
    let me = live.range(..me.clone()).count();
    let first = duty as usize % live.len().max(1);
    (me + live.len() - first) % live.len().max(1)
}

impl Roster {
    /// Sees who lives and what is held. Call it with what was read last.
    pub fn see<'a>(
        &mut self,
        now: Ms,
        me: &NodeId,
        live: impl Iterator<Item = &'a NodeId>,
        held: impl Fn(Duty) -> bool,
    ) {
        let mut all: BTreeSet<NodeId> = live.cloned().collect();
        all.insert(me.clone());
        if all != self.live {
            (self.live, self.moved) = (all, now);
        }
        for duty in Duty::ALL {
            if held(duty) {
                self.empty.remove(&duty);
            } else {
                self.empty.entry(duty).or_insert(now);
            }
        }
    }

    /// A duty that is ours to take now: one that stands empty, or that was ours before we were
    /// restarted.
    pub fn take(&mut self, now: Ms, me: &NodeId, was_mine: impl Fn(Duty) -> bool) -> Option<Duty> {
        let empty = |duty: &Duty| {
            let wait = STEP_MS * rank(*duty, me, &self.live) as u64;
            self.empty.get(duty).is_some_and(|since| now.since(*since) >= wait)
        };
        let free = Duty::ALL.into_iter().filter(|d| !self.asked.contains(d));
        let duty = free.into_iter().find(|d| was_mine(*d) || empty(d))?;
        self.asked.insert(duty);
        Some(duty)
    }

    /// A duty of ours that should go back to its first controller now.
    pub fn give(&mut self, now: Ms, me: &NodeId, mine: impl Fn(Duty) -> bool) -> Option<Duty> {
        if now.since(self.moved) < QUIET_MS {
            return None;
        }
        // Dealing stays: whoever deals knows what it has just dealt.
        let others = Duty::ALL.into_iter().filter(|d| *d != Duty::Deal && !self.asked.contains(d));
        let duty = others.into_iter().find(|d| mine(*d) && rank(*d, me, &self.live) > 0)?;
        self.asked.insert(duty);
        self.moved = now;
        Some(duty)
    }

    /// The state service has answered; what stands is read next.
    pub fn settled(&mut self, duty: Duty) {
        self.asked.remove(&duty);
    }
}
