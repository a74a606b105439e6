//! The distribution of images that many machines want at once, as one controller keeps it.

use crate::machines::inventory::Machine;
use crate::store::cache::CachedJob;
use cleatfold_image_distribution::ImageDistributor;
use cleatfold_wire::worker::TaskState;
use cleatfold_wire::{AgentEpoch, ImageId, JobId, MachineId, Ms};
use std::collections::{BTreeMap, BTreeSet};

/// Which machine fetches which image from where, and the changes to its records that are on their way.
#[derive(Debug, Default)]
pub(crate) struct ImageDistribution {
    pub distributor: ImageDistributor,
    pub last_checked: Ms,
    pub slots_at: Ms,
    pub slots_inflight: bool,
    /// Machines whose slot the change that is on its way gives back.
    pub given_back: BTreeSet<MachineId>,
    pub holders_at: Ms,
    pub holders_inflight: bool,
    /// What was seen running in a machine's present session, so that its image is there.
    ran: BTreeMap<MachineId, (AgentEpoch, BTreeSet<ImageId>)>,
    /// Machines with the last copy of something in use.
    pub last: BTreeSet<MachineId>,
}

impl ImageDistribution {
    /// Not to be returned for idleness: others fetch from it, or nobody else has what it has.
    pub(crate) fn blocks_idle_return(&self, id: &MachineId) -> bool {
        self.distributor.serves(id) || self.last.contains(id)
    }

    /// What is on a machine for certain. A worker that lists its images is believed; of another we
    /// know what runs, and what ran in this session and was not pushed out since.
    pub(crate) fn images_there(&self, id: &MachineId, machine: &Machine) -> BTreeMap<ImageId, f64> {
        let Some(heartbeat) = &machine.heartbeat else { return BTreeMap::new() };
        if let Some(held) = &heartbeat.images {
            return held.iter().map(|i| (i.image.clone(), i.part)).collect();
        }
        let ran = self.ran.get(id).filter(|r| r.0 == heartbeat.agent_epoch);
        let kept = |i: &&ImageId| machine.images.iter().any(|m| m.0 == **i);
        let ran = ran.into_iter().flat_map(|r| r.1.iter()).filter(kept);
        ran.map(|image| (image.clone(), 1.0)).collect()
    }

    /// Notes the images of what runs by the machines' newest reports.
    pub(crate) fn note_ran(
        &mut self,
        machines: &BTreeMap<MachineId, Machine>,
        jobs: &BTreeMap<JobId, CachedJob>,
    ) {
        self.ran.retain(|id, _| machines.contains_key(id));
        for (id, machine) in machines {
            let Some(heartbeat) = &machine.heartbeat else { continue };
            let running = heartbeat.tasks.iter().filter(|t| t.state == TaskState::Running);
            for task in running {
                let Some(cached) = jobs.get(&task.task.job) else { continue };
                let fresh = || (heartbeat.agent_epoch, BTreeSet::new());
                let ran = self.ran.entry(id.clone()).or_insert_with(fresh);
                if ran.0 != heartbeat.agent_epoch {
                    *ran = fresh();
                }
                ran.1.insert(cached.record.spec.image.clone());
            }
        }
    }
}
