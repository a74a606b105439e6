//! The distribution of images that many machines want at once, as one controller keeps it.

use cleatfold_weights::ImageDistributor;
use cleatfold_wire::{ImageId, MachineId, Ms, Session};
use std::collections::{BTreeMap, BTreeSet};

/// Which machine fetches which image from where, and the changes to its records that are on their way.
#[derive(Debug, Default)]
pub(crate) struct ImageDistribution {
    pub distributor: ImageDistributor,
    pub looked: Ms,
    pub slots_at: Ms,
    pub slots_inflight: bool,
    /// Machines whose slot the change that is on its way gives back.
    pub given_back: BTreeSet<MachineId>,
    pub holders_at: Ms,
    pub holders_inflight: bool,
    /// What was seen running in a machine's present session, so that its image is there.
    pub ran: BTreeMap<MachineId, (Session, BTreeSet<ImageId>)>,
    /// Machines with the last copy of something in use.
    pub last: BTreeSet<MachineId>,
}

impl ImageDistribution {
    /// Not to be returned for idleness: others fetch from it, or nobody else has what it has.
    pub fn needs(&self, id: &MachineId) -> bool {
        self.distributor.serves(id) || self.last.contains(id)
    }
}
