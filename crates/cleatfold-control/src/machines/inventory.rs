//! Machines as their reports and the cloud's list tell of them.

use crate::machines::deleted::DeletedMachines;
use cleatfold_backfill::Resources;
use cleatfold_wire::cloud::{MachineState, MachineType};
use cleatfold_wire::worker::{HeldImage, TaskReport, TaskState};
use cleatfold_wire::{
    AgentEpoch, FencingToken, ImageId, JobId, MachineId, Ms, PoolId, Seq, TaskIx, TypeId,
};
use serde_json::value::RawValue;
use std::collections::{BTreeMap, VecDeque};

#[derive(Clone, Debug)]
pub(crate) struct LastHeartbeat {
    pub agent_epoch: AgentEpoch,
    pub seq: Seq,
    /// The highest token the worker had seen when it sent it.
    pub token: FencingToken,
    pub at: Ms,
    pub tasks: Vec<TaskReport>,
    /// The list of tasks as it came: the next report is compared with it before it is read.
    pub text: Box<RawValue>,
    /// It called for no command and told of nothing, while the machine's claims stood as this
    /// stamp says. A report that says the same then needs no second look.
    pub settled: Option<u64>,
    /// Of a worker that fetches from others: what it holds.
    pub images: Option<Vec<HeldImage>>,
}

#[derive(Clone, Debug)]
pub(crate) struct Machine {
    pub pool: PoolId,
    pub spot: bool,
    /// Where it takes direct orders.
    pub endpoint: Option<String>,
    pub listed: Option<MachineState>,
    pub listed_at: Ms,
    /// It has been in the cloud's list; one that is then missing from it is gone.
    pub was_listed: bool,
    /// When it was rented, by the list's age.
    pub born: Ms,
    pub heartbeat: Option<LastHeartbeat>,
    /// When a report last came that shows it alive: newer than all before, under the token that we have its pool
    /// under. A late copy shows neither.
    pub last_heartbeat: Option<Ms>,
    /// Whether it hears us.
    pub partition_detector: cleatfold_reachability::OneWayPartitionDetector,
    /// When we last answered a report of it with 200, and under which token.
    pub answered: Option<(Ms, FencingToken)>,
    /// When the cloud takes it away.
    pub notice: Option<Ms>,
    /// Images it holds, the most recently used last.
    pub images: VecDeque<(ImageId, f64)>,
    pub images_changed: bool,
    /// When tasks were first seen running.
    pub started: BTreeMap<(JobId, TaskIx), Ms>,
    /// Jobs that failed here.
    pub suspicion: cleatfold_fault_attribution::MachineFailures,
    /// What works elsewhere fails here.
    pub faulty: bool,
    /// Being emptied to be returned.
    pub draining: bool,
    pub deleting: bool,
    pub idle_since: Option<Ms>,
    /// Its lease has provably run out since its last report.
    pub expired: bool,
    /// First known of.
    pub known: Ms,
}

impl Machine {
    pub(crate) fn new(pool: PoolId, spot: bool, now: Ms) -> Self {
        Self {
            pool,
            spot,
            endpoint: None,
            listed: None,
            listed_at: now,
            was_listed: false,
            born: now,
            heartbeat: None,
            last_heartbeat: None,
            partition_detector: Default::default(),
            answered: None,
            notice: None,
            images: VecDeque::new(),
            images_changed: false,
            started: BTreeMap::new(),
            suspicion: Default::default(),
            faulty: false,
            draining: false,
            deleting: false,
            idle_since: None,
            expired: false,
            known: now,
        }
    }

    /// May be given new tasks, as far as its own state goes.
    pub(crate) fn takes_work(&self) -> bool {
        !self.draining
            && !self.deleting
            && self.notice.is_none()
            && !self.partition_detector.is_partitioned()
    }

    /// By its last report.
    pub(crate) fn runs_something(&self) -> bool {
        let listed = self.heartbeat.iter().flat_map(|r| &r.tasks);
        listed.into_iter().any(|t| t.state != TaskState::Exited)
    }

    pub(crate) fn last_heartbeat(&self) -> Option<Ms> {
        self.last_heartbeat
    }

    /// Notes the use of an image and forgets the least recently used beyond the cache.
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

#[derive(Debug, Default)]
pub(crate) struct Inventory {
    pub types: BTreeMap<TypeId, MachineType>,
    pub machines: BTreeMap<MachineId, Machine>,
    /// When the cloud's list last came whole.
    pub listed_at: Ms,
    /// Late news about these is ignored.
    pub deleted: DeletedMachines,
}

impl Inventory {
    pub(crate) fn total(&self, machine_type: &TypeId) -> Resources {
        self.types
            .get(machine_type)
            .map(|t| Resources::new(t.cpus, t.gpus, t.memory_gb))
            .unwrap_or_default()
    }

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

    pub(crate) fn note_deleted(&mut self, id: &MachineId) {
        self.machines.remove(id);
        self.deleted.insert(id);
    }

    /// Machines per pool.
    pub(crate) fn sizes(&self) -> BTreeMap<&PoolId, usize> {
        let mut sizes = BTreeMap::new();
        for m in self.machines.values() {
            *sizes.entry(&m.pool).or_default() += 1;
        }
        sizes
    }

    /// The machines of each pool, found in one pass: a pass per pool is dear in a large deployment.
    pub(crate) fn by_pool(&self) -> BTreeMap<&PoolId, Vec<(&MachineId, &Machine)>> {
        let mut pools: BTreeMap<&PoolId, Vec<(&MachineId, &Machine)>> = BTreeMap::new();
        for (id, m) in &self.machines {
            pools.entry(&m.pool).or_default().push((id, m));
        }
        pools
    }
}
