//! Priority: which pools' promises are believed, decisions that outlive who made them. `cleatfold_priority` decides.

use crate::controller::{Controller, Pending};
use crate::effects::{CallPriority, StoreReply, StoreRequest};
use crate::scheduling::priority_state::UncommittedPreemption;
use crate::scheduling::queue::Queued;
use crate::store::cache::Versioned;
use crate::store::records::{pool_key, preemption_key};
use cleatfold_priority::{
    is_owner_live, BeneficiaryState, ListenerHealth, OwnerStatus, PreemptionPlan, StartBarrier,
};
use cleatfold_wire::job::Urgency;
use cleatfold_wire::store::Txn;
use cleatfold_wire::{FencingToken, JobId, MachineId, PoolId, Version};
use std::collections::BTreeSet;

/// So many jobs that have waited for long are planned for by every pool, the first of the queue.
const MOST_LATE: usize = 64;
/// Who was silent for longer than this itself has heard nobody.
const HELD_UP_MS: u64 = 1_000;

impl Controller {
    /// At each tick, once we serve.
    pub(crate) fn maintain_priority(&mut self) {
        if self.now.since(self.priority.last_checked) > HELD_UP_MS {
            self.priority.listening = self.now;
        }
        self.priority.last_checked = self.now;
        // Somebody has fallen silent: what waits for his pools is planned for now.
        let fallen = self.fallen();
        if fallen != self.priority.fallen {
            tracing::debug!(pools = ?fallen, "pools without a planner");
            self.priority.fallen = fallen;
            self.replan_needed = true;
        }
        let closed = |g: &StartBarrier| g.lowest_startable_urgency() < Urgency::BestEffort;
        if self.priority.start_barriers.values().any(closed) {
            self.session.sync_wanted = true;
            self.sync_if_due();
        }
    }

    /// Before each planning: what we know of the others, of pools that have just come, and of what waits.
    pub(crate) fn refresh_priority(&mut self, queue: &[Queued]) {
        self.priority.fallen = self.fallen();
        let (read, assigned) = (self.session.last_read, self.priority.assigned);
        let gate = |acquired_at| StartBarrier {
            acquired_at,
            last_read_started_at: read,
            last_assignment_at: assigned,
        };
        self.priority.start_barriers =
            self.pools.owned.iter().map(|(p, o)| (p.clone(), gate(o.since))).collect();
        self.refresh_waiting(queue);
        self.adopt_preemptions();
    }

    /// Which rooms stand in our pools; those that a former owner was making we go on making.
    fn adopt_preemptions(&mut self) {
        let owned: Vec<(PoolId, FencingToken)> =
            self.pools.owned.iter().map(|(p, o)| (p.clone(), o.token)).collect();
        self.priority.preemptions.clear();
        self.priority.adopted.retain(|p, _| self.pools.owned.contains_key(p));
        for (pool, token) in owned {
            let Some(record) = self.cache.preemptions.get(&pool) else { continue };
            let standing = record.value.plans.iter().filter(|r| self.is_preemption_active(r));
            let urgency =
                |r: &PreemptionPlan| self.cache.jobs.get(&r.job).map(|l| l.record.spec.urgency);
            let preemptions: Vec<(Urgency, PreemptionPlan)> =
                standing.filter_map(|r| Some((urgency(r)?, r.clone()))).collect();
            if self.priority.adopted.insert(pool.clone(), token) != Some(token) {
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

    fn is_preemption_active(&self, preemption: &PreemptionPlan) -> bool {
        let waits = self.cache.jobs.get(&preemption.job).filter(|l| !l.record.aborted);
        preemption.is_active(BeneficiaryState {
            unclaimed_tasks: waits.map_or(0, |l| l.unclaimed()),
            claimed_on_machine: self.claims_on(&preemption.machine, &preemption.job),
            wall_ms: self.wall_ms,
        })
    }

    /// How many tasks of a job have a place on a machine.
    pub(crate) fn claims_on(&self, machine: &MachineId, job: &JobId) -> u32 {
        let on = self.cache.claims.get(machine);
        on.map_or(0, |c| c.keys().filter(|t| t.0 == *job).count() as u32)
    }

    /// How long room is kept beyond the time that making it takes: for as long as it may take until somebody
    /// else has the pool and its workers.
    pub(crate) fn preemption_hold_ms(&self) -> u64 {
        self.cfg.controller_lease_ms + 3 * self.cfg.heartbeat_interval_ms
    }

    /// Tasks that have a place on its way in a pool, as we remember or as is written.
    pub(crate) fn coming(&self, job: &JobId, pool: &PoolId) -> u32 {
        let preemptions = self.priority.preemptions.get(pool).into_iter().flatten();
        let written: u32 = preemptions.filter(|r| r.1.job == *job).map(|r| r.1.tasks).sum();
        written.max(self.evictions.coming(job, pool))
    }

    /// Writes down the rooms of a planning, all in one change, under the pool's token; who leaves is told
    /// once that is durable.
    pub(crate) fn write_preemptions(&mut self, pool: &PoolId, token: FencingToken) {
        let preemptions = std::mem::take(&mut self.priority.new_preemptions);
        if preemptions.is_empty() || self.priority.writing.contains(pool) {
            return;
        }
        let Versioned { version, value: known } =
            self.cache.preemptions.get(pool).cloned().unwrap_or_default();
        let record = known.with_plans(preemptions.clone(), |r| self.is_preemption_active(r));
        let mut txn = Txn::default();
        txn.guard(pool_key(pool), Version(token.0));
        txn.guard(preemption_key(pool), version);
        txn.put(preemption_key(pool), &record, None);
        self.priority.writing.insert(pool.clone());
        let uncommitted = UncommittedPreemption { pool: pool.clone(), token, record, preemptions };
        self.store(
            CallPriority::Claim,
            StoreRequest::Txn(txn),
            Pending::Preemption(Box::new(uncommitted)),
        );
    }

    /// Not written, or not known to be: nobody is told to leave. What stands is read, and gone on with.
    pub(crate) fn on_preemption_written(
        &mut self,
        uncommitted: UncommittedPreemption,
        reply: StoreReply,
    ) {
        self.priority.writing.remove(&uncommitted.pool);
        self.replan_needed = true;
        let StoreReply::Committed(version) = reply else {
            if matches!(reply, StoreReply::Unknown) {
                // It may stand: then it is ours to finish.
                self.priority.adopted.remove(&uncommitted.pool);
            }
            self.session.sync_wanted = true;
            return;
        };
        let key = preemption_key(&uncommitted.pool);
        if let Ok(value) = serde_json::to_string(&uncommitted.record) {
            self.cache.set(&key, &value, version);
        }
        if self.my_token(&uncommitted.pool) == Some(uncommitted.token) {
            for preemption in uncommitted.preemptions {
                self.evict(uncommitted.token, preemption);
            }
        }
    }

    fn refresh_waiting(&mut self, queue: &[Queued]) {
        let (now, priority) = (self.now, &mut self.priority);
        let urgent = queue.iter().filter(|q| q.urgency < Urgency::BestEffort && !q.growth);
        let before = std::mem::take(&mut priority.waits);
        priority.waits =
            urgent.map(|q| (q.job.clone(), before.get(&q.job).copied().unwrap_or(now))).collect();
        let late_ms = self.cfg.heartbeat_interval_ms / 2;
        let late = queue.iter().filter(|q| {
            let since = priority.waits.get(&q.job).filter(|_| !q.growth);
            since.is_some_and(|at| now.since(*at) >= late_ms)
        });
        priority.late = late.take(MOST_LATE).map(|q| q.job.clone()).collect();
    }

    fn fallen(&self) -> BTreeSet<PoolId> {
        let listener_health = self.listener_health();
        let pools = self.cache.pools.keys();
        pools.filter(|p| !self.lives_by(p, listener_health)).cloned().collect()
    }

    fn listener_health(&self) -> ListenerHealth {
        ListenerHealth {
            listening_ms: self.now.since(self.priority.listening),
            receives_from_any_peer: self.reachability.view.peers.receives_from_any_peer(
                self.now,
                ListenerHealth::max_silence_ms(self.backpressure),
            ),
            backpressure: self.backpressure,
        }
    }

    /// Whether somebody plans for the pool now.
    pub(crate) fn lives(&self, pool: &PoolId) -> bool {
        self.lives_by(pool, self.listener_health())
    }

    fn lives_by(&self, pool: &PoolId, listener_health: ListenerHealth) -> bool {
        if self.my_token(pool).is_some() {
            return true;
        }
        let Some(holding) = self.cache.pools.get(pool) else { return false };
        let (controller, now) = (&holding.owner, self.now);
        let peers = &self.reachability.view.peers;
        let known = self.cache.controllers.get(controller);
        let owner = OwnerStatus {
            lease_valid: known.is_some_and(|n| n.value.incarnation == holding.incarnation)
                && *controller != self.cfg.me,
            last_message_age_ms: peers.last_message(controller).map(|at| now.since(at)),
            store_read_age_ms: peers.contact(controller).map(|at| now.since(at)),
            lost_workers: peers.of_zone(controller, &pool.zone, now).is_some_and(|h| h.lost),
        };
        // One that was told us over the mesh, and not read yet, is its teller's.
        self.pools.hinted.contains_key(pool) || is_owner_live(owner, listener_health)
    }
}
