//! Who is served, by class, team and size.

use super::{BTreeMap, JobSpec, World};

/// Jobs have to begin so soon.
const BEGIN_MS: u64 = 240_000;

/// Of some jobs: how many were accepted, began in time, and ended.
#[derive(Clone, Debug, PartialEq)]
pub struct SizeRow {
    /// "class x" or "team x".
    pub group: String,
    /// "all", "most tasks" or "most work": the largest tenth, one at least.
    pub size: &'static str,
    pub jobs: usize,
    pub begun: usize,
    pub ended: usize,
}

impl SizeRow {
    pub fn begun_share(&self) -> f64 {
        self.begun as f64 / self.jobs.max(1) as f64
    }

    pub fn ended_share(&self) -> f64 {
        self.ended as f64 / self.jobs.max(1) as f64
    }
}

impl World {
    /// A row a group and size, of the jobs that nobody cancelled. A job that was accepted less
    /// than four minutes ago and has not begun is left out: nothing is known of it yet.
    pub fn sizes(&self) -> Vec<SizeRow> {
        let mut groups: BTreeMap<String, Vec<(&JobSpec, bool, bool)>> = BTreeMap::new();
        for (id, watch) in &self.jobs {
            let (Some(spec), Some(accepted)) = (&watch.spec, watch.accepted_at) else { continue };
            let young = watch.begun.is_none() && self.now.since(accepted) < BEGIN_MS;
            if watch.cancel_asked || young {
                continue;
            }
            let begun = watch.begun.is_some_and(|b| b.since(accepted) <= BEGIN_MS);
            let ended = self.store.get(&format!("ar/{id}")).is_some();
            for group in [format!("class {}", spec.class), format!("team {}", spec.team)] {
                groups.entry(group).or_default().push((spec, begun, ended));
            }
        }
        let tasks = |spec: &JobSpec| f64::from(spec.tasks);
        let work = |spec: &JobSpec| f64::from(spec.tasks) * spec.estimate_s * spec.cpus;
        let mut rows = Vec::new();
        for (group, mut jobs) in groups {
            let mut row = |size, of: &[(&JobSpec, bool, bool)]| {
                let begun = of.iter().filter(|j| j.1).count();
                let ended = of.iter().filter(|j| j.2).count();
                rows.push(SizeRow { group: group.clone(), size, jobs: of.len(), begun, ended });
            };
            let tenth = jobs.len().div_ceil(10);
            row("all", &jobs);
            jobs.sort_by(|a, b| tasks(b.0).total_cmp(&tasks(a.0)));
            row("most tasks", &jobs[..tenth]);
            jobs.sort_by(|a, b| work(b.0).total_cmp(&work(a.0)));
            row("most work", &jobs[..tenth]);
        }
        rows
    }
}
