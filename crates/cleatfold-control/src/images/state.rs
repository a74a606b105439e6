//! One controller's state of the image distribution.

use crate::machines::inventory::Machine;
use crate::store::cache::CachedJob;
use cleatfold_image_distribution::ImageDistributor;
use cleatfold_wire::worker::TaskState;
use cleatfold_wire::{AgentEpoch, ImageId, JobId, MachineId, Ms};
use std::collections::{BTreeMap, BTreeSet};

/// Which machine fetches which image from which source, and the writes of the two records in
/// flight.
#[derive(Debug, Default)]
pub(crate) struct ImageDistribution {
    pub distributor: ImageDistributor,
    pub last_checked: Ms,
    pub slots_written_at: Ms,
    pub slots_in_flight: bool,
    /// Machines whose origin slot is released by the write in flight.
    pub releasing_slots: BTreeSet<MachineId>,
    pub holders_written_at: Ms,
    pub holders_in_flight: bool,
    /// Images of the tasks seen running in each machine's present session: the machine holds these.
    run_images: BTreeMap<MachineId, (AgentEpoch, BTreeSet<ImageId>)>,
    /// Machines that hold the last copy of an image in use.
    pub last_copies: BTreeSet<MachineId>,
}

impl ImageDistribution {
    /// Whether the machine must not be returned for idleness: others fetch from it, or it holds the
    /// last copy of an image.
    pub(crate) fn blocks_idle_return(&self, id: &MachineId) -> bool {
        self.distributor.is_uploading(id) || self.last_copies.contains(id)
    }

    /// The images that a machine certainly holds, each with the fraction that is present. A worker
    /// that lists its images is trusted. Any other certainly holds the images that ran in its
    /// present session and were not evicted since.
    pub(crate) fn held_images(&self, id: &MachineId, machine: &Machine) -> BTreeMap<ImageId, f64> {
        let Some(heartbeat) = &machine.heartbeat else { return BTreeMap::new() };
        if let Some(held) = &heartbeat.images {
            return held.iter().map(|i| (i.image.clone(), i.fraction)).collect();
        }
        let run_images = self.run_images.get(id).filter(|r| r.0 == heartbeat.agent_epoch);
        let is_kept = |image: &&ImageId| machine.images.iter().any(|kept| kept.0 == **image);
        let run_images = run_images.into_iter().flat_map(|r| r.1.iter()).filter(is_kept);
        run_images.map(|image| (image.clone(), 1.0)).collect()
    }

    /// Records the images of the tasks that run according to the machines' latest heartbeats.
    pub(crate) fn record_run_images(
        &mut self,
        machines: &BTreeMap<MachineId, Machine>,
        jobs: &BTreeMap<JobId, CachedJob>,
    ) {
        self.run_images.retain(|id, _| machines.contains_key(id));
        for (id, machine) in machines {
            let Some(heartbeat) = &machine.heartbeat else { continue };
            let running = heartbeat.tasks.iter().filter(|t| t.state == TaskState::Running);
            for task in running {
                let Some(cached) = jobs.get(&task.task.job) else { continue };
                let new_session = || (heartbeat.agent_epoch, BTreeSet::new());
                let run_images = self.run_images.entry(id.clone()).or_insert_with(new_session);
                if run_images.0 != heartbeat.agent_epoch {
                    *run_images = new_session();
                }
                run_images.1.insert(cached.record.spec.image.clone());
            }
        }
    }
}
