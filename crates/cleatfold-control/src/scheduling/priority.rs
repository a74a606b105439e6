//! Priority across controllers: which pools have a live owner, which urgencies may start in a pool
//! after a change of owner, and preemptions that survive their controller. The rules are in
//! `cleatfold_priority`.

use crate::controller::{Controller, Pending};
use crate::effects::{CallPriority, StoreReply, StoreRequest};
use crate::scheduling::priority_state::UncommittedPreemption;
use crate::scheduling::queue::QueuedTasks;
use crate::store::cache::Versioned;
use crate::store::records::{pool_key, preemption_key};
use cleatfold_priority::{
    is_owner_live, BeneficiaryState, ListenerHealth, OwnerStatus, PreemptionPlan, StartBarrier,
};
use cleatfold_wire::job::Urgency;
use cleatfold_wire::store::Txn;
use cleatfold_wire::{FencingToken, JobId, MachineId, PoolId, Version};
use std::collections::BTreeSet;

/// At most this many jobs that have waited for long, the first in the queue, are planned for by
/// every pool.
const MAX_OVERDUE_JOBS: usize = 64;
/// A longer gap between two checks means that this controller was stalled and received nothing
/// meanwhile, in milliseconds.
const STALL_MS: u64 = 1_000;

impl Controller {
    /// Updates which pools have a live owner, and requests a sync while a start barrier is up.
    /// Called on every tick once this controller is serving.
    pub(crate) fn maintain_priority(&mut self) {
        if self.now.since(self.priority.last_checked) > STALL_MS {
            self.priority.listening_since = self.now;
        }
        self.priority.last_checked = self.now;
        // A change of live owners changes which jobs this controller's pools have to plan for.
        let orphaned = self.orphaned_pools();
        if orphaned != self.priority.orphaned_pools {
            tracing::debug!(pools = ?orphaned, "pools without a live owner");
            self.priority.orphaned_pools = orphaned;
            self.replan_needed = true;
        }
        let is_closed =
            |barrier: &StartBarrier| barrier.lowest_startable_urgency() < Urgency::BestEffort;
        if self.priority.start_barriers.values().any(is_closed) {
            self.session.sync_wanted = true;
            self.sync_if_due();
        }
    }

    /// Updates the inputs of a planning pass: live owners, start barriers of newly acquired pools,
    /// and how long jobs have waited.
    pub(crate) fn refresh_priority(&mut self, queue: &[QueuedTasks]) {
        self.priority.orphaned_pools = self.orphaned_pools();
        let (read, assigned) = (self.session.last_read, self.priority.last_assignment);
        let barrier = |acquired_at| StartBarrier {
            acquired_at,
            last_read_started_at: read,
            last_assignment_at: assigned,
        };
        self.priority.start_barriers =
            self.pools.owned.iter().map(|(p, o)| (p.clone(), barrier(o.acquired_at))).collect();
        self.refresh_waiting(queue);
        self.adopt_preemptions();
    }

    /// Loads the active preemptions of the owned pools, and continues those that a former owner
    /// began.
    fn adopt_preemptions(&mut self) {
        let owned: Vec<(PoolId, FencingToken)> =
            self.pools.owned.iter().map(|(p, o)| (p.clone(), o.token)).collect();
        self.priority.preemptions.clear();
        self.priority.adopted_tokens.retain(|p, _| self.pools.owned.contains_key(p));
        for (pool, token) in owned {
            let Some(record) = self.cache.preemptions.get(&pool) else { continue };
            let active = record.value.plans.iter().filter(|r| self.is_preemption_active(r));
            let job_urgency =
                |r: &PreemptionPlan| self.cache.jobs.get(&r.job).map(|l| l.record.spec.urgency);
            let preemptions: Vec<(Urgency, PreemptionPlan)> =
                active.filter_map(|r| Some((job_urgency(r)?, r.clone()))).collect();
            if self.priority.adopted_tokens.insert(pool.clone(), token) != Some(token) {
                for (_, preemption) in &preemptions {
                    tracing::info!(%pool, job = %preemption.job, machine = %preemption.machine, "continuing preemption of a former owner");
                    self.evict(token, preemption.clone());
                }
            }
            if !preemptions.is_empty() {
                self.priority.preemptions.insert(pool, preemptions);
            }
        }
    }

    /// Whether the job still waits for the freed resources and the plan has not expired.
    fn is_preemption_active(&self, preemption: &PreemptionPlan) -> bool {
        let waiting_job = self.cache.jobs.get(&preemption.job).filter(|l| !l.record.aborted);
        preemption.is_active(BeneficiaryState {
            unclaimed_tasks: waiting_job.map_or(0, |l| l.unclaimed()),
            claimed_on_machine: self.count_claims_on(&preemption.machine, &preemption.job),
            wall_ms: self.wall_ms,
        })
    }

    /// How many tasks of a job are claimed on a machine.
    pub(crate) fn count_claims_on(&self, machine: &MachineId, job: &JobId) -> u32 {
        let claims = self.cache.claims.get(machine);
        claims.map_or(0, |c| c.keys().filter(|t| t.0 == *job).count() as u32)
    }

    /// How long freed resources are reserved beyond the expected time of the evictions: as long as
    /// a failover to another owner of the pool and its workers may take.
    pub(crate) fn preemption_hold_ms(&self) -> u64 {
        self.cfg.controller_lease_ms + 3 * self.cfg.heartbeat_interval_ms
    }

    /// How many tasks of a job have a slot being freed in a pool: the larger of what is remembered
    /// locally and what the pool's preemption record says.
    pub(crate) fn slots_being_freed(&self, job: &JobId, pool: &PoolId) -> u32 {
        let preemptions = self.priority.preemptions.get(pool).into_iter().flatten();
        let written: u32 = preemptions.filter(|r| r.1.job == *job).map(|r| r.1.tasks).sum();
        written.max(self.evictions.expected_slots(job, pool))
    }

    /// Writes the preemptions of a planning pass in one transaction guarded by the pool's fencing
    /// token. The victims are told to stop only once it is durable.
    pub(crate) fn write_preemptions(&mut self, pool: &PoolId, token: FencingToken) {
        let preemptions = std::mem::take(&mut self.priority.unwritten_preemptions);
        if preemptions.is_empty() || self.priority.writes_in_flight.contains(pool) {
            return;
        }
        let Versioned { version, value: known } =
            self.cache.preemptions.get(pool).cloned().unwrap_or_default();
        let record = known.with_plans(preemptions.clone(), |r| self.is_preemption_active(r));
        let mut txn = Txn::default();
        txn.guard(pool_key(pool), Version(token.0));
        txn.guard(preemption_key(pool), version);
        txn.put(preemption_key(pool), &record, None);
        self.priority.writes_in_flight.insert(pool.clone());
        let uncommitted = UncommittedPreemption { pool: pool.clone(), token, record, preemptions };
        self.call_store(
            CallPriority::Claim,
            StoreRequest::Txn(txn),
            Pending::Preemption(Box::new(uncommitted)),
        );
    }

    /// Carries out the preemptions whose record was written. If the write failed or its outcome is
    /// unknown, no victim is stopped; the next sync shows what is stored, and that is continued.
    pub(crate) fn on_preemption_written(
        &mut self,
        uncommitted: UncommittedPreemption,
        reply: StoreReply,
    ) {
        self.priority.writes_in_flight.remove(&uncommitted.pool);
        self.replan_needed = true;
        let StoreReply::Committed(version) = reply else {
            if matches!(reply, StoreReply::Unknown) {
                // The write may have succeeded: then the stored preemptions have to be carried out.
                self.priority.adopted_tokens.remove(&uncommitted.pool);
            }
            self.session.sync_wanted = true;
            return;
        };
        let key = preemption_key(&uncommitted.pool);
        if let Ok(value) = serde_json::to_string(&uncommitted.record) {
            self.cache.set(&key, &value, version);
        }
        if self.owned_pool_token(&uncommitted.pool) == Some(uncommitted.token) {
            for preemption in uncommitted.preemptions {
                self.evict(uncommitted.token, preemption);
            }
        }
    }

    /// Updates since when jobs above best effort have waited, and which of them are overdue.
    fn refresh_waiting(&mut self, queue: &[QueuedTasks]) {
        let (now, priority) = (self.now, &mut self.priority);
        let urgent = queue.iter().filter(|q| q.urgency < Urgency::BestEffort && !q.is_growth);
        let previous = std::mem::take(&mut priority.waiting_since);
        priority.waiting_since =
            urgent.map(|q| (q.job.clone(), previous.get(&q.job).copied().unwrap_or(now))).collect();
        let overdue_ms = self.cfg.heartbeat_interval_ms / 2;
        let overdue = queue.iter().filter(|q| {
            let since = priority.waiting_since.get(&q.job).filter(|_| !q.is_growth);
            since.is_some_and(|at| now.since(*at) >= overdue_ms)
        });
        priority.overdue_jobs = overdue.take(MAX_OVERDUE_JOBS).map(|q| q.job.clone()).collect();
    }

    /// The pools without a live owner.
    fn orphaned_pools(&self) -> BTreeSet<PoolId> {
        let listener_health = self.listener_health();
        let pools = self.cache.pools.keys();
        pools.filter(|p| !self.is_owner_live(p, listener_health)).cloned().collect()
    }

    /// Whether this controller's own reception is good enough to judge others by their silence.
    fn listener_health(&self) -> ListenerHealth {
        ListenerHealth {
            listening_ms: self.now.since(self.priority.listening_since),
            receives_from_any_peer: self.reachability.view.peers.receives_from_any_peer(
                self.now,
                ListenerHealth::max_silence_ms(self.backpressure),
            ),
            backpressure: self.backpressure,
        }
    }

    /// Whether the pool has an owner that seems to be planning for it now. A hint only: an owner
    /// may be judged live by one controller and not by another.
    pub(crate) fn has_live_owner(&self, pool: &PoolId) -> bool {
        self.is_owner_live(pool, self.listener_health())
    }

    /// As [`Self::has_live_owner`], with the health of this controller's reception given.
    fn is_owner_live(&self, pool: &PoolId, listener_health: ListenerHealth) -> bool {
        if self.owned_pool_token(pool).is_some() {
            return true;
        }
        let Some(ownership) = self.cache.pools.get(pool) else { return false };
        let (owner_id, now) = (&ownership.owner, self.now);
        let peers = &self.reachability.view.peers;
        let known = self.cache.controllers.get(owner_id);
        let owner = OwnerStatus {
            lease_valid: known.is_some_and(|n| n.value.incarnation == ownership.incarnation)
                && *owner_id != self.cfg.controller_id,
            last_message_age_ms: peers.last_message(owner_id).map(|at| now.since(at)),
            store_read_age_ms: peers.last_store_read(owner_id).map(|at| now.since(at)),
            lost_workers: peers.zone_contact(owner_id, &pool.zone, now).is_some_and(|h| h.lost),
        };
        // A pool announced over the mesh under a token that is not read yet belongs to the sender.
        self.pools.superseded_by.contains_key(pool) || is_owner_live(owner, listener_health)
    }
}
