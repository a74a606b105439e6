//! Inversions: starts of a lower urgency while something of a higher one, that would have fitted there, waited.

use cleatfold_backfill::Resources;
use cleatfold_wire::job::Urgency;
use cleatfold_wire::{JobId, Ms, TypeId, ZoneId};
use std::collections::BTreeSet;

/// A task that is to start, or has started, on a machine.
#[derive(Clone, Debug)]
pub struct Start {
    /// The job.
    pub job: JobId,
    /// Its urgency.
    pub urgency: Urgency,
    /// The machine's type.
    pub machine_type: TypeId,
    /// The machine's zone.
    pub zone: ZoneId,
    /// The machine may be taken away.
    pub spot: bool,
    /// What was free there before it.
    pub free: Resources,
}

/// A job of which tasks wait for a place.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// The job.
    pub job: JobId,
    /// Its urgency.
    pub urgency: Urgency,
    /// Since when: accepted, or a place of it ended.
    pub since: Ms,
    /// What one task takes.
    pub each: Resources,
    /// The machine types it may run on; none: any.
    pub types: Option<Vec<TypeId>>,
    /// The only zone it may run in.
    pub zone: Option<ZoneId>,
    /// Zones in which it may have no more.
    pub barred: BTreeSet<ZoneId>,
    /// It may run on spot machines.
    pub spot: bool,
    /// Its team's limit holds one more.
    pub within_limit: bool,
    /// Its tasks start together or not at all: that one of them would fit says nothing.
    pub gang: bool,
}

/// Whether the start went before the waiting one out of turn. A report interval passes before anything known
/// reaches a worker.
pub fn inverts(start: &Start, waiting: &Waiting, now: Ms, heartbeat_interval_ms: u64) -> bool {
    waiting.job != start.job
        && waiting.urgency < start.urgency
        && !waiting.gang
        && waiting.within_limit
        && now.since(waiting.since) > heartbeat_interval_ms
        && (waiting.spot || !start.spot)
        && waiting.zone.as_ref().is_none_or(|z| *z == start.zone)
        && !waiting.barred.contains(&start.zone)
        && waiting.types.as_ref().is_none_or(|t| t.contains(&start.machine_type))
        && start.free.fits(&waiting.each, 1) > 0
}

/// Counts them over a day.
#[derive(Clone, Debug, Default)]
pub struct Inversions {
    /// All starts.
    pub starts: u32,
    /// Those before something more urgent that would have fitted.
    pub inverted: u32,
    /// The first few, to be looked at.
    pub shown: Vec<(Ms, Start, Waiting)>,
}

impl Inversions {
    /// Counts a start while these jobs wait.
    pub fn started<'a>(
        &mut self,
        start: &Start,
        waiting: impl IntoIterator<Item = &'a Waiting>,
        now: Ms,
        heartbeat_interval_ms: u64,
    ) {
        self.starts += 1;
        let Some(first) =
            waiting.into_iter().find(|w| inverts(start, w, now, heartbeat_interval_ms))
        else {
            return;
        };
        self.inverted += 1;
        if self.shown.len() < 8 {
            self.shown.push((now, start.clone(), first.clone()));
        }
    }
}
