//! The states: what the state service holds, what controllers have read and remember, what is on the
//! machines, what is on its way.

use cleatfold_control::records::TaskTable;
use cleatfold_wire::{Attempt, FencingToken, MachineId, PoolId, TaskIx};

pub(crate) const CONTROLLERS: usize = 2;
pub(crate) const MACHINES: usize = 2;
pub(crate) const TASKS: usize = 2;

/// What may be left out, one at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Guard {
    JobInClaims,
    PoolInClaims,
    PoolInReleases,
    /// Absence counts only once the worker has seen our token.
    SeenToken,
    /// The exit of a former owner's claim, too: else that owner, which may not know of it, can start the same
    /// attempt once more in the worker's next session.
    SeenForExits,
    /// Only a report newer than all that were read shows absence.
    Newest,
    /// A restarted controller does not own what its former life was assigned.
    Incarnation,
    /// What is being recorded as ended is not launched again.
    NotEnding,
    /// Only claims under the present token are launched.
    OwnToken,
    /// An exit isn't recorded while another attempt of the task is alive in the same report.
    ExitAlone,
    /// `reap` only for exits whose end is durable.
    DurableReap,
    /// A submission is guarded by the absence of the job's archive record.
    ArchiveAbsence,
    /// Nothing of a cancelled job is launched.
    NotCancelled,
    /// What runs of a cancelled job is stopped.
    Evictions,
    /// A controller that does not read stops answering workers in time.
    StaleReadLimit,
    /// A poll is answered by a reading sent after it came.
    FreshPolls,
    /// Direct commands stop tasks and never start one.
    DirectEvictionsOnly,
}

/// How far the search goes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bounds {
    pub name: &'static str,
    pub tasks: usize,
    pub machines: usize,
    pub tokens: u8,
    /// Restarts of the first controller, of the second one.
    pub restarts: [u8; CONTROLLERS],
    /// Sessions of each machine.
    pub sessions: u8,
    pub attempts: u8,
    /// Transactions that get no answer, or whose sender restarts.
    pub late: u8,
    /// Reports of which a copy is kept, to be read any number of times.
    pub copies: u8,
    /// Direct commands, each executed at any later step if token and session still match.
    pub held: u8,
    /// Tasks may fail; machines may be emptied.
    pub failures: bool,
    pub drains: bool,
    pub cancel: bool,
    /// Submissions; none: the job was accepted before.
    pub submissions: u8,
    pub polls: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) enum Task {
    Free { last: u8 },
    Claimed { machine: u8, token: u8, attempt: u8 },
    Done,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct Job {
    pub version: u8,
    pub aborted: bool,
    pub tasks: [Task; TASKS],
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Pool {
    pub owner: u8,
    pub life: u8,
    pub token: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) enum Ended {
    Done,
    Aborted,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Store {
    pub job: Option<Job>,
    /// Versions given to the job's key.
    pub versions: u8,
    pub archive: Option<Ended>,
    pub pool: Pool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct End {
    pub machine: u8,
    pub attempt: u8,
    pub done: bool,
    /// The token it holds under; none: a fact.
    pub fence: Option<u8>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) enum Outcome {
    Live(Job),
    Ended(Ended),
}

/// A transaction: its guards and what it writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct Tx {
    /// The job's version, 0: no such key; none: not guarded.
    pub job: Option<u8>,
    pub no_archive: bool,
    pub pool: Option<u8>,
    pub outcome: Outcome,
    pub submission: bool,
    /// A user waits for it to be told that the job is cancelled.
    pub withdrawal: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct StateCache {
    pub job: Option<Job>,
    pub pool: Pool,
}

/// What a controller remembers of a machine that it has answered under its present token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Received {
    pub token: u8,
    /// The newest report carried it.
    pub seen: bool,
    /// The machine's session at the last answer.
    pub agent_epoch: u8,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Controller {
    pub life: u8,
    pub cache: Option<StateCache>,
    pub tx: Option<Tx>,
    pub ends: [Option<End>; TASKS],
    pub abort: bool,
    /// It has not read for so long that it answers no worker.
    pub partitioned: bool,
    pub received: [Option<Received>; MACHINES],
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Run {
    Alive,
    Completed,
    Failed,
}

/// Task, attempt, state.
pub(crate) type Tasks = Vec<(u8, u8, Run)>;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Heartbeat {
    pub token: u8,
    pub tasks: Tasks,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Command {
    Launch(u8, u8),
    Kill(u8, u8),
    Reap(u8, u8),
}

/// A 200 on its way to its worker, which sends nothing while it waits.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Answer {
    pub token: u8,
    pub commands: Vec<Command>,
    /// The report was sent after the partitioned limit.
    pub after_limit: bool,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Machine {
    pub agent_epoch: u8,
    pub token: u8,
    pub tasks: Tasks,
    pub answer: Option<Answer>,
    /// Its lease was renewed by a report sent after the partitioned limit, or its session began then.
    pub renewed: bool,
}

/// A direct command that is on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct HeldCommand {
    pub sender: u8,
    pub machine: u8,
    pub token: u8,
    pub agent_epoch: u8,
    pub command: Command,
}

/// A report that may be read again, or for the first time, at any later step.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Copied {
    pub machine: u8,
    pub report: Heartbeat,
    /// Controllers that have read this one or a newer one of the machine.
    pub old_for: [bool; CONTROLLERS],
}

/// How far a cancellation is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) enum Phase {
    #[default]
    Before,
    Confirmation,
    /// `stale_read_limit_ms` after it was told.
    Limit,
    /// `cancel_s` after it was told.
    Bound,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) enum Confirmation {
    #[default]
    Nothing,
    Accepted,
    Done,
    Aborted,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct State {
    pub store: Store,
    pub controllers: [Controller; CONTROLLERS],
    pub machines: [Machine; MACHINES],
    /// Transactions that nobody waits for any more.
    pub late: Vec<Tx>,
    pub lates: u8,
    pub copy: Option<Copied>,
    pub copies: u8,
    pub held: Option<HeldCommand>,
    /// Direct commands that were sent.
    pub sent: u8,
    pub submitted: u8,
    pub confirmation: Confirmation,
    pub phase: Phase,
    /// Tasks that have truly completed.
    pub completed: [bool; TASKS],
    /// Of the job.
    pub tasks: u8,
    pub broken: Option<&'static str>,
}

// ---- the real table of claims ----

fn machine_id(m: u8) -> MachineId {
    MachineId::new(if m == 0 { "m0" } else { "m1" })
}

/// The record's tasks as the service's own table.
pub(crate) struct Claims {
    table: TaskTable,
    tasks: usize,
    pool: PoolId,
}

impl Claims {
    pub(crate) fn of(job: &Job, tasks: usize) -> Self {
        let mut table = TaskTable::default();
        let pool = PoolId { machine_type: "t".into(), zone: "z".into() };
        let mut claims = Self { table: TaskTable::default(), tasks, pool: pool.clone() };
        for (ix, task) in job.tasks.iter().enumerate().take(tasks) {
            let ix = TaskIx(ix as u32);
            match *task {
                Task::Free { last: 0 } => {}
                Task::Free { last } => table.attempts.push((ix, Attempt(last.into()))),
                Task::Claimed { machine, token, attempt } => {
                    if attempt > 1 {
                        table.attempts.push((ix, Attempt(u64::from(attempt) - 1)));
                    }
                    table.claim(&machine_id(machine), FencingToken(token.into()), &pool, ix);
                }
                Task::Done => {
                    let m = machine_id(0);
                    let attempt = table.claim(&m, FencingToken(0), &pool, ix);
                    assert!(table.end_claim(&m, ix, attempt, true));
                }
            }
        }
        claims.table = table;
        claims
    }

    pub(crate) fn end(&mut self, ix: usize, end: &End) -> bool {
        let attempt = Attempt(end.attempt.into());
        self.table.end_claim(&machine_id(end.machine), TaskIx(ix as u32), attempt, end.done)
    }

    pub(crate) fn free(&self) -> Vec<TaskIx> {
        self.table.claimable_tasks(0, self.tasks as u32)
    }

    pub(crate) fn claim(&mut self, machine: u8, token: u8, ix: TaskIx) -> u8 {
        let attempt =
            self.table.claim(&machine_id(machine), FencingToken(token.into()), &self.pool, ix);
        attempt.0 as u8
    }

    pub(crate) fn all_done(&self) -> bool {
        self.table.done_count() as usize == self.tasks
    }

    pub(crate) fn none_claimed(&self) -> bool {
        self.table.claims.is_empty()
    }

    pub(crate) fn tasks(&self) -> [Task; TASKS] {
        let mut tasks = [Task::Free { last: 0 }; TASKS];
        for (ix, last) in &self.table.attempts {
            tasks[ix.0 as usize] = Task::Free { last: last.0 as u8 };
        }
        for group in &self.table.claims {
            let machine = u8::from(group.machine == machine_id(1));
            for (ix, attempt) in &group.tasks {
                let (token, attempt) = (group.token.0 as u8, attempt.0 as u8);
                tasks[ix.0 as usize] = Task::Claimed { machine, token, attempt };
            }
        }
        for (ix, task) in tasks.iter_mut().enumerate().take(self.tasks) {
            if self.table.is_done(TaskIx(ix as u32)) {
                *task = Task::Done;
            }
        }
        tasks
    }
}
