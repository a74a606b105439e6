//! Workers that come here in vain, since they cannot get through to their pool's owner.

use cleatfold_wire::{AgentEpoch, ControllerId, FencingToken, MachineId, Ms, PoolId, Seq};
use std::collections::{BTreeMap, VecDeque};

/// How a worker that cannot reach its owner shows: it comes to us again and again.
const WINDOW_MS: u64 = 15_000;
/// What a worker needs to find a pool's new owner: an answer that does not come, and a pause.
const UNDERWAY_MS: u64 = 5_000;
/// While the owner is heard of, a worker that comes again after this is not just passing by.
const PATIENCE_MS: u64 = 1_200;
const OWNER_SILENCE_MS: u64 = 2_500;
/// A question to a worker that came astray is asked again after so long.
const ASK_MS: u64 = 1_000;
/// What a worker says of itself when it is asked: so many messages after the report that was to be confirmed,
/// at most, or that report was an old copy. (The answer itself, and a report to where we sent it. At six, pools
/// moved after copies a few seconds old.)
const MESSAGES: u64 = 2;

/// Whether a pool should come after a worker that came here in vain.
#[derive(Clone, Debug, PartialEq)]
pub enum Came {
    /// It should stay.
    No,
    /// Yes, if the worker itself is still there and says the same when it is asked.
    Ask,
}

/// A worker that is asked.
#[derive(Clone, Debug)]
struct Question {
    machine: MachineId,
    number: (AgentEpoch, Seq),
    owner: ControllerId,
    at: Ms,
}

/// Workers that came here instead of to their pool's owner.
#[derive(Clone, Debug, Default)]
pub struct MisdirectedWorkers {
    came: BTreeMap<MachineId, (PoolId, VecDeque<Ms>)>,
    /// Under which token each pool was last seen, and since when.
    tokens: BTreeMap<PoolId, (FencingToken, Ms)>,
    asked: BTreeMap<PoolId, Question>,
    /// What each machine said when it was last found astray by its own word.
    astray: BTreeMap<MachineId, (AgentEpoch, Seq, Ms)>,
}

impl MisdirectedWorkers {
    /// A pool was read to be under this token.
    pub fn see_token(&mut self, pool: &PoolId, token: FencingToken, now: Ms) {
        match self.tokens.get_mut(pool) {
            Some(seen) if seen.0 == token => {}
            Some(seen) => *seen = (token, now),
            None => {
                self.tokens.insert(pool.clone(), (token, now));
            }
        }
    }

    /// It reached its owner, us.
    pub fn arrived(&mut self, machine: &MachineId) {
        self.came.remove(machine);
        self.astray.remove(machine);
    }

    /// Notes that a worker of a pool came here in vain with a report of this number, and says whether the pool, of
    /// `machines` machines, should come after it. Once may be a hand-over; again means that it cannot get through to its
    /// owner. Some of a large pool can't for a moment whenever its owner is busy, and a move costs
    /// all of them a change of controller: the pool moves when a fair part of it has come. While nothing
    /// is heard of the owner (`owner_last_message`) it may be gone, and back in a moment: its lease in the state
    /// service decides that, and only workers that stay astray beyond it (the owner lives, behind
    /// a cut) count. And a report that comes here may be a late copy, or come from a machine that hears
    /// nobody: before the pool moves the worker is asked itself. (Pools of such machines went round, from one
    /// controller to the next.)
    pub fn came(
        &mut self,
        (machine, number): (&MachineId, (AgentEpoch, Seq)),
        pool: &PoolId,
        machines: usize,
        (owner, owner_last_message): (&ControllerId, Option<Ms>),
        lease_ms: u64,
        now: Ms,
    ) -> Came {
        // Its workers are still on their way to an owner that has only just got the pool.
        if self.tokens.get(pool).is_some_and(|s| now.since(s.1) < UNDERWAY_MS) {
            return Came::No;
        }
        let patience = match owner_last_message {
            Some(at) if now.since(at) < OWNER_SILENCE_MS => PATIENCE_MS,
            _ => lease_ms + 1500,
        };
        let again = |times: &VecDeque<Ms>| {
            let mut fresh = times.iter().filter(|t| now.since(**t) <= WINDOW_MS);
            let first = fresh.next();
            fresh.next().is_some() && first.is_some_and(|t| now.since(*t) > patience)
        };
        let entry = self.came.entry(machine.clone());
        let (of, times) = entry.or_insert_with(|| (pool.clone(), VecDeque::new()));
        *of = pool.clone();
        times.push_back(now);
        while times.front().is_some_and(|t| now.since(*t) > WINDOW_MS) {
            times.pop_front();
        }
        if !again(times) {
            return Came::No;
        }
        let came = self.came.values().filter(|s| s.0 == *pool && again(&s.1));
        let asked = self.asked.get(pool).is_some_and(|q| now.since(q.at) < ASK_MS);
        if asked || came.count() < misdirected_quorum(machines) {
            return Came::No;
        }
        let (machine, owner) = (machine.clone(), owner.clone());
        self.asked.insert(pool.clone(), Question { machine, number, owner, at: now });
        Came::Ask
    }

    /// A machine answered, or did not, with the number of its newest message. The pool that should now
    /// come after it, and whose it was. Where the owner says that it hears the zone (`owner_has_contact`), a worker has to be
    /// found astray twice, the second time by a report that it sent after it was first asked: a copy that is
    /// younger than the pause between two reports can't be told from a worker that has just come.
    pub fn answered(
        &mut self,
        machine: &MachineId,
        answer: Option<(AgentEpoch, Seq)>,
        owner_has_contact: impl Fn(&PoolId, &ControllerId) -> bool,
        now: Ms,
    ) -> Option<(PoolId, ControllerId)> {
        let pool = self.asked.iter().find(|(_, q)| q.machine == *machine)?.0.clone();
        let question = self.asked.get(&pool)?.clone();
        let (agent_epoch, seq) = answer?;
        let after = seq.0.checked_sub(question.number.1 .0);
        let same = agent_epoch == question.number.0 && after.is_some_and(|n| n <= MESSAGES);
        if !same || now.since(question.at) > 2 * ASK_MS {
            return None;
        }
        let number = question.number;
        let before = self.astray.insert(machine.clone(), (agent_epoch, seq, now));
        self.astray.retain(|_, a| now.since(a.2) <= WINDOW_MS);
        let again = before.is_some_and(|(agent_epoch, seq, at)| {
            number > (agent_epoch, seq) && now.since(at) <= WINDOW_MS
        });
        if !again && owner_has_contact(&pool, &question.owner) {
            return None;
        }
        self.asked.remove(&pool);
        Some((pool, question.owner))
    }
}

/// How many of a pool's workers must come astray before the pool moves after them.
fn misdirected_quorum(machines: usize) -> usize {
    machines.div_ceil(4).max(1)
}
