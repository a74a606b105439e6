//! Releases workers while neither the state service nor the other controllers can be reached.
//!
//! A controller that has lost both, but not its workers, cannot tell whether all controllers have
//! lost the state service (then releasing its workers would cost them their leases) or only itself
//! (then other controllers own its pools by now, and no task starts on its workers while it answers
//! them). So it releases one worker of each pool as a canary. If the other controllers turn the
//! canary away, it soon returns without a new owner; if its pool is served elsewhere, it does not
//! return, or returns with a higher token.

use cleatfold_wire::{ControllerId, MachineId, Ms, PoolId};
use std::collections::BTreeMap;

/// Time for a canary to reach another controller and return (PROTOCOL: half a second to follow a
/// redirect), including the time for an answer. A canary that is not back by then is served
/// elsewhere.
const RETURN_TIMEOUT_MS: u64 = 3_500;
/// Minimum time between the return of a canary that was turned away and the next release.
const RELEASE_INTERVAL_MS: u64 = 10_000;
/// Idle workers are preferred as canaries because they have no tasks to lose; if all are busy, a
/// busy one is released after this time.
const BUSY_CANARY_DELAY_MS: u64 = 1_500;

#[derive(Clone, Debug)]
struct Canary {
    machine: MachineId,
    released_at: Ms,
}

#[derive(Clone, Debug, Default)]
struct PoolState {
    waiting_since: Ms,
    canary: Option<Canary>,
    /// When the last canary returned after it was turned away.
    last_return: Option<Ms>,
    /// Whether another controller serves this pool.
    served_elsewhere: bool,
}

/// Release state by pool, for a controller whose own lease has expired.
#[derive(Clone, Debug, Default)]
pub struct WorkerRelease {
    pools: BTreeMap<PoolId, PoolState>,
    /// Selects the peer to which the next canary is redirected.
    next_peer: usize,
}

/// How to answer a worker's heartbeat.
#[derive(Clone, Debug, PartialEq)]
pub enum ReleaseDecision {
    /// Answer it normally.
    Keep,
    /// Redirect it to this controller, or to any other if `None`.
    Release(Option<ControllerId>),
}

impl WorkerRelease {
    /// Discards all state: there is contact with the state service again, or newer information
    /// about the owners of pools.
    pub fn reset(&mut self) {
        self.pools.clear();
    }

    /// Records that a worker of the pool reported a token above this controller's.
    pub fn record_served_elsewhere(&mut self, pool: &PoolId, now: Ms) {
        let pool_state = self.pools.entry(pool.clone()).or_default();
        pool_state.waiting_since = now;
        pool_state.served_elsewhere = true;
    }

    /// Whether another controller is known to serve any of the pools.
    pub fn any_pool_served_elsewhere(&self) -> bool {
        self.pools.values().any(|p| p.served_elsewhere)
    }

    /// Decides how to answer a heartbeat, under this controller's token, of a worker of one of its
    /// pools. `is_idle`: the worker has no tasks.
    pub fn on_heartbeat(
        &mut self,
        pool: &PoolId,
        machine: &MachineId,
        is_idle: bool,
        peers: &[ControllerId],
        now: Ms,
    ) -> ReleaseDecision {
        if peers.is_empty() {
            return ReleaseDecision::Keep;
        }
        let pool_state = self
            .pools
            .entry(pool.clone())
            .or_insert(PoolState { waiting_since: now, ..PoolState::default() });
        if pool_state.served_elsewhere {
            return ReleaseDecision::Release(None);
        }
        match &pool_state.canary {
            Some(canary) if canary.machine == *machine => {
                // The canary is back with the same token: it found no other controller that serves
                // the pool.
                pool_state.canary = None;
                pool_state.last_return = Some(now);
                pool_state.waiting_since = now;
                ReleaseDecision::Keep
            }
            Some(canary) if now.since(canary.released_at) >= RETURN_TIMEOUT_MS => {
                pool_state.served_elsewhere = true;
                ReleaseDecision::Release(None)
            }
            Some(_) => ReleaseDecision::Keep,
            None => {
                let interval_elapsed =
                    pool_state.last_return.is_none_or(|at| now.since(at) >= RELEASE_INTERVAL_MS);
                if !interval_elapsed
                    || !(is_idle || now.since(pool_state.waiting_since) >= BUSY_CANARY_DELAY_MS)
                {
                    return ReleaseDecision::Keep;
                }
                pool_state.canary = Some(Canary { machine: machine.clone(), released_at: now });
                self.next_peer += 1;
                ReleaseDecision::Release(Some(peers[self.next_peer % peers.len()].clone()))
            }
        }
    }
}
