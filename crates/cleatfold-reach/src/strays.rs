//! Workers that come here in vain, since they cannot get through to their pool's owner.

use cleatfold_wire::{MachineId, Ms, PoolId, Token};
use std::collections::{BTreeMap, VecDeque};

/// How a worker that cannot reach its owner shows: it comes to us again and again.
const WINDOW_MS: u64 = 15_000;
/// What a worker needs to find a pool's new owner: an answer that does not come, and a pause.
const UNDERWAY_MS: u64 = 5_000;
/// While the owner is heard of, a worker that comes again after this is not just passing by.
const PATIENCE_MS: u64 = 1_200;
const HEARD_MS: u64 = 2_500;

#[derive(Clone, Debug, Default)]
pub struct Strays {
    came: BTreeMap<MachineId, (PoolId, VecDeque<Ms>)>,
    /// Under which token each pool was last seen, and since when.
    tokens: BTreeMap<PoolId, (Token, Ms)>,
}

impl Strays {
    /// A pool was read to be under this token.
    pub fn see_token(&mut self, pool: &PoolId, token: Token, now: Ms) {
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
    }

    /// Notes that a worker of a pool came here in vain. True if the pool, of `machines` machines,
    /// should come after it. Once may be a hand-over; again means that it cannot get through to its
    /// owner. Some of a large pool can't for a moment whenever its owner is busy, and a move costs
    /// all of them a change of node: the pool moves when a fair part of it has come. While nothing
    /// is heard of the owner (`heard`) it may be gone, and back in a moment: its lease in the state
    /// service decides that, and only workers that stay astray beyond it (the owner lives, behind
    /// a cut) count.
    pub fn came(
        &mut self,
        machine: &MachineId,
        pool: &PoolId,
        machines: usize,
        heard: Option<Ms>,
        lease_ms: u64,
        now: Ms,
    ) -> bool {
        // Its workers are still on their way to an owner that has only just got the pool.
        if self.tokens.get(pool).is_some_and(|s| now.since(s.1) < UNDERWAY_MS) {
            return false;
        }
        let patience = match heard {
            Some(at) if now.since(at) < HEARD_MS => PATIENCE_MS,
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
            return false;
        }
        let came = self.came.values().filter(|s| s.0 == *pool && again(&s.1));
        came.count() >= strays_that_move(machines)
    }
}

/// How many of a pool's workers must come astray before the pool moves after them.
fn strays_that_move(machines: usize) -> usize {
    machines.div_ceil(4).max(1)
}
