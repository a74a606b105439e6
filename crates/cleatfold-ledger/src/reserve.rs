//! The part of a controller's changes that is reserved for accepting jobs.

/// Who may use the next changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// Submissions that wait to be made durable.
    Acceptance,
    /// Claims, ends and cancellations of jobs.
    Jobs,
}

/// Who waits for changes, and whether the rate allows one now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Demand {
    /// The token bucket of all changes is not overdrawn.
    pub open: bool,
    /// Submissions wait.
    pub acceptance: bool,
    /// Changes of jobs are due.
    pub jobs: bool,
}

/// So many seconds of its share may be saved up while nobody submits.
const BURST_S: f64 = 1.0;
/// What it may save up at least, so that a small rate lets a whole change through.
const LEAST_BURST: f64 = 2.0;

/// A token bucket beside the one of all changes.
///
/// What submissions use while jobs wait for changes too is charged here; what they use while no job waits is lent
/// and free. While there is credit, submissions go before jobs, also while a large change of a job has overdrawn the
/// bucket of all changes: they wait for nobody's claims and ends as long as they need no more than their share. Without
/// credit they get what jobs leave. What is not used is not kept from jobs: a reserve that nobody asks for changes no
/// turn.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AcceptanceReserve {
    credit: f64,
}

impl AcceptanceReserve {
    /// `rate`: all changes a second of this controller; `share`: the reserved part of them, 0 to 1.
    pub fn refill(&mut self, rate: f64, share: f64, passed_s: f64) {
        let reserved = rate * share;
        let burst = (reserved * BURST_S).max(LEAST_BURST);
        self.credit = (self.credit + reserved * passed_s).min(burst);
    }

    /// Whose turn it is; none: nobody may write now.
    pub fn turn(&self, demand: Demand) -> Option<Turn> {
        match demand {
            Demand { acceptance: true, .. } if self.has_credit() => Some(Turn::Acceptance),
            Demand { open: true, jobs: true, .. } => Some(Turn::Jobs),
            Demand { open: true, acceptance: true, .. } => Some(Turn::Acceptance),
            _ => None,
        }
    }

    fn has_credit(&self) -> bool {
        self.credit >= 1.0
    }

    /// How many submissions may go in one transaction: never more than the credit while jobs wait for changes.
    pub fn batch(&self, demand: Demand, most: usize) -> usize {
        let contended = demand.jobs || !demand.open;
        match contended {
            true => most.min(self.credit.max(0.0) as usize).max(1),
            false => most.max(1),
        }
    }

    /// Submissions have used so many changes.
    pub fn charge(&mut self, demand: Demand, changes: usize) {
        if demand.jobs || !demand.open {
            self.credit -= changes as f64;
        }
    }
}
