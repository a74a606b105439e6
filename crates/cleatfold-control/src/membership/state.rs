//! State of the reachability checks.

use crate::config::Config;
use cleatfold_reachability::{ProbeTiming, Reachability};
use cleatfold_wire::{ControllerId, Ms, PoolId, ZoneId};
use std::collections::{BTreeMap, BTreeSet};

/// A controller's view of reachability, with what it last sent to its peers and saw in the cache.
pub(crate) struct ReachabilityState {
    pub view: Reachability,
    pub last_checked: Ms,
    /// When the zone contacts were last sent to the peers.
    pub contacts_sent_at: Ms,
    /// Zones that this controller did not reach at the last check.
    pub lost_zones: BTreeSet<ZoneId>,
    /// The owner of each pool as of the last sync.
    pub pool_owners: BTreeMap<PoolId, ControllerId>,
    /// The owner to which this controller last assigned each pool.
    pub own_assignments: BTreeMap<PoolId, ControllerId>,
}

impl ReachabilityState {
    pub(crate) fn new(cfg: &Config) -> Self {
        Self {
            view: Reachability::new(ProbeTiming {
                heartbeat_interval_ms: cfg.heartbeat_interval_ms,
            }),
            last_checked: Ms(0),
            contacts_sent_at: Ms(0),
            lost_zones: BTreeSet::new(),
            pool_owners: BTreeMap::new(),
            own_assignments: BTreeMap::new(),
        }
    }

    /// Records that this controller assigned a pool.
    pub(crate) fn record_own_assignment(&mut self, pool: &PoolId, controller: &ControllerId) {
        self.own_assignments.insert(pool.clone(), controller.clone());
    }
}
