//! Whether a worker may be answered with 200 now. Every such answer passes here, for each renews a lease.
//!
//! A worker's lease must never outlive its owner's proof that it knows all cancellations that users were told of. The
//! proof is a reading of the state service, and counts from when the request was *sent*: a cancellation that another
//! controller told before that is in it, one told later has all of `cancel_s` left. Nothing else is a proof: no mesh
//! message, no answer to a change, no other reading (a page of the listing, a question to the archive), no refusal.
//! A held answer is looked at when it goes out, not when its report came.

use crate::controller::Controller;
use crate::effects::Response;
use cleatfold_wire::worker::{Command, HeartbeatResponse};
use cleatfold_wire::{FencingToken, PoolId};

/// Preemption by `Controller::entitled` alone, and good for one answer at that moment.
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
    /// The pool is ours as far as we know, and we have read the state service so lately that the lease which an answer
    /// renews is over before a cancellation that we cannot know of has to be.
    pub(crate) fn worker_authority(&self, pool: &PoolId) -> Result<WorkerAuthority, Response> {
        let Some(token) = self.my_token(pool) else {
            return Err(Response::Redirect(None));
        };
        let unread_ms = self.session.last_read.map_or(u64::MAX, |sent| self.now.since(sent));
        if unread_ms > self.cfg.stale_read_limit_ms() {
            return Err(Response::retry_later("cut off from the state service"));
        }
        Ok(WorkerAuthority { token })
    }
}
