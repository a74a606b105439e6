//! What a controller has seen of who reaches whom.

use crate::config::Config;
use cleatfold_reachability::{Reachability, Timing};
use cleatfold_wire::{ControllerId, Ms, PoolId, ZoneId};
use std::collections::{BTreeMap, BTreeSet};

/// Who reaches whom, and what was last told and seen of it.
pub(crate) struct ReachabilityState {
    pub view: Reachability,
    pub last_checked: Ms,
    pub contacts_sent_at: Ms,
    /// Zones that we do not reach, as we last saw.
    pub lost: BTreeSet<ZoneId>,
    /// Who held each pool when we last looked.
    pub holders: BTreeMap<PoolId, ControllerId>,
    /// To whom we have assigned pools ourselves.
    pub assigned_to: BTreeMap<PoolId, ControllerId>,
}

impl ReachabilityState {
    pub(crate) fn new(cfg: &Config) -> Self {
        Self {
            view: Reachability::new(Timing { heartbeat_interval_ms: cfg.heartbeat_interval_ms }),
            last_checked: Ms(0),
            contacts_sent_at: Ms(0),
            lost: BTreeSet::new(),
            holders: BTreeMap::new(),
            assigned_to: BTreeMap::new(),
        }
    }

    /// We gave a pool to a controller.
    pub(crate) fn note_assignment(&mut self, pool: &PoolId, controller: &ControllerId) {
        self.assigned_to.insert(pool.clone(), controller.clone());
    }
}
