//! Decides whether a heartbeat may be answered with 200 now. Every such response is checked here,
//! because each renews the worker's lease.
//!
//! A worker's lease must not outlive the proof that its pool's owner knows all cancellations that
//! users have been told of. The proof is a sync from the state service, and it counts from when the
//! request was *sent*: a cancellation that another controller confirmed before then is included,
//! and one confirmed later has all of `cancel_s` left. Nothing else is a proof: no mesh message, no
//! response to a change, no other read (a page of the listing, an archive lookup) and no refusal. A
//! held response is checked when it is sent, not when its heartbeat arrived.

use crate::controller::Controller;
use crate::effects::Response;
use cleatfold_wire::worker::{Command, HeartbeatResponse};
use cleatfold_wire::{FencingToken, PoolId};

/// Permission to answer one heartbeat at the present moment; created only by
/// `Controller::worker_authority`.
pub(crate) struct WorkerAuthority {
    token: FencingToken,
}

impl WorkerAuthority {
    pub(crate) fn token(&self) -> FencingToken {
        self.token
    }

    pub(crate) fn answer(self, commands: Vec<Command>) -> Response {
        Response::Worker(HeartbeatResponse { token: self.token, commands })
    }
}

impl Controller {
    /// Grants permission if this controller owns the pool, as far as it knows, and has read the
    /// state service recently enough: the lease that a response renews then ends before the
    /// deadline of any cancellation it cannot know of.
    pub(crate) fn worker_authority(&self, pool: &PoolId) -> Result<WorkerAuthority, Response> {
        let Some(token) = self.owned_pool_token(pool) else {
            return Err(Response::Redirect(None));
        };
        let read_age_ms = self.session.last_read.map_or(u64::MAX, |sent| self.now.since(sent));
        if read_age_ms > self.cfg.stale_read_limit_ms() {
            return Err(Response::retry_later("cut off from the state service"));
        }
        Ok(WorkerAuthority { token })
    }
}
