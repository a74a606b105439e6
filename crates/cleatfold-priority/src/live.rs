//! Which pools are as good as nobody's, for the moment: whom to count on without waiting for a lease.
//!
//! Hints, all of it: two controllers that judge otherwise both plan for a job, and one of the claims fails
//! its guard.

use cleatfold_wire::job::Urgency;

/// A controller speaks to every other at least once a second, and of its pools' promises each half second.
const MAX_SILENCE_MS: u64 = 1_500;
/// Who has read the state service no later than that can still claim.
const READ_MS: u64 = 3_000;
/// A promise not renewed for so long is forgotten, whoever gave it.
const PROMISE_MS: u64 = 3_000;

/// What one controller knows of another that owns a pool. Times are how long ago.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Owner {
    /// Its key stands, of the life that holds the pool.
    pub stands: bool,
    /// How long ago anything came from it.
    pub silence_ms: Option<u64>,
    /// When it last read the state service, by its own word.
    pub read_ms: Option<u64>,
    /// It says that it does not reach the pool's workers.
    pub lost_workers: bool,
}

/// How well we hear ourselves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListenerHealth {
    /// For how long we have been listening: since our start, or since we stood still.
    pub listening_ms: u64,
    /// Some other controller was heard of within the time in which every one should be.
    pub receives_from_any_peer: bool,
    /// How much less often than usual things are said, under pressure.
    pub backpressure: u64,
}

impl ListenerHealth {
    /// Who lives is heard of at least that often.
    pub fn silence_ms(backpressure: u64) -> u64 {
        MAX_SILENCE_MS * backpressure.clamp(1, 4)
    }

    /// Silence says something of the others: we have listened for long enough, and do hear some.
    fn tell(&self) -> bool {
        self.receives_from_any_peer && self.listening_ms >= Self::silence_ms(self.backpressure)
    }
}

/// Whether the pools of such an owner are planned for by it now, as far as we know.
pub fn lives(owner: Owner, listener_health: ListenerHealth) -> bool {
    if !owner.stands {
        return false;
    }
    // Where we hear nobody it is likely us: only the leases tell then.
    if !listener_health.tell() {
        return true;
    }
    let heard = owner
        .silence_ms
        .is_some_and(|ms| ms <= ListenerHealth::silence_ms(listener_health.backpressure));
    let reads =
        owner.read_ms.is_none_or(|ms| ms <= READ_MS * listener_health.backpressure.clamp(1, 4));
    heard && reads && !owner.lost_workers
}

/// Whether a pool's promise for a job of that urgency holds the job back elsewhere. Background goes on believing
/// who has fallen silent: nobody is in a hurry for it.
pub fn believed(urgency: Urgency, told_ms: u64, lives: bool) -> bool {
    told_ms < PROMISE_MS && (lives || urgency == Urgency::BestEffort)
}

/// How much sooner a later start has to finish to be waited for. Background waits for any, so that it keeps
/// to where its images are.
pub fn prompt_ms(urgency: Urgency, estimate_s: f64) -> u64 {
    match urgency {
        Urgency::BestEffort => 0,
        _ => 1000 + (estimate_s * 100.0) as u64,
    }
}

/// Whether a pool plans for a job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sent {
    /// The leader has sent it somewhere.
    pub anywhere: bool,
    /// It was sent to this pool.
    pub here: bool,
    /// All the pools that it was sent to live.
    pub all_live: bool,
    /// It has waited for longer than all that is known needs to reach everybody.
    pub late: bool,
    /// Room was made for it here.
    pub preempted_here: bool,
}

/// What was sent to a pool that does not live is planned by every one that does, and so is what has waited where it
/// was sent to while places come free elsewhere; background waits for the leader.
pub fn considers(urgency: Urgency, sent: Sent) -> bool {
    let urgent = urgency < Urgency::BestEffort;
    !sent.anywhere || sent.here || sent.preempted_here || (urgent && (sent.late || !sent.all_live))
}
