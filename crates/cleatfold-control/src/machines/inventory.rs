//! The inventory of machines, built from their heartbeats and the cloud's machine list.

use crate::machines::deleted::DeletedMachines;
use cleatfold_backfill::Resources;
use cleatfold_wire::cloud::{MachineState, MachineType};
use cleatfold_wire::worker::{HeldImage, TaskReport, TaskState};
use cleatfold_wire::{
    AgentEpoch, FencingToken, ImageId, JobId, MachineId, Ms, PoolId, Seq, TaskIx, TypeId,
};
use serde_json::value::RawValue;
use std::collections::{BTreeMap, VecDeque};

/// The newest heartbeat of a machine.
#[derive(Clone, Debug)]
pub(crate) struct LastHeartbeat {
    pub agent_epoch: AgentEpoch,
    pub seq: Seq,
    /// The highest fencing token that the worker had seen when it sent the heartbeat.
    pub token: FencingToken,
    pub received_at: Ms,
    pub tasks: Vec<TaskReport>,
    /// The unparsed task list; the next heartbeat is compared with it before it is parsed.
    pub raw_tasks: Box<RawValue>,
    /// The stamp of the machine's claims if the heartbeat required no action. While the stamp is
    /// the same, an identical heartbeat requires none either and is not parsed.
    pub no_action_stamp: Option<u64>,
    /// The images that the worker holds, if it fetches images from other workers.
    pub images: Option<Vec<HeldImage>>,
}

/// A machine, with what is known of it from heartbeats, the cloud and claims.
#[derive(Clone, Debug)]
pub(crate) struct Machine {
    pub pool: PoolId,
    pub spot: bool,
    /// The address at which its worker accepts direct commands and probes.
    pub endpoint: Option<String>,
    /// The state from the cloud's machine list; `Running` once a heartbeat under the current token
    /// has arrived.
    pub state: Option<MachineState>,
    /// When the machine was last in the cloud's list; at first, when it was added to the inventory.
    pub last_listed_at: Ms,
    /// It has been in the cloud's list, so its absence from a later list means that it was deleted.
    pub ever_listed: bool,
    /// When the machine was created, by its age in the cloud's list.
    pub created_at: Ms,
    pub heartbeat: Option<LastHeartbeat>,
    /// When the last heartbeat arrived that proves the machine is running: newer than all earlier
    /// ones, and sent under this controller's token for the pool. A delayed copy of a heartbeat
    /// meets neither condition.
    pub last_heartbeat_at: Option<Ms>,
    /// Detects whether responses reach the worker.
    pub partition_detector: cleatfold_reachability::OneWayPartitionDetector,
    /// When a heartbeat of the machine was last answered with 200, and under which token.
    pub last_answer: Option<(Ms, FencingToken)>,
    /// When the cloud reclaims the machine, if it gave notice.
    pub reclaim_at: Option<Ms>,
    /// Images that the machine holds, with their sizes in GB, the most recently used last.
    pub images: VecDeque<(ImageId, f64)>,
    /// `images` is to be sent to the peers.
    pub images_changed: bool,
    /// When each task was first seen running.
    pub task_started_at: BTreeMap<(JobId, TaskIx), Ms>,
    /// Tasks that failed on the machine, as evidence of a machine fault.
    pub failures: cleatfold_fault_attribution::MachineFailures,
    /// Tasks that succeed on other machines fail on this one.
    pub faulty: bool,
    /// The machine is given no new tasks and is deleted once it runs none.
    pub draining: bool,
    /// A deletion has been requested from the cloud.
    pub deleting: bool,
    /// Since when the machine has had neither claims nor tasks.
    pub idle_since: Option<Ms>,
    /// The worker's lease has provably expired since its last heartbeat.
    pub lease_expired: bool,
    /// When the machine was first known, or this process last resumed after a stall. Silence before
    /// this time does not count against the machine.
    pub observed_since: Ms,
}

impl Machine {
    pub(crate) fn new(pool: PoolId, spot: bool, now: Ms) -> Self {
        Self {
            pool,
            spot,
            endpoint: None,
            state: None,
            last_listed_at: now,
            ever_listed: false,
            created_at: now,
            heartbeat: None,
            last_heartbeat_at: None,
            partition_detector: Default::default(),
            last_answer: None,
            reclaim_at: None,
            images: VecDeque::new(),
            images_changed: false,
            task_started_at: BTreeMap::new(),
            failures: Default::default(),
            faulty: false,
            draining: false,
            deleting: false,
            idle_since: None,
            lease_expired: false,
            observed_since: now,
        }
    }

    /// Whether the machine's own state allows it to be given new tasks.
    pub(crate) fn is_schedulable(&self) -> bool {
        !self.draining
            && !self.deleting
            && self.reclaim_at.is_none()
            && !self.partition_detector.is_partitioned()
    }

    /// Whether its last heartbeat lists a task that has not exited.
    pub(crate) fn has_running_tasks(&self) -> bool {
        let tasks = self.heartbeat.iter().flat_map(|last| &last.tasks);
        tasks.into_iter().any(|t| t.state != TaskState::Exited)
    }

    /// When the last heartbeat arrived that proves the machine is running.
    pub(crate) fn last_heartbeat_at(&self) -> Option<Ms> {
        self.last_heartbeat_at
    }

    /// Marks an image as most recently used and evicts the least recently used ones beyond the size
    /// of the machine's image cache.
    pub(crate) fn use_image(&mut self, image: &ImageId, gb: f64, cache_gb: f64) {
        if self.images.back().is_some_and(|i| i.0 == *image) {
            return;
        }
        self.images_changed = true;
        self.images.retain(|i| i.0 != *image);
        self.images.push_back((image.clone(), gb));
        let mut total: f64 = self.images.iter().map(|i| i.1).sum();
        while total > cache_gb && self.images.len() > 1 {
            total -= self.images.pop_front().map_or(0.0, |i| i.1);
        }
    }
}

/// All known machines and machine types.
#[derive(Debug, Default)]
pub(crate) struct Inventory {
    pub types: BTreeMap<TypeId, MachineType>,
    pub machines: BTreeMap<MachineId, Machine>,
    /// When the last complete machine list arrived from the cloud; a machine whose `last_listed_at`
    /// is earlier was missing from it. Unlike `CloudState::list_read_at`, a failed read does not
    /// change it.
    pub list_received_at: Ms,
    /// Deleted machines; delayed messages about them are ignored.
    pub deleted: DeletedMachines,
}

impl Inventory {
    /// Resources of one machine of a type.
    pub(crate) fn machine_resources(&self, machine_type: &TypeId) -> Resources {
        self.types
            .get(machine_type)
            .map(|t| Resources::new(t.cpus, t.gpus, t.memory_gb))
            .unwrap_or_default()
    }

    /// Every pool that the cloud offers: each machine type in each of its zones.
    pub(crate) fn pools(&self) -> Vec<PoolId> {
        self.types
            .values()
            .flat_map(|t| {
                t.zones.iter().map(|z| PoolId { machine_type: t.name.clone(), zone: z.clone() })
            })
            .collect()
    }

    pub(crate) fn is_deleted(&self, id: &MachineId) -> bool {
        self.deleted.contains(id)
    }

    /// Removes a machine whose deletion the cloud has confirmed.
    pub(crate) fn record_deletion(&mut self, id: &MachineId) {
        self.machines.remove(id);
        self.deleted.insert(id);
    }

    /// The number of machines in each pool.
    pub(crate) fn machine_counts(&self) -> BTreeMap<&PoolId, usize> {
        let mut counts = BTreeMap::new();
        for m in self.machines.values() {
            *counts.entry(&m.pool).or_default() += 1;
        }
        counts
    }

    /// Groups the machines by pool in one pass; a pass per pool is expensive in a large deployment.
    pub(crate) fn machines_by_pool(&self) -> BTreeMap<&PoolId, Vec<(&MachineId, &Machine)>> {
        let mut pools: BTreeMap<&PoolId, Vec<(&MachineId, &Machine)>> = BTreeMap::new();
        for (id, m) in &self.machines {
            pools.entry(&m.pool).or_default().push((id, m));
        }
        pools
    }
}
