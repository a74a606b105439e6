//! When to take what nobody has, and when to let it go: the same for roles and for teams' workspaces.
//!
//! Whoever is first in a thing's order of the live controllers takes it at once when it is vacant, the
//! next one a little later if it still is, and so on: no herd, and nothing waits for a controller that
//! is listed but does nothing. A thing stays where it is; to its first controller it goes only after
//! all has been quiet, one at a time.

use cleatfold_wire::{ControllerId, Ms};
use std::collections::{BTreeMap, BTreeSet};

/// How much longer the next controller waits before it takes what is vacant.
const STEP_MS: u64 = 400;
/// Things move back only when nobody has come or gone for so long, and one in so long.
const QUIET_MS: u64 = 30_000;

/// What stands without a holder, and what was asked for.
#[derive(Debug)]
pub struct Vacancies<K> {
    /// Since when a thing has been seen without a holder.
    vacant: BTreeMap<K, Ms>,
    asked: BTreeSet<K>,
    live: BTreeSet<ControllerId>,
    /// When somebody last came or went, or a thing of ours moved.
    moved: Ms,
}

impl<K> Default for Vacancies<K> {
    fn default() -> Self {
        Self {
            vacant: BTreeMap::new(),
            asked: BTreeSet::new(),
            live: BTreeSet::new(),
            moved: Ms(0),
        }
    }
}

impl<K: Ord + Clone> Vacancies<K> {
    /// Sees who lives and what is held. Call it with what was read last.
    pub fn see<'a, 'k>(
        &mut self,
        now: Ms,
        me: &ControllerId,
        live: impl Iterator<Item = &'a ControllerId>,
        all: impl Iterator<Item = &'k K>,
        held: impl Fn(&K) -> bool,
    ) where
        K: 'k,
    {
        let mut controllers: BTreeSet<ControllerId> = live.cloned().collect();
        controllers.insert(me.clone());
        if controllers != self.live {
            (self.live, self.moved) = (controllers, now);
        }
        for thing in all {
            if held(thing) {
                self.vacant.remove(thing);
            } else if !self.vacant.contains_key(thing) {
                self.vacant.insert(thing.clone(), now);
            }
        }
    }

    /// The live controllers, as last seen.
    pub fn live(&self) -> &BTreeSet<ControllerId> {
        &self.live
    }

    /// What is ours to take now, up to `most`: what is vacant, or what was ours before we were restarted.
    pub fn take<'k>(
        &mut self,
        now: Ms,
        most: usize,
        all: impl Iterator<Item = &'k K>,
        rank: impl Fn(&K, &BTreeSet<ControllerId>) -> usize,
        was_mine: impl Fn(&K) -> bool,
    ) -> Vec<K>
    where
        K: 'k,
    {
        let due = |thing: &K| {
            let waited = self.vacant.get(thing).map(|since| now.since(*since));
            waited.is_some_and(|w| w >= STEP_MS * rank(thing, &self.live) as u64)
        };
        let free = all.filter(|thing| !self.asked.contains(*thing));
        let taken = free.filter(|t| was_mine(t) || due(t)).take(most);
        let taken: Vec<K> = taken.cloned().collect();
        self.asked.extend(taken.iter().cloned());
        taken
    }

    /// A thing of ours that should go to its first controller now.
    pub fn give<'k>(
        &mut self,
        now: Ms,
        mut mine: impl Iterator<Item = &'k K>,
        rank: impl Fn(&K, &BTreeSet<ControllerId>) -> usize,
    ) -> Option<K>
    where
        K: 'k,
    {
        if now.since(self.moved) < QUIET_MS {
            return None;
        }
        let thing = mine.find(|t| !self.asked.contains(*t) && rank(t, &self.live) > 0)?.clone();
        self.asked.insert(thing.clone());
        self.moved = now;
        Some(thing)
    }

    /// The state service has answered; what stands is read next.
    pub fn settled(&mut self, thing: &K) {
        self.asked.remove(thing);
    }
}
