//! What tests ask of the region's state.

use super::{controller_id, Attempt, BTreeMap, BTreeSet, MachineId, PoolId, TaskId, World};
use cleatfold_control::records::{self, HolderRecord, JobRecord, Key};

impl World {
    /// Which controller holds the pool.
    pub fn holder(&self, pool: &PoolId) -> Option<usize> {
        let item = self.store.get(&records::pool_key(pool))?;
        let record: HolderRecord = serde_json::from_str(item.value.get()).ok()?;
        (0..self.controllers.len()).find(|i| controller_id(*i) == record.owner)
    }

    pub fn pool_of(&self, machine: &MachineId) -> Option<PoolId> {
        let w = self.workers.get(machine)?;
        Some(PoolId { machine_type: w.machine_type.clone(), zone: w.zone.clone() })
    }

    /// Who holds each pool that has workers, with their number.
    pub fn holders(&self) -> BTreeMap<PoolId, (usize, usize)> {
        let mut pools: BTreeMap<PoolId, usize> = BTreeMap::new();
        for pool in self.workers.keys().filter_map(|id| self.pool_of(id)) {
            *pools.entry(pool).or_default() += 1;
        }
        pools.into_iter().filter_map(|(p, n)| Some((p.clone(), (self.holder(&p)?, n)))).collect()
    }

    /// A region's holder of most workers.
    pub fn most(&self) -> Option<usize> {
        let mut held: BTreeMap<usize, usize> = BTreeMap::new();
        self.holders()
            .values()
            .for_each(|(controller, n)| *held.entry(*controller).or_default() += n);
        held.into_iter().max_by_key(|h| h.1).map(|h| h.0)
    }

    /// The claims in the jobs' own records, by machine.
    pub fn claims(&self) -> BTreeMap<MachineId, BTreeSet<(TaskId, Attempt)>> {
        let mut claims: BTreeMap<MachineId, BTreeSet<(TaskId, Attempt)>> = BTreeMap::new();
        let mut from: Option<String> = None;
        loop {
            let page = self.store.list("cf/j/", from.as_deref(), 500);
            for item in &page.items {
                let Some(Key::Job(job)) = records::parse_key(&item.key) else { continue };
                let record: JobRecord = serde_json::from_str(item.value.get()).expect("a job");
                for group in record.table.claims {
                    let tasks = group
                        .tasks
                        .iter()
                        .map(|(ix, attempt)| (TaskId { job: job.clone(), ix: *ix }, *attempt));
                    claims.entry(group.machine.clone()).or_default().extend(tasks);
                }
            }
            match page.items.last() {
                Some(last) if page.more => from = Some(last.key.clone()),
                _ => return claims,
            }
        }
    }
}
