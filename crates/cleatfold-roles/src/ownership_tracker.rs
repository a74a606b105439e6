//! Decides when a controller acquires a vacant resource and when it releases one. Roles and teams' workspaces both
//! use it.
//!
//! Each resource ranks the live controllers. The controller of rank 0 acquires a vacant resource at once, the next
//! one after a short delay if it is still vacant, and so on. This avoids concurrent attempts, and no resource waits
//! for a controller that is listed but does not respond. An owned resource stays with its owner; it moves to the
//! controller of rank 0 only after a period without changes, one resource at a time.

use cleatfold_wire::{ControllerId, Ms};
use std::collections::{BTreeMap, BTreeSet};

/// Additional delay per rank before a controller acquires a vacant resource.
const ACQUIRE_DELAY_PER_RANK_MS: u64 = 400;
/// Minimum time without a change of the live controllers, and between two releases, before a resource is released to
/// the controller of rank 0.
const RELEASE_INTERVAL_MS: u64 = 30_000;

/// Tracks vacant resources, the live controllers, and this controller's pending requests.
#[derive(Debug)]
pub struct OwnershipTracker<K> {
    /// When each vacant resource was first seen without an owner.
    vacant_since: BTreeMap<K, Ms>,
    /// Resources with a pending acquisition or release.
    in_flight: BTreeSet<K>,
    live: BTreeSet<ControllerId>,
    /// When the live controllers last changed or this controller last released a resource.
    last_change: Ms,
}

impl<K> Default for OwnershipTracker<K> {
    fn default() -> Self {
        Self {
            vacant_since: BTreeMap::new(),
            in_flight: BTreeSet::new(),
            live: BTreeSet::new(),
            last_change: Ms(0),
        }
    }
}

impl<K: Ord + Clone> OwnershipTracker<K> {
    /// Updates the live controllers and the owned resources from the last reading.
    pub fn observe<'a, 'k>(
        &mut self,
        now: Ms,
        me: &ControllerId,
        live: impl Iterator<Item = &'a ControllerId>,
        all: impl Iterator<Item = &'k K>,
        is_owned: impl Fn(&K) -> bool,
    ) where
        K: 'k,
    {
        let mut controllers: BTreeSet<ControllerId> = live.cloned().collect();
        controllers.insert(me.clone());
        if controllers != self.live {
            (self.live, self.last_change) = (controllers, now);
        }
        for resource in all {
            if is_owned(resource) {
                self.vacant_since.remove(resource);
            } else if !self.vacant_since.contains_key(resource) {
                self.vacant_since.insert(resource.clone(), now);
            }
        }
    }

    /// The live controllers, as of the last reading.
    pub fn live(&self) -> &BTreeSet<ControllerId> {
        &self.live
    }

    /// Resources that this controller should acquire now, at most `limit`: vacant ones, and those that it owned before
    /// it was restarted.
    pub fn next_to_acquire<'k>(
        &mut self,
        now: Ms,
        limit: usize,
        all: impl Iterator<Item = &'k K>,
        rank: impl Fn(&K, &BTreeSet<ControllerId>) -> usize,
        owned_before_restart: impl Fn(&K) -> bool,
    ) -> Vec<K>
    where
        K: 'k,
    {
        let is_due = |resource: &K| {
            let waited = self.vacant_since.get(resource).map(|since| now.since(*since));
            waited
                .is_some_and(|w| w >= ACQUIRE_DELAY_PER_RANK_MS * rank(resource, &self.live) as u64)
        };
        let candidates = all.filter(|resource| !self.in_flight.contains(*resource));
        let acquired = candidates.filter(|t| owned_before_restart(t) || is_due(t)).take(limit);
        let acquired: Vec<K> = acquired.cloned().collect();
        self.in_flight.extend(acquired.iter().cloned());
        acquired
    }

    /// A resource of this controller that it should release now to the controller of rank 0.
    pub fn next_to_release<'k>(
        &mut self,
        now: Ms,
        mut owned: impl Iterator<Item = &'k K>,
        rank: impl Fn(&K, &BTreeSet<ControllerId>) -> usize,
    ) -> Option<K>
    where
        K: 'k,
    {
        if now.since(self.last_change) < RELEASE_INTERVAL_MS {
            return None;
        }
        let resource =
            owned.find(|t| !self.in_flight.contains(*t) && rank(t, &self.live) > 0)?.clone();
        self.in_flight.insert(resource.clone());
        self.last_change = now;
        Some(resource)
    }

    /// The state service has answered the request for the resource; the next reading shows the result.
    pub fn request_completed(&mut self, resource: &K) {
        self.in_flight.remove(resource);
    }
}
