//! The session with the state service: the lease, this controller's own key, and the readings that
//! keep the cache current.

use crate::controller::{Controller, EventNumber, Pending};
use crate::effects::{CallPriority, StoreReply, StoreRequest};
use crate::store::records::{controller_key, ControllerRecord, LIVE};
use cleatfold_wire::store::{Events, Txn};
use cleatfold_wire::{JobId, LeaseId, Ms, Version};

/// Between two requests for a lease, as long as there is none.
const LEASE_RETRY_MS: u64 = 300;
/// A lease that has ended is asked for anew as if the last request had been so long ago.
const LEASE_LOST_MS: u64 = 1_000;
/// Between two requests for a page of the listing that fills the cache.
const PAGE_RETRY_MS: u64 = 200;
/// The state service has answered lately: within a reading's interval and this.
const CONTACT_MS: u64 = 2_500;

/// What is known of the session.
#[derive(Debug, Default)]
pub(crate) struct Session {
    pub lease: Option<LeaseId>,
    pub lease_requested: bool,
    /// When the newest request for the lease or its renewal was sent.
    pub lease_renewed_at: Ms,
    /// This life of the controller: the number of its first lease.
    pub incarnation: Option<u64>,
    /// Our own key is being written.
    registering: bool,
    /// When that was last settled; what came of it shows in readings sent since.
    registered_at: Option<Ms>,
    /// The cache holds all that there is.
    pub is_loaded: bool,
    page_requested: bool,
    next_page_from: Option<String>,
    /// The revision of the listing's first page.
    load_revision: Option<Version>,
    sync_inflight: bool,
    sync_sent: Ms,
    /// A reading is wanted sooner than usual.
    pub sync_wanted: bool,
    /// The content of the state service was known as of this moment: when the newest reading was sent.
    pub last_read: Option<Ms>,
    /// The last call that the state service failed to answer.
    pub last_failure: Option<Ms>,
}

impl Controller {
    /// The state service has answered lately.
    pub(crate) fn in_contact(&self) -> bool {
        let contact_ms = CONTACT_MS + self.cfg.read_interval_ms;
        self.session.last_read.is_some_and(|at| self.now.since(at) < contact_ms)
    }

    // ---- the lease and our own key ----

    /// Keeps the lease, and our own key under it.
    pub(crate) fn keep_lease(&mut self) {
        // Nothing is written before it is known that the records are ours to read.
        if self.session.lease_requested || !self.format_check.is_known() {
            return;
        }
        let ttl_ms = self.cfg.controller_lease_ms;
        let since = self.now.since(self.session.lease_renewed_at);
        let is_first = self.session.lease_renewed_at == Ms(0);
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
        self.keep_registration();
    }

    fn request_lease(&mut self, request: StoreRequest, pending: Pending) {
        self.session.lease_requested = true;
        self.session.lease_renewed_at = self.now;
        self.store(CallPriority::Renewal, request, pending);
    }

    fn keep_registration(&mut self) {
        let (Some(lease), Some(incarnation)) = (self.session.lease, self.session.incarnation)
        else {
            return;
        };
        let known = self.cache.controllers.get(&self.cfg.me);
        let last_read = self.session.last_read;
        let is_read =
            self.session.registered_at.is_none_or(|at| last_read.is_some_and(|read| read >= at));
        let is_registered = known.map(|n| n.value.incarnation) == Some(incarnation);
        if self.session.registering || !self.session.is_loaded || !is_read || is_registered {
            return;
        }
        self.session.registering = true;
        let key = controller_key(&self.cfg.me);
        let mut txn = Txn::default();
        // Guarded, or one of a former life that is executed late puts that life back.
        txn.guard(key.clone(), known.map(|n| n.version).unwrap_or_default());
        txn.put(key, &ControllerRecord { incarnation }, Some(lease));
        self.store(CallPriority::Renewal, StoreRequest::Txn(txn), Pending::Registration);
    }

    pub(crate) fn on_lease_granted(&mut self, sent: Ms, reply: StoreReply) {
        self.session.lease_requested = false;
        if let StoreReply::Granted(lease) = reply {
            self.session.lease = Some(lease);
            self.session.lease_renewed_at = sent;
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
                self.session.lease_renewed_at = Ms(sent.0.saturating_sub(LEASE_LOST_MS));
            }
            // Not renewed: ask again soon.
            _ => {
                let waited_ms = self.cfg.controller_lease_ms / 3 - LEASE_RETRY_MS;
                self.session.lease_renewed_at = Ms(self.now.0.saturating_sub(waited_ms));
            }
        }
    }

    pub(crate) fn on_registered(&mut self, reply: StoreReply) {
        self.session.registering = false;
        self.session.registered_at = Some(self.now);
        if let StoreReply::Bad(_) = reply {
            self.session.lease = None;
        }
        self.session.sync_wanted = true;
    }

    // ---- the cache ----

    /// Loads the cache, or reads what has changed since.
    pub(crate) fn keep_cache(&mut self) {
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
        let request = StoreRequest::List { prefix: LIVE.into(), from, most: None };
        self.store(CallPriority::Renewal, request, Pending::Load { sent: self.now });
    }

    /// Reads what has changed, if that is due or somebody waits for it.
    pub(crate) fn sync_if_due(&mut self) {
        if !self.session.is_loaded || self.session.sync_inflight {
            return;
        }
        let since = self.now.since(self.session.sync_sent);
        let pressing = self.session.sync_wanted || !self.waiting.is_empty();
        // Users' polls gather for a moment so that one reading answers many.
        if since >= self.cfg.read_interval_ms
            || (pressing && since >= self.cfg.read_interval_ms / 3)
        {
            self.session.sync_inflight = true;
            self.session.sync_wanted = false;
            self.session.sync_sent = self.now;
            let request = StoreRequest::Changes { prefix: LIVE.into(), from: self.cache.applied };
            let (sent, sent_at) = (self.now, self.event);
            self.store(CallPriority::Renewal, request, Pending::Sync { sent, sent_at });
        }
    }

    fn reload(&mut self) {
        tracing::info!("state cache too old: loading it again");
        self.cache.begin_anew();
        self.session.is_loaded = false;
        self.session.next_page_from = None;
        self.session.load_revision = None;
        // A claim whose answer comes while we load is in no page read before, nor on its way any more.
        self.quota.unread_claims_since = Some(self.event);
    }

    /// A page of the listing that fills the cache.
    pub(crate) fn on_load(&mut self, sent: Ms, reply: StoreReply) {
        self.session.page_requested = false;
        let StoreReply::Page(page) = reply else {
            self.session.last_failure = Some(self.now);
            return;
        };
        // What stood then is in these pages: an answer to an earlier change of ours adds nothing to them.
        self.cache.applied = *self.session.load_revision.get_or_insert(page.revision);
        for item in &page.items {
            self.cache.apply_item(item);
        }
        match (page.more, page.items.last()) {
            (true, Some(last)) => self.session.next_page_from = Some(last.key.clone()),
            _ => self.finish_load(sent),
        }
    }

    fn finish_load(&mut self, sent: Ms) {
        self.begin_ended();
        let gone = |id: &&JobId| !self.cache.jobs.contains_key(*id);
        let gone: Vec<JobId> = self.job_states.keys().filter(gone).cloned().collect();
        gone.iter().for_each(|job| self.discard_job_state(job));
        self.session.is_loaded = true;
        // The pages are from different moments: only the next reading is complete.
        self.session.sync_wanted = true;
        self.session.sync_sent = Ms(sent.0.saturating_sub(self.cfg.read_interval_ms));
        let (jobs, revision) = (self.cache.jobs.len(), self.cache.applied.0);
        tracing::info!(jobs, revision, "state cache loaded");
    }

    /// Everything that has changed since the last reading.
    pub(crate) fn on_sync(&mut self, sent: Ms, sent_at: EventNumber, reply: StoreReply) {
        self.session.sync_inflight = false;
        match reply {
            StoreReply::Events(events) => self.apply_reading(sent, sent_at, &events),
            StoreReply::TooOld => self.reload(),
            _ => self.session.last_failure = Some(self.now),
        }
    }

    fn apply_reading(&mut self, sent: Ms, sent_at: EventNumber, events: &Events) {
        self.replan_needed |= !events.events.is_empty();
        for event in &events.events {
            self.cache.apply_event(event);
        }
        self.cache.applied = self.cache.applied.max(events.revision);
        self.session.last_read = Some(self.session.last_read.map_or(sent, |f| f.max(sent)));
        self.reachability.view.worker_release.reset();
        if self.quota.unread_claims_since.is_some_and(|b| b <= sent_at) {
            self.quota.unread_claims_since = None;
        }
        for job_state in self.job_states.values_mut() {
            if job_state.stale_since.is_some_and(|s| s <= sent_at) {
                job_state.stale_since = None;
            }
        }
        self.after_sync(sent_at);
    }

    fn after_sync(&mut self, sent_at: EventNumber) {
        self.note_read_cancellations();
        for job in std::mem::take(&mut self.cache.gone) {
            self.archive.stale |= self.terminal_jobs.get(&job).is_none();
            self.discard_job_state(&job);
        }
        self.follow_archive();
        self.note_ownership();
        self.resolve_unanswered();
        self.answer_waiting(sent_at);
        self.sync_if_due();
    }
}
