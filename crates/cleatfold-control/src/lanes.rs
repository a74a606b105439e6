//! Lanes: which pools' promises are believed, decisions that outlive who made them. `cleatfold_priority` decides.

use crate::controller::{Controller, Pending};
use crate::effects::{Lane, StoreReply, StoreRequest};
use crate::queue::Queued;
use crate::records::{made_key, pool_key};
use crate::state::lanes::Making;
use cleatfold_priority::{lives, Ears, Gate, MadeRoom, Owner, Seen};
use cleatfold_wire::job::Urgency;
use cleatfold_wire::store::Txn;
use cleatfold_wire::*;
use std::collections::BTreeSet;

/// So many jobs that have waited for long are planned for by every pool, the first of the queue.
const MOST_LATE: usize = 64;
/// Who was silent for longer than this itself has heard nobody.
const HELD_UP_MS: u64 = 1_000;

impl Controller {
    /// At each tick, once we serve.
    pub(crate) fn keep_lanes(&mut self) {
        if self.now.since(self.lanes.looked) > HELD_UP_MS {
            self.lanes.listening = self.now;
        }
        self.lanes.looked = self.now;
        // Somebody has fallen silent: what waits for his pools is planned for now.
        let fallen = self.fallen();
        if fallen != self.lanes.fallen {
            tracing::debug!(pools = ?fallen, "nobody plans for");
            self.lanes.fallen = fallen;
            self.dirty = true;
        }
        let closed = |g: &Gate| g.lowest() < Urgency::BestEffort;
        if self.lanes.gates.values().any(closed) {
            self.want_sync = true;
            self.sync_if_due();
        }
    }

    /// Before each planning: what we know of the others, of pools that have just come, and of what waits.
    pub(crate) fn see_lanes(&mut self, queue: &[Queued]) {
        self.lanes.fallen = self.fallen();
        let (read, assigned) = (self.fresh, self.lanes.assigned);
        let gate = |taken| Gate { taken, read, assigned };
        self.lanes.gates = self.owned_since.iter().map(|(p, o)| (p.clone(), gate(o.1))).collect();
        self.see_waits(queue);
        self.see_rooms();
    }

    /// Which rooms stand in our pools; those that a former owner was making we go on making.
    fn see_rooms(&mut self) {
        let owned: Vec<(PoolId, FencingToken)> =
            self.owned_since.iter().map(|(p, o)| (p.clone(), o.0)).collect();
        self.lanes.rooms.clear();
        self.lanes.adopted.retain(|p, _| self.owned_since.contains_key(p));
        for (pool, token) in owned {
            let Some((_, record)) = self.cache.made.get(&pool) else { continue };
            let standing = record.rooms.iter().filter(|r| self.room_stands(r));
            let lane = |r: &MadeRoom| self.cache.jobs.get(&r.job).map(|l| l.record.spec.urgency);
            let rooms: Vec<(Urgency, MadeRoom)> =
                standing.filter_map(|r| Some((lane(r)?, r.clone()))).collect();
            if self.lanes.adopted.insert(pool.clone(), token) != Some(token) {
                for (_, room) in &rooms {
                    tracing::info!(%pool, job = %room.job, machine = %room.machine, "room goes on");
                    self.stop_all(token, room.clone());
                }
            }
            if !rooms.is_empty() {
                self.lanes.rooms.insert(pool, rooms);
            }
        }
    }

    fn room_stands(&self, room: &MadeRoom) -> bool {
        let waits = self.cache.jobs.get(&room.job).filter(|l| !l.record.aborted);
        room.stands(Seen {
            waits: waits.map_or(0, |l| l.unclaimed()),
            here: self.claims_on(&room.machine, &room.job),
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
    pub(crate) fn room_ms(&self) -> u64 {
        self.cfg.controller_lease_ms + 3 * self.cfg.report_ms
    }

    /// Tasks that have a place on its way in a pool, as we remember or as is written.
    pub(crate) fn coming(&self, job: &JobId, pool: &PoolId) -> u32 {
        let rooms = self.lanes.rooms.get(pool).into_iter().flatten();
        let written: u32 = rooms.filter(|r| r.1.job == *job).map(|r| r.1.tasks).sum();
        written.max(self.stops.coming(job, pool))
    }

    /// Writes down the rooms of a planning, all in one change, under the pool's token; who leaves is told
    /// once that is durable.
    pub(crate) fn write_rooms(&mut self, pool: &PoolId, token: FencingToken) {
        let rooms = std::mem::take(&mut self.lanes.new_rooms);
        if rooms.is_empty() || self.lanes.writing.contains(pool) {
            return;
        }
        let (version, known) = self.cache.made.get(pool).cloned().unwrap_or_default();
        let record = known.with(rooms.clone(), |r| self.room_stands(r));
        let mut txn = Txn::default();
        txn.guard(pool_key(pool), Version(token.0));
        txn.guard(made_key(pool), version);
        txn.put(made_key(pool), &record, None);
        self.lanes.writing.insert(pool.clone());
        let making = Making { pool: pool.clone(), token, record, rooms };
        self.store(Lane::Claim, StoreRequest::Txn(txn), Pending::Made(Box::new(making)));
    }

    /// Not written, or not known to be: nobody is told to leave. What stands is read, and gone on with.
    pub(crate) fn on_made(&mut self, making: Making, reply: StoreReply) {
        self.lanes.writing.remove(&making.pool);
        self.dirty = true;
        let StoreReply::Committed(version) = reply else {
            if matches!(reply, StoreReply::Unknown) {
                // It may stand: then it is ours to finish.
                self.lanes.adopted.remove(&making.pool);
            }
            self.want_sync = true;
            return;
        };
        let key = made_key(&making.pool);
        if let Ok(value) = serde_json::to_string(&making.record) {
            self.cache.set(&key, &value, version);
        }
        if self.my_token(&making.pool) == Some(making.token) {
            for room in making.rooms {
                self.stop_all(making.token, room);
            }
        }
    }

    fn see_waits(&mut self, queue: &[Queued]) {
        let (now, lanes) = (self.now, &mut self.lanes);
        let urgent = queue.iter().filter(|q| q.lane < Urgency::BestEffort && !q.growth);
        let before = std::mem::take(&mut lanes.waits);
        lanes.waits =
            urgent.map(|q| (q.job.clone(), before.get(&q.job).copied().unwrap_or(now))).collect();
        let late_ms = self.cfg.report_ms / 2;
        let late = queue.iter().filter(|q| {
            let since = lanes.waits.get(&q.job).filter(|_| !q.growth);
            since.is_some_and(|at| now.since(*at) >= late_ms)
        });
        lanes.late = late.take(MOST_LATE).map(|q| q.job.clone()).collect();
    }

    fn fallen(&self) -> BTreeSet<PoolId> {
        let ears = self.ears();
        let pools = self.cache.pools.keys();
        pools.filter(|p| !self.lives_by(p, ears)).cloned().collect()
    }

    fn ears(&self) -> Ears {
        Ears {
            listening_ms: self.now.since(self.lanes.listening),
            hear_anyone: self.reach.view.peers.hear_anyone(self.now, Ears::heard_ms(self.stretch)),
            stretch: self.stretch,
        }
    }

    /// Whether somebody plans for the pool now.
    pub(crate) fn lives(&self, pool: &PoolId) -> bool {
        self.lives_by(pool, self.ears())
    }

    fn lives_by(&self, pool: &PoolId, ears: Ears) -> bool {
        if self.my_token(pool).is_some() {
            return true;
        }
        let Some(holding) = self.cache.pools.get(pool) else { return false };
        let (controller, now) = (&holding.owner, self.now);
        let peers = &self.reach.view.peers;
        let known = self.cache.controllers.get(controller);
        let owner = Owner {
            stands: known.is_some_and(|n| n.0 == holding.incarnation) && *controller != self.cfg.me,
            heard_ms: peers.heard(controller).map(|at| now.since(at)),
            read_ms: peers.contact(controller).map(|at| now.since(at)),
            lost_workers: peers.of_zone(controller, &pool.zone, now).is_some_and(|h| h.lost),
        };
        // One that was told us over the mesh, and not read yet, is its teller's.
        self.hinted.contains_key(pool) || lives(owner, ears)
    }
}
