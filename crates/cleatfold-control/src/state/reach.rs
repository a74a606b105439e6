//! What a controller has seen of who reaches whom.

use crate::config::Config;
use cleatfold_reachability::{Reach, Timing};
use cleatfold_wire::*;
use std::collections::{BTreeMap, BTreeSet};

/// Who reaches whom, and what was last told and seen of it.
pub(crate) struct Reaching {
    pub view: Reach,
    pub looked: Ms,
    pub told: Ms,
    /// Zones that we do not reach, as we last saw.
    pub lost: BTreeSet<ZoneId>,
    /// Who held each pool when we last looked.
    pub holders: BTreeMap<PoolId, ControllerId>,
    /// To whom we have dealt pools ourselves.
    pub dealt: BTreeMap<PoolId, ControllerId>,
}

impl Reaching {
    pub fn new(cfg: &Config) -> Self {
        Self {
            view: Reach::new(Timing { report_ms: cfg.report_ms }),
            looked: Ms(0),
            told: Ms(0),
            lost: BTreeSet::new(),
            holders: BTreeMap::new(),
            dealt: BTreeMap::new(),
        }
    }

    /// We gave a pool to a node.
    pub fn dealt(&mut self, pool: &PoolId, controller: &ControllerId) {
        self.dealt.insert(pool.clone(), controller.clone());
    }
}
