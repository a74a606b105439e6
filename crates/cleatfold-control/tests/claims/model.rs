//! The states of the model: the contents of the state service, the caches and memory of the controllers, the
//! tasks on the machines, and the messages in transit.

use cleatfold_control::records::TaskTable;
use cleatfold_wire::{Attempt, FencingToken, MachineId, PoolId, TaskIx};

pub(crate) const CONTROLLERS: usize = 2;
pub(crate) const MACHINES: usize = 2;
pub(crate) const TASKS: usize = 2;

/// Safety checks of the protocol; a search may remove one at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Guard {
    JobVersionInClaims,
    PoolTokenInClaims,
    PoolTokenInReleases,
    /// A task's absence from a report counts only once the worker has seen the owner's token.
    SeenToken,
    /// The same holds for the exit of a claim made by a former owner: otherwise that owner, which may not have
    /// read the exit, can start the same attempt again in the worker's next session.
    SeenTokenForExits,
    /// Only a report newer than all those read before shows absence.
    NewestReport,
    /// A restarted controller does not own the pools assigned to its previous incarnation.
    Incarnation,
    /// An attempt whose end is being recorded is not launched again.
    NotBeingEnded,
    /// Only claims under the current token are launched.
    OwnToken,
    /// An exit isn't recorded while the same report lists another attempt of the task as running.
    NoOtherAttemptRunning,
    /// `reap` is sent only for exits whose end is durable.
    DurableReap,
    /// A submission is guarded by the absence of the job's archive record.
    ArchiveAbsence,
    /// Nothing of a cancelled job is launched.
    NotCancelled,
    /// Running tasks of a cancelled job are stopped.
    Evictions,
    /// A controller that cannot read the state stops answering workers within the stale-read limit.
    StaleReadLimit,
    /// A poll is answered from a read that was sent after the poll arrived.
    FreshPolls,
    /// Direct commands stop tasks and never start one.
    DirectEvictionsOnly,
}

/// Limits of one search.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bounds {
    pub name: &'static str,
    pub tasks: usize,
    pub machines: usize,
    pub tokens: u8,
    /// Restarts of each controller.
    pub restarts: [u8; CONTROLLERS],
    /// Session changes (lease expiries) of each machine.
    pub sessions: u8,
    pub attempts: u8,
    /// Transactions that get no answer or whose sender restarts; they may be executed late.
    pub late_transactions: u8,
    /// ReportCopy reports; a copy can be read any number of times.
    pub report_copies: u8,
    /// Direct commands, each executed at any later step if its token and session still match.
    pub direct_commands: u8,
    /// Tasks may fail.
    pub task_failures: bool,
    /// Machines may be drained.
    pub drains: bool,
    pub cancel: bool,
    /// Submissions; with 0 the job is already accepted in the initial state.
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
    pub incarnation: u8,
    pub token: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) enum FinalState {
    Done,
    Aborted,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Store {
    pub job: Option<Job>,
    /// Number of versions assigned to the job's key so far.
    pub versions: u8,
    pub archive: Option<FinalState>,
    pub pool: Pool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct AttemptEnd {
    pub machine: u8,
    pub attempt: u8,
    pub done: bool,
    /// The pool token under which the end is valid; `None` if it is valid under any token.
    pub required_token: Option<u8>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) enum Outcome {
    Live(Job),
    Ended(FinalState),
}

/// A transaction: its guards and its writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct Transaction {
    /// The guarded version of the job's key; 0 requires its absence, `None` is no guard.
    pub job: Option<u8>,
    pub no_archive: bool,
    pub pool: Option<u8>,
    pub outcome: Outcome,
    pub submission: bool,
    /// A user waits for its answer as confirmation of a cancellation.
    pub cancellation: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct StateCache {
    pub job: Option<Job>,
    pub pool: Pool,
}

/// What a controller stores about a machine that it has answered under its current token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Received {
    pub token: u8,
    /// The newest report carried `token`.
    pub seen: bool,
    /// The machine's session at the time of the last answer.
    pub agent_epoch: u8,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Controller {
    pub incarnation: u8,
    pub cache: Option<StateCache>,
    pub tx: Option<Transaction>,
    pub ends: [Option<AttemptEnd>; TASKS],
    pub cancel_requested: bool,
    /// The cache is older than the stale-read limit, so the controller answers no worker.
    pub partitioned: bool,
    pub received: [Option<Received>; MACHINES],
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum RunState {
    Running,
    Completed,
    Failed,
}

/// Task index, attempt and state of each task on a machine.
pub(crate) type Tasks = Vec<(u8, u8, RunState)>;

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

/// A 200 response in transit to its worker, which sends nothing while it waits.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Answer {
    pub token: u8,
    pub commands: Vec<Command>,
    /// The report was sent after the stale-read limit.
    pub after_limit: bool,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Machine {
    pub agent_epoch: u8,
    pub token: u8,
    pub tasks: Tasks,
    pub answer: Option<Answer>,
    /// Its lease was renewed by a report sent after the stale-read limit, or its session began after it.
    pub renewed_after_limit: bool,
}

/// A direct command in transit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct HeldCommand {
    pub sender: u8,
    pub machine: u8,
    pub token: u8,
    pub agent_epoch: u8,
    pub command: Command,
}

/// A copied report, which may be read at any later step, also repeatedly.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ReportCopy {
    pub machine: u8,
    pub report: Heartbeat,
    /// Controllers that have read this report or a newer one of the machine.
    pub outdated_for: [bool; CONTROLLERS],
}

/// Progress of a cancellation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) enum Phase {
    #[default]
    Unconfirmed,
    Confirmed,
    /// `stale_read_limit_ms` after the confirmation.
    StaleReadLimit,
    /// `cancel_s` after the confirmation.
    Deadline,
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
    /// Unexecuted transactions whose senders no longer wait for an answer.
    pub late_transactions: Vec<Transaction>,
    pub late_count: u8,
    pub report_copy: Option<ReportCopy>,
    pub copy_count: u8,
    pub held_command: Option<HeldCommand>,
    /// Number of direct commands sent.
    pub command_count: u8,
    pub submission_count: u8,
    pub confirmation: Confirmation,
    pub phase: Phase,
    /// Tasks that completed on a machine, whether or not that is recorded.
    pub completed: [bool; TASKS],
    /// Number of tasks of the job.
    pub task_count: u8,
    pub violation: Option<&'static str>,
}

// ---- the service's own task table ----

fn machine_id(m: u8) -> MachineId {
    MachineId::new(if m == 0 { "m0" } else { "m1" })
}

/// The tasks of a `Job` as the service's own `TaskTable`.
pub(crate) struct Claims {
    table: TaskTable,
    tasks: usize,
    pool: PoolId,
}

impl Claims {
    pub(crate) fn from_job(job: &Job, tasks: usize) -> Self {
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

    pub(crate) fn end(&mut self, ix: usize, end: &AttemptEnd) -> bool {
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
