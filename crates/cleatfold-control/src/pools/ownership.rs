//! The pools that this controller owns, with their fencing tokens.

use crate::controller::Controller;
use crate::pools::long_polls::LongPoll;
use cleatfold_wire::{ControllerId, FencingToken, MachineId, Ms, PoolId};
use std::collections::{BTreeMap, BTreeSet};

/// An owned pool, as last read from the state service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct OwnedPool {
    pub token: FencingToken,
    /// When the ownership was first read.
    pub acquired_at: Ms,
}

/// The pools that this controller owns, and what it knows of newer owners.
#[derive(Debug, Default)]
pub(crate) struct OwnedPools {
    pub owned: BTreeMap<PoolId, OwnedPool>,
    /// Newer owners, with their tokens, that have announced themselves over the mesh but have not
    /// been read from the state service yet.
    pub superseded_by: BTreeMap<PoolId, (ControllerId, FencingToken)>,
    /// Heartbeats whose responses are held, by machine.
    pub long_polls: BTreeMap<MachineId, LongPoll>,
}

impl OwnedPools {
    /// Whether this controller owns the pool under exactly this token, as last read.
    pub(crate) fn owns(&self, pool: &PoolId, token: FencingToken) -> bool {
        self.owned.get(pool).is_some_and(|owned| owned.token == token)
    }

    /// Owned pools without a known newer owner, with their tokens.
    pub(crate) fn not_superseded(&self) -> impl Iterator<Item = (&PoolId, FencingToken)> {
        let owned = self.owned.iter().filter(|(pool, _)| !self.superseded_by.contains_key(*pool));
        owned.map(|(pool, owned)| (pool, owned.token))
    }
}

impl Controller {
    /// Updates the owned pools and their tokens from the state cache.
    pub(crate) fn update_ownership(&mut self) {
        self.compare_pool_owners();
        let (me, incarnation) = (&self.cfg.controller_id, self.session.incarnation);
        let pools = self.cache.pools.iter();
        let owned = pools.filter(|(_, ownership)| {
            ownership.owner == *me && Some(ownership.incarnation) == incarnation
        });
        let owned: Vec<(PoolId, FencingToken)> =
            owned.map(|(id, ownership)| (id.clone(), ownership.token)).collect();
        let owned_ids: BTreeSet<&PoolId> = owned.iter().map(|m| &m.0).collect();
        self.pools.owned.retain(|pool, _| owned_ids.contains(pool));
        for (pool, token) in owned {
            if self.pools.owns(&pool, token) {
                continue;
            }
            tracing::info!(%pool, fencing_token = token.0, "pool ownership acquired");
            for machine in self.inventory.machines.values_mut().filter(|m| m.pool == pool) {
                machine.images_changed = true;
            }
            self.pools.owned.insert(pool, OwnedPool { token, acquired_at: self.now });
            self.replan_needed = true;
        }
        let cache = &self.cache;
        let is_unread = |pool: &PoolId, token: FencingToken| {
            cache.pools.get(pool).is_none_or(|known| known.token < token)
        };
        self.pools.superseded_by.retain(|pool, (_, token)| is_unread(pool, *token));
    }

    /// The token under which this controller owns the pool; none if a newer owner is known.
    pub(crate) fn owned_pool_token(&self, pool: &PoolId) -> Option<FencingToken> {
        if self.pools.superseded_by.contains_key(pool) {
            return None;
        }
        self.pools.owned.get(pool).map(|owned| owned.token)
    }
}
