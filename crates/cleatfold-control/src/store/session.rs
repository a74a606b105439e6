//! The session with the state service: the lease, this controller's registration, and the reads
//! that keep the cache current.

use crate::controller::{Controller, EventNumber, Pending};
use crate::effects::{CallPriority, StoreReply, StoreRequest};
use crate::store::records::{controller_key, ControllerRecord, LIVE_PREFIX};
use cleatfold_wire::store::{Events, Txn};
use cleatfold_wire::{JobId, LeaseId, Ms, Version};

/// Interval between requests for a lease while there is none.
const LEASE_RETRY_MS: u64 = 300;
/// After a lease has expired, the last request counts as this old, so that a new lease is requested
/// at once.
const LEASE_LOST_AGE_MS: u64 = 1_000;
/// Interval between requests for a page of the listing that fills the cache.
const PAGE_RETRY_MS: u64 = 200;
/// The state service counts as reachable if the last read is no older than the read interval plus
/// this.
const CONTACT_TIMEOUT_MS: u64 = 2_500;

/// State of the session.
#[derive(Debug, Default)]
pub(crate) struct Session {
    pub lease: Option<LeaseId>,
    /// A request for the lease or its renewal is in flight.
    pub lease_requested: bool,
    /// When the newest request for the lease or its renewal was sent.
    pub lease_request_sent: Ms,
    /// The incarnation of this controller: the id of its first lease.
    pub incarnation: Option<u64>,
    /// The write of this controller's record is in flight.
    registering: bool,
    /// The event at which the last such write was answered; its outcome shows in reads sent since.
    registered_at: Option<EventNumber>,
    /// The listing that fills the cache is complete.
    pub is_loaded: bool,
    /// A request for a page of the listing is in flight.
    page_requested: bool,
    /// The key after which the next page begins.
    next_page_from: Option<String>,
    /// The revision of the listing's first page.
    load_revision: Option<Version>,
    /// A read of the changes is in flight.
    sync_in_flight: bool,
    /// When the newest read, or the newest request for a page, was sent.
    sync_sent: Ms,
    /// A read is needed before the usual interval has passed.
    pub sync_wanted: bool,
    /// When the newest completed read was sent. The cache includes every change made before.
    pub last_read: Option<Ms>,
    /// The event at which the newest completed read was sent.
    last_read_event: Option<EventNumber>,
    /// Time of the last call that the state service failed to answer.
    pub last_failure: Option<Ms>,
}

impl Session {
    /// Whether a read that was sent at this event or later has completed: only what such a read
    /// shows, or does not show, says anything about what happened before the event. Times don't
    /// order what happens within a millisecond.
    pub(crate) fn has_read_since(&self, event: EventNumber) -> bool {
        self.last_read_event.is_some_and(|read| read >= event)
    }
}

impl Controller {
    /// Whether the state service has answered a read recently.
    pub(crate) fn has_store_contact(&self) -> bool {
        let contact_ms = CONTACT_TIMEOUT_MS + self.cfg.read_interval_ms;
        self.session.last_read.is_some_and(|at| self.now.since(at) < contact_ms)
    }

    // ---- the lease and the registration ----

    /// At each tick: requests or renews the lease, and registers this controller under it.
    pub(crate) fn maintain_lease(&mut self) {
        // Nothing is written before the record format is known to be supported.
        if self.session.lease_requested || !self.format_check.is_supported() {
            return;
        }
        let ttl_ms = self.cfg.controller_lease_ms;
        let since = self.now.since(self.session.lease_request_sent);
        let is_first = self.session.lease_request_sent == Ms(0);
        match self.session.lease {
            None if since >= LEASE_RETRY_MS || is_first => {
                let pending = Pending::Grant { sent: self.now };
                self.request_lease(StoreRequest::Grant { ttl_ms }, pending);
            }
            Some(lease) if since >= ttl_ms / 3 => {
                let pending = Pending::Extend { sent: self.now };
                self.request_lease(StoreRequest::Extend(lease), pending);
            }
            _ => {}
        }
        self.register_if_needed();
    }

    fn request_lease(&mut self, request: StoreRequest, pending: Pending) {
        self.session.lease_requested = true;
        self.session.lease_request_sent = self.now;
        self.call_store(CallPriority::Renewal, request, pending);
    }

    /// Writes this controller's record unless the cache shows it.
    fn register_if_needed(&mut self) {
        let (Some(lease), Some(incarnation)) = (self.session.lease, self.session.incarnation)
        else {
            return;
        };
        let registered = self.cache.controllers.get(&self.cfg.controller_id);
        let is_read = self.session.registered_at.is_none_or(|at| self.session.has_read_since(at));
        let is_registered = registered.map(|record| record.value.incarnation) == Some(incarnation);
        if self.session.registering || !self.session.is_loaded || !is_read || is_registered {
            return;
        }
        self.session.registering = true;
        let key = controller_key(&self.cfg.controller_id);
        let mut txn = Txn::default();
        // Without the guard, a write of a former incarnation that is executed late would restore
        // that incarnation.
        txn.guard(key.clone(), registered.map(|record| record.version).unwrap_or_default());
        txn.put(key, &ControllerRecord { incarnation }, Some(lease));
        self.call_store(CallPriority::Renewal, StoreRequest::Txn(txn), Pending::Registration);
    }

    pub(crate) fn on_lease_granted(&mut self, sent: Ms, reply: StoreReply) {
        self.session.lease_requested = false;
        if let StoreReply::Granted(lease) = reply {
            self.session.lease = Some(lease);
            self.session.lease_request_sent = sent;
            self.session.incarnation.get_or_insert(lease.0);
        }
    }

    pub(crate) fn on_lease_extended(&mut self, sent: Ms, reply: StoreReply) {
        self.session.lease_requested = false;
        match reply {
            StoreReply::Extended => {}
            StoreReply::Missing => {
                tracing::info!("lease expired");
                self.session.lease = None;
                self.session.lease_request_sent = Ms(sent.0.saturating_sub(LEASE_LOST_AGE_MS));
            }
            // Not renewed: retry soon.
            _ => {
                let elapsed_ms = self.cfg.controller_lease_ms / 3 - LEASE_RETRY_MS;
                self.session.lease_request_sent = Ms(self.now.0.saturating_sub(elapsed_ms));
            }
        }
    }

    pub(crate) fn on_registered(&mut self, reply: StoreReply) {
        self.session.registering = false;
        self.session.registered_at = Some(self.event);
        if let StoreReply::Invalid(_) = reply {
            self.session.lease = None;
        }
        self.session.sync_wanted = true;
    }

    // ---- the cache ----

    /// At each tick: loads the cache, or reads the changes since.
    pub(crate) fn maintain_cache(&mut self) {
        if self.session.is_loaded {
            return self.sync_if_due();
        }
        let is_due = self.now.since(self.session.sync_sent) >= PAGE_RETRY_MS;
        if self.session.page_requested || !is_due {
            return;
        }
        self.session.page_requested = true;
        self.session.sync_sent = self.now;
        let from = self.session.next_page_from.clone();
        let request = StoreRequest::List { prefix: LIVE_PREFIX.into(), from, limit: None };
        self.call_store(CallPriority::Renewal, request, Pending::Load { sent: self.now });
    }

    /// Reads the changes if that is due or a request waits for it.
    pub(crate) fn sync_if_due(&mut self) {
        if !self.session.is_loaded || self.session.sync_in_flight {
            return;
        }
        let since = self.now.since(self.session.sync_sent);
        let is_urgent = self.session.sync_wanted || !self.waiting_requests.is_empty();
        // A third of the interval passes even then, so that one read answers many polls of users.
        if since >= self.cfg.read_interval_ms
            || (is_urgent && since >= self.cfg.read_interval_ms / 3)
        {
            self.session.sync_in_flight = true;
            self.session.sync_wanted = false;
            self.session.sync_sent = self.now;
            let request = StoreRequest::Changes {
                prefix: LIVE_PREFIX.into(),
                from: self.cache.applied_revision,
            };
            let (sent, sent_event) = (self.now, self.event);
            self.call_store(CallPriority::Renewal, request, Pending::Sync { sent, sent_event });
        }
    }

    fn reload(&mut self) {
        tracing::info!("state cache too old: loading it again");
        self.cache.clear_for_reload();
        self.session.is_loaded = false;
        self.session.next_page_from = None;
        self.session.load_revision = None;
        // A claim whose reply arrives during the load is in no page that was read before, and is no
        // longer in flight either.
        self.quota.unread_claims_since = Some(self.event);
    }

    /// A page of the listing that fills the cache.
    pub(crate) fn on_load(&mut self, sent: Ms, reply: StoreReply) {
        self.session.page_requested = false;
        let StoreReply::Page(page) = reply else {
            self.session.last_failure = Some(self.now);
            return;
        };
        // The pages include every change up to this revision: the reply to an earlier transaction
        // of this controller adds nothing to them.
        self.cache.applied_revision = *self.session.load_revision.get_or_insert(page.revision);
        for item in &page.items {
            self.cache.apply_item(item);
        }
        match (page.more, page.items.last()) {
            (true, Some(last)) => self.session.next_page_from = Some(last.key.clone()),
            _ => self.finish_load(sent),
        }
    }

    fn finish_load(&mut self, sent: Ms) {
        self.init_ended_jobs();
        let has_ended = |id: &&JobId| !self.cache.jobs.contains_key(*id);
        let ended: Vec<JobId> = self.job_states.keys().filter(has_ended).cloned().collect();
        ended.iter().for_each(|job| self.discard_job_state(job));
        self.session.is_loaded = true;
        // The pages were read at different times: only the next read is consistent.
        self.session.sync_wanted = true;
        self.session.sync_sent = Ms(sent.0.saturating_sub(self.cfg.read_interval_ms));
        let (jobs, revision) = (self.cache.jobs.len(), self.cache.applied_revision.0);
        tracing::info!(jobs, revision, "state cache loaded");
    }

    /// The changes since the last read.
    pub(crate) fn on_sync(&mut self, sent: Ms, sent_event: EventNumber, reply: StoreReply) {
        self.session.sync_in_flight = false;
        match reply {
            StoreReply::Events(events) => self.apply_changes(sent, sent_event, &events),
            StoreReply::TooOld => self.reload(),
            _ => self.session.last_failure = Some(self.now),
        }
    }

    fn apply_changes(&mut self, sent: Ms, sent_event: EventNumber, events: &Events) {
        self.replan_needed |= !events.events.is_empty();
        for event in &events.events {
            self.cache.apply_event(event);
        }
        self.cache.applied_revision = self.cache.applied_revision.max(events.revision);
        self.session.last_read =
            Some(self.session.last_read.map_or(sent, |last_read| last_read.max(sent)));
        self.session.last_read_event = self.session.last_read_event.max(Some(sent_event));
        self.reachability.view.worker_release.reset();
        if self.quota.unread_claims_since.is_some_and(|since| since <= sent_event) {
            self.quota.unread_claims_since = None;
        }
        for job_state in self.job_states.values_mut() {
            if job_state.stale_since.is_some_and(|since| since <= sent_event) {
                job_state.stale_since = None;
            }
        }
        self.after_sync(sent_event);
    }

    /// Handles the consequences of a read.
    fn after_sync(&mut self, sent_event: EventNumber) {
        self.on_cancellations_read();
        for job in std::mem::take(&mut self.cache.removed_jobs) {
            self.archive.is_stale |= self.terminal_jobs.get(&job).is_none();
            self.discard_job_state(&job);
        }
        self.read_archive_changes();
        self.update_ownership();
        self.resolve_unanswered();
        self.answer_waiting_requests(sent_event);
        self.sync_if_due();
    }
}
