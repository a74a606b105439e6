//! Which pools are this controller's, and under which fencing token.

use crate::controller::Controller;
use crate::pools::long_polls::LongPoll;
use cleatfold_wire::{ControllerId, FencingToken, MachineId, Ms, PoolId};
use std::collections::{BTreeMap, BTreeSet};

/// A pool of ours, as last read.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct OwnedPool {
    pub token: FencingToken,
    /// When we read that it is ours.
    pub since: Ms,
}

/// The pools of this controller.
#[derive(Debug, Default)]
pub(crate) struct OwnedPools {
    pub owned: BTreeMap<PoolId, OwnedPool>,
    /// Pools under a higher token than we have read, as told by their owners.
    pub hinted: BTreeMap<PoolId, (ControllerId, FencingToken)>,
    /// Heartbeats whose answers wait a moment.
    pub long_polls: BTreeMap<MachineId, LongPoll>,
}

impl OwnedPools {
    /// Whether the pool is ours under exactly this token, as last read.
    pub(crate) fn owns(&self, pool: &PoolId, token: FencingToken) -> bool {
        self.owned.get(pool).is_some_and(|owned| owned.token == token)
    }

    /// The pools of ours that nobody is known to have taken over, with their tokens.
    pub(crate) fn undisputed(&self) -> impl Iterator<Item = (&PoolId, FencingToken)> {
        let owned = self.owned.iter().filter(|(pool, _)| !self.hinted.contains_key(*pool));
        owned.map(|(pool, owned)| (pool, owned.token))
    }
}

impl Controller {
    /// Sees which pools came to us since, and under which token.
    pub(crate) fn note_ownership(&mut self) {
        self.note_holders();
        let (me, incarnation) = (&self.cfg.controller_id, self.session.incarnation);
        let pools = self.cache.pools.iter();
        let mine = pools.filter(|(_, h)| h.owner == *me && Some(h.incarnation) == incarnation);
        let mine: Vec<(PoolId, FencingToken)> = mine.map(|(id, h)| (id.clone(), h.token)).collect();
        let owned: BTreeSet<&PoolId> = mine.iter().map(|m| &m.0).collect();
        self.pools.owned.retain(|pool, _| owned.contains(pool));
        for (pool, token) in mine {
            if self.pools.owns(&pool, token) {
                continue;
            }
            tracing::info!(%pool, fencing_token = token.0, "pool ownership acquired");
            for m in self.inventory.machines.values_mut().filter(|m| m.pool == pool) {
                m.images_changed = true;
            }
            self.pools.owned.insert(pool, OwnedPool { token, since: self.now });
            self.replan_needed = true;
        }
        let cache = &self.cache;
        let is_unread = |pool: &PoolId, token: FencingToken| {
            cache.pools.get(pool).is_none_or(|known| known.token < token)
        };
        self.pools.hinted.retain(|pool, (_, token)| is_unread(pool, *token));
    }

    /// Our token for a pool, if it is ours as far as we know.
    pub(crate) fn my_token(&self, pool: &PoolId) -> Option<FencingToken> {
        if self.pools.hinted.contains_key(pool) {
            return None;
        }
        self.pools.owned.get(pool).map(|owned| owned.token)
    }
}
