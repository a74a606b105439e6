//! Liveness of pool owners, judged sooner than their leases expire.
//!
//! The results are hints. If two controllers disagree, both plan for the same job, and the guard of
//! one of the claims fails.

use cleatfold_wire::job::Urgency;

/// Longest time without a message from a live controller. It sends a message to every other controller
/// at least once a second, and its pools' promises every half second.
const MAX_SILENCE_MS: u64 = 1_500;
/// Maximum age of a controller's last read of the state service at which it can still claim tasks.
const MAX_STORE_READ_AGE_MS: u64 = 3_000;
/// Time after which a promise that is not renewed expires, whatever the state of its owner.
const PROMISE_TTL_MS: u64 = 3_000;

/// What one controller knows of another that owns a pool. Times are ages.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OwnerStatus {
    /// Whether the lease of the incarnation that holds the pool is valid.
    pub lease_valid: bool,
    /// Age of the last message from it; none if there was no message.
    pub last_message_age_ms: Option<u64>,
    /// Age of its last read of the state service, as it reports it.
    pub store_read_age_ms: Option<u64>,
    /// Whether it reports that it cannot reach the pool's workers.
    pub lost_workers: bool,
}

/// How well this controller receives messages from its peers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListenerHealth {
    /// Time since this controller started, or since its event loop last stalled.
    pub listening_ms: u64,
    /// Whether some peer was heard within the time in which every live peer should be.
    pub receives_from_any_peer: bool,
    /// Factor by which messages are less frequent under load.
    pub backpressure: u64,
}

impl ListenerHealth {
    /// Longest time without a message from a live controller at this backpressure.
    pub fn max_silence_ms(backpressure: u64) -> u64 {
        MAX_SILENCE_MS * backpressure.clamp(1, 4)
    }

    /// Whether missing messages are evidence against a peer: this controller has listened for long
    /// enough and hears some peer.
    fn is_reliable(&self) -> bool {
        self.receives_from_any_peer && self.listening_ms >= Self::max_silence_ms(self.backpressure)
    }
}

/// Whether an owner, as far as known, currently plans for its pools.
pub fn is_owner_live(owner: OwnerStatus, listener_health: ListenerHealth) -> bool {
    if !owner.lease_valid {
        return false;
    }
    // If no peer is heard, the fault is likely on this side: only the leases count then.
    if !listener_health.is_reliable() {
        return true;
    }
    let is_heard = owner
        .last_message_age_ms
        .is_some_and(|ms| ms <= ListenerHealth::max_silence_ms(listener_health.backpressure));
    let reads_store = owner
        .store_read_age_ms
        .is_none_or(|ms| ms <= MAX_STORE_READ_AGE_MS * listener_health.backpressure.clamp(1, 4));
    is_heard && reads_store && !owner.lost_workers
}

/// Whether a pool's promise to run a job of this urgency keeps other pools from starting it.
/// Background jobs, which are not urgent, also trust the promise of an owner that is not live.
pub fn is_promise_trusted(urgency: Urgency, promise_age_ms: u64, owner_live: bool) -> bool {
    promise_age_ms < PROMISE_TTL_MS && (owner_live || urgency == Urgency::BestEffort)
}

/// By how much a later start must finish earlier to be preferred over an immediate one: a second plus a
/// tenth of the estimate. Background jobs wait for any gain, so that they stay where their images are.
pub fn min_wait_benefit_ms(urgency: Urgency, estimate_s: f64) -> u64 {
    match urgency {
        Urgency::BestEffort => 0,
        _ => 1000 + (estimate_s * 100.0) as u64,
    }
}

/// How a job is assigned to pools, as seen from one pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct JobAssignment {
    /// Whether the leader has assigned it to any pool.
    pub to_any_pool: bool,
    /// Whether it is assigned to this pool.
    pub to_this_pool: bool,
    /// Whether all the pools that it is assigned to have a live owner.
    pub all_pools_live: bool,
    /// Whether it has waited for longer than a message takes to reach all controllers.
    pub overdue: bool,
    /// Whether a preemption for it is in progress in this pool.
    pub has_preemption: bool,
}

/// Whether a pool plans for a job. A job that is not assigned yet is planned by every pool. An urgent job is planned by every pool with a live owner if one of
/// its assigned pools has none, or if it is overdue while capacity may be free elsewhere. A background
/// job waits for the leader to assign it again.
pub fn should_plan(urgency: Urgency, assignment: JobAssignment) -> bool {
    let urgent = urgency < Urgency::BestEffort;
    !assignment.to_any_pool
        || assignment.to_this_pool
        || assignment.has_preemption
        || (urgent && (assignment.overdue || !assignment.all_pools_live))
}
