//! One controller: its state, and what it does at each event.

use crate::config::Config;
use crate::effects::{
    CallPriority, CloudRequest, Effect, Event, Response, StoreReply, StoreRequest,
};
use crate::jobs::state::LocalJobState;
use crate::machines::inventory::Inventory;
use crate::scheduling::planning::Plans;
use crate::store::cache::StateCache;
use crate::store::records::{controller_key, ControllerRecord, LIVE};
use cleatfold_roles::RoleAssignment;
use cleatfold_wire::mesh::Message;
use cleatfold_wire::store::Txn;
use cleatfold_wire::{ControllerId, FencingToken, JobId, LeaseId, MachineId, Ms, PoolId, Version};
use std::collections::{BTreeMap, BTreeSet};

pub(crate) use crate::pending::{EventNumber, Pending, Submission, WaitReason, WaitingRequest};

pub struct Controller {
    pub(crate) cfg: Config,
    pub(crate) now: Ms,
    /// The event that is being handled.
    pub(crate) event: EventNumber,
    /// Time of day in milliseconds; orders the queue, decides nothing else.
    pub(crate) wall_ms: u64,
    pub(crate) backpressure: u64,
    pub(crate) out: Vec<Effect>,
    pub(crate) next_op: u64,
    pub(crate) ops: BTreeMap<u64, Pending>,
    pub(crate) resend: Vec<(Ms, u64, CallPriority, StoreRequest)>,

    pub(crate) format_check: crate::store::format_check::FormatCheck,
    pub(crate) cache: StateCache,
    pub(crate) loaded: bool,
    pub(crate) loading: bool,
    load_from: Option<String>,
    load_base: Option<Version>,
    pub(crate) sync_inflight: bool,
    pub(crate) sync_sent: Ms,
    pub(crate) want_sync: bool,
    pub(crate) rate_limiter: crate::store::rate_limiter::ChangeRateLimiter,
    /// Something may be due to be recorded.
    pub(crate) flush_due: bool,
    /// Jobs that may have something to be recorded.
    pub(crate) unsent: BTreeSet<JobId>,
    /// The state service's content was known to us as of this moment.
    pub(crate) fresh: Option<Ms>,
    /// The last call that the state service failed to answer.
    pub(crate) store_failed: Option<Ms>,

    pub(crate) lease: Option<LeaseId>,
    pub(crate) lease_asked: bool,
    pub(crate) lease_sent: Ms,
    pub(crate) incarnation: Option<u64>,
    enlisting: bool,
    /// When our own key was last settled; what came of it shows in readings sent since.
    enlisted: Option<Ms>,
    pub(crate) role_assignment: RoleAssignment,
    pub(crate) leader_since: Option<Ms>,
    pub(crate) pending_assignment: Option<u64>,
    /// When the leader last looked whether pools have to be dealt.
    pub(crate) assignment_checked_at: Ms,
    pub(crate) assignment_confirmed_at: Ms,
    pub(crate) pool_assigned_at: BTreeMap<PoolId, Ms>,

    pub(crate) job_states: BTreeMap<JobId, LocalJobState>,
    pub(crate) submitting: crate::jobs::submissions::Submitting,
    pub(crate) waiting: Vec<WaitingRequest>,
    pub(crate) terminal_jobs: crate::jobs::requests::TerminalJobCache,
    pub(crate) archive: crate::jobs::archive::ArchiveLookups,
    pub(crate) losses: crate::namespaces::loss_logs::Losses,

    pub(crate) inventory: Inventory,
    pub(crate) types_at: Option<Ms>,
    pub(crate) types_asked: bool,
    pub(crate) list_asked: bool,
    pub(crate) list_at: Option<Ms>,
    pub(crate) list_acc: Vec<cleatfold_wire::cloud::ListedMachine>,
    pub(crate) owned_since: BTreeMap<PoolId, (FencingToken, Ms)>,
    pub(crate) long_polls: BTreeMap<MachineId, crate::pools::long_polls::LongPoll>,
    /// Who reaches whom.
    pub(crate) reachability: crate::membership::state::ReachabilityState,
    pub(crate) started: Option<Ms>,
    pub(crate) last_tick: Ms,
    pub(crate) watched: Ms,

    /// Pools under a higher token than we have read, as told by their owners.
    pub(crate) hinted: BTreeMap<PoolId, (ControllerId, FencingToken)>,
    pub(crate) alive_sent: Ms,
    pub(crate) plans: Plans,
    pub(crate) replan_needed: bool,
    pub(crate) scale_out: crate::machines::scale_out::ScaleOutState,
    pub(crate) assigned_at: Ms,
    pub(crate) limits: crate::quota::Limits,
    pub(crate) admission: crate::admission::state::Admission,
    pub(crate) workspaces: crate::namespaces::workspace_state::Workspaces,
    pub(crate) teams: crate::namespaces::question_state::Teams,
    pub(crate) priority: crate::scheduling::priority_state::PriorityState,
    pub(crate) image_distribution: crate::images::state::ImageDistribution,
    pub(crate) garbage_collection_inflight: bool,
    /// Tasks of our machines that are told to leave.
    pub(crate) evictions: crate::scheduling::evictions::Evictions,
    pub(crate) completed_at: Ms,
    pub(crate) cancellations: crate::jobs::cancellation_state::Cancellations,
}

impl Controller {
    pub fn new(cfg: Config) -> Self {
        let reachability = crate::membership::state::ReachabilityState::new(&cfg);
        let limits = crate::quota::Limits::new(&cfg.me);
        Self {
            cfg,
            now: Ms(0),
            event: EventNumber(0),
            wall_ms: 0,
            backpressure: 1,
            out: Vec::new(),
            next_op: 1,
            ops: BTreeMap::new(),
            resend: Vec::new(),
            format_check: Default::default(),
            cache: StateCache::default(),
            loaded: false,
            loading: false,
            load_from: None,
            load_base: None,
            sync_inflight: false,
            sync_sent: Ms(0),
            want_sync: false,
            rate_limiter: Default::default(),
            flush_due: false,
            unsent: BTreeSet::new(),
            fresh: None,
            store_failed: None,
            lease: None,
            lease_asked: false,
            lease_sent: Ms(0),
            incarnation: None,
            enlisting: false,
            enlisted: None,
            role_assignment: Default::default(),
            leader_since: None,
            pending_assignment: None,
            assignment_checked_at: Ms(0),
            assignment_confirmed_at: Ms(0),
            pool_assigned_at: BTreeMap::new(),
            job_states: BTreeMap::new(),
            submitting: Default::default(),
            waiting: Vec::new(),
            terminal_jobs: Default::default(),
            archive: Default::default(),
            losses: Default::default(),
            inventory: Inventory::default(),
            types_at: None,
            types_asked: false,
            list_asked: false,
            list_at: None,
            list_acc: Vec::new(),
            owned_since: BTreeMap::new(),
            long_polls: BTreeMap::new(),
            reachability,
            started: None,
            last_tick: Ms(0),
            watched: Ms(0),
            hinted: BTreeMap::new(),
            alive_sent: Ms(0),
            plans: Plans::default(),
            replan_needed: false,
            scale_out: Default::default(),
            assigned_at: Ms(0),
            limits,
            admission: Default::default(),
            workspaces: Default::default(),
            teams: Default::default(),
            priority: Default::default(),
            image_distribution: Default::default(),
            garbage_collection_inflight: false,
            evictions: Default::default(),
            completed_at: Ms(0),
            cancellations: Default::default(),
        }
    }

    /// Under pressure what costs much and is not urgent is done so many times less often.
    pub fn set_backpressure(&mut self, backpressure: u64) {
        self.backpressure = backpressure.max(1);
    }

    /// Handles one event; returns what is to be done.
    pub fn handle(&mut self, now: Ms, wall_ms: u64, event: Event) -> Vec<Effect> {
        self.now = now.max(self.now);
        self.event.0 += 1;
        self.started.get_or_insert(self.now);
        self.wall_ms = wall_ms;
        // Looking for what is due costs by the number of jobs; most events make nothing due.
        self.flush_due |= matches!(event, Event::Tick | Event::Store { .. });
        match event {
            Event::Tick => self.tick(),
            Event::Request { rid, request } => self.on_request(rid, request),
            Event::Heartbeat { rid, report } => self.on_heartbeat(rid, report),
            Event::Store { op, reply } => self.on_store(op, reply),
            Event::Cloud { op, reply } => self.on_cloud(op, reply),
            Event::Mesh { from, message } => self.on_mesh(from, message),
            Event::Ordered { machine, report } => self.on_ordered(machine, report),
            Event::Probed { machine, answer } => self.on_probed(machine, answer),
        }
        if std::mem::take(&mut self.flush_due) {
            self.flush();
        }
        std::mem::take(&mut self.out)
    }

    pub(crate) fn reply(&mut self, rid: u64, response: Response) {
        self.out.push(Effect::Reply { rid, response });
    }

    pub(crate) fn store(
        &mut self,
        priority: CallPriority,
        request: StoreRequest,
        pending: Pending,
    ) -> u64 {
        let op = self.next_op;
        self.next_op += 1;
        self.ops.insert(op, pending);
        if let StoreRequest::Txn(txn) = &request {
            self.rate_limiter.spend(txn.changes.len());
        }
        self.out.push(Effect::Store { op, priority, request });
        op
    }

    pub(crate) fn cloud(&mut self, request: CloudRequest, pending: Pending) {
        let op = self.next_op;
        self.next_op += 1;
        self.ops.insert(op, pending);
        let spacing_ms = self.cloud_spacing_ms();
        self.out.push(Effect::Cloud { op, request, spacing_ms });
    }

    pub(crate) fn tell(&mut self, to: Option<ControllerId>, message: Message) {
        self.out.push(Effect::Mesh { to, message });
    }

    fn tick(&mut self) {
        // A process that was held up itself must not take its silence for the workers'.
        let gap = self.now.since(self.last_tick);
        if gap > 1000 && self.last_tick > Ms(0) {
            tracing::info!(gap, "held up");
            for m in self.inventory.machines.values_mut() {
                m.known = m.known.max(self.now);
                m.partition_detector.excuse();
            }
            self.reachability.view.stood_still(self.now);
        }
        self.last_tick = self.now;
        for (at, op, priority, request) in std::mem::take(&mut self.resend) {
            if at <= self.now {
                if let StoreRequest::Txn(txn) = &request {
                    self.rate_limiter.spend(txn.changes.len());
                }
                self.out.push(Effect::Store { op, priority, request });
            } else {
                self.resend.push((at, op, priority, request));
            }
        }
        self.fail_stale_waits();
        self.answer_long_polls(&[]);
        self.resolve_unanswered();
        self.keep_format();
        self.keep_lease();
        self.keep_mirror();
        self.keep_cloud();
        if self.now.since(self.alive_sent) >= 1000 {
            self.alive_sent = self.now;
            if let Some(fresh) = self.fresh {
                let contact_age_ms = self.now.since(fresh);
                self.tell(None, Message::Alive { contact_age_ms });
            }
            self.tell_images();
        }
        self.keep_cancellations();
        if !self.serving() {
            return;
        }
        self.maintain_reachability();
        self.maintain_roles();
        self.keep_workspaces();
        self.maintain_priority();
        self.maintain_image_distribution();
        self.watch_machines();
        self.complete_jobs();
        self.plan_if_due();
        self.keep_slices();
    }

    /// Tells the others what images our machines hold, a machine when that has changed.
    fn tell_images(&mut self) {
        let mut machines = Vec::new();
        for (id, m) in &mut self.inventory.machines {
            if self.owned_since.contains_key(&m.pool) && m.images_changed {
                m.images_changed = false;
                let images = m.images.iter().map(|(i, gb)| (i.to_string(), *gb)).collect();
                machines.push((id.to_string(), images));
            }
        }
        if !machines.is_empty() {
            self.tell(None, Message::Images { machines });
        }
    }

    /// Recovered, and entitled to act.
    pub(crate) fn serving(&self) -> bool {
        self.loaded && self.incarnation.is_some() && self.types_at.is_some()
    }

    /// The state service has answered lately.
    pub(crate) fn in_contact(&self) -> bool {
        self.fresh.is_some_and(|f| self.now.since(f) < 2500 + self.cfg.sync_ms)
    }

    pub fn is_ready(&self) -> bool {
        if !self.serving() {
            return false;
        }
        // A worker that we let go was served elsewhere: the state service is there for others.
        if !self.in_contact() && self.reachability.view.worker_release.others_serve() {
            return false;
        }
        // In an outage that all share, leaving would only lose the users their connections.
        // Where a peer still reads the state service, the users are better served there.
        self.in_contact() || !self.reachability.view.peers.someone_reads(self.now)
    }

    /// Whether this controller gives the machine no new tasks because it is to be returned.
    pub fn empties(&self, machine: &MachineId) -> bool {
        self.inventory.machines.get(machine).is_some_and(|m| m.draining || m.deleting)
    }

    // ---- the lease and our own key ----

    fn keep_lease(&mut self) {
        // Nothing is written before it is known that the records are ours to read.
        if self.lease_asked || !self.format_check.is_known() {
            return;
        }
        let ttl_ms = self.cfg.controller_lease_ms;
        match self.lease {
            None if self.now.since(self.lease_sent) >= 300 || self.lease_sent == Ms(0) => {
                self.lease_asked = true;
                self.lease_sent = self.now;
                let sent = self.now;
                self.store(
                    CallPriority::Renewal,
                    StoreRequest::Grant { ttl_ms },
                    Pending::Grant { sent },
                );
            }
            Some(lease) if self.now.since(self.lease_sent) >= ttl_ms / 3 => {
                self.lease_asked = true;
                self.lease_sent = self.now;
                let sent = self.now;
                self.store(
                    CallPriority::Renewal,
                    StoreRequest::Extend(lease),
                    Pending::Extend { sent },
                );
            }
            _ => {}
        }
        if let (Some(lease), Some(incarnation), false) =
            (self.lease, self.incarnation, self.enlisting)
        {
            let known = self.cache.controllers.get(&self.cfg.me).copied();
            let read = self.enlisted.is_none_or(|at| self.fresh.is_some_and(|f| f >= at));
            if self.loaded && read && known.map(|n| n.0) != Some(incarnation) {
                self.enlisting = true;
                let mut txn = Txn::default();
                // Guarded, or one of a former life that is executed late puts that life back.
                txn.guard(controller_key(&self.cfg.me), known.map(|n| n.1).unwrap_or_default());
                txn.put(
                    controller_key(&self.cfg.me),
                    &ControllerRecord { incarnation },
                    Some(lease),
                );
                self.store(CallPriority::Renewal, StoreRequest::Txn(txn), Pending::Enlist);
            }
        }
    }

    // ---- reading the state service ----

    fn keep_mirror(&mut self) {
        if !self.loaded {
            if !self.loading && self.now.since(self.sync_sent) >= 200 {
                self.loading = true;
                self.sync_sent = self.now;
                let sent = self.now;
                let from = self.load_from.clone();
                let request = StoreRequest::List { prefix: LIVE.into(), from, most: None };
                self.store(CallPriority::Renewal, request, Pending::Load { sent });
            }
            return;
        }
        self.sync_if_due();
    }

    pub(crate) fn sync_if_due(&mut self) {
        if !self.loaded || self.sync_inflight {
            return;
        }
        let since = self.now.since(self.sync_sent);
        let pressing = self.want_sync || !self.waiting.is_empty();
        // Users' polls gather for a moment so that one reading answers many.
        if since >= self.cfg.sync_ms || (pressing && since >= self.cfg.sync_ms / 3) {
            self.sync_inflight = true;
            self.want_sync = false;
            self.sync_sent = self.now;
            let request = StoreRequest::Changes { prefix: LIVE.into(), from: self.cache.applied };
            let (sent, sent_at) = (self.now, self.event);
            self.store(CallPriority::Renewal, request, Pending::Sync { sent, sent_at });
        }
    }

    fn reload(&mut self) {
        tracing::info!("reading everything again");
        self.cache.begin_anew();
        self.loaded = false;
        self.load_from = None;
        self.load_base = None;
        // A claim whose answer comes while we load is in no page read before, nor on its way any more.
        self.limits.blind = Some(self.event);
    }

    fn on_load(&mut self, sent: Ms, reply: StoreReply) {
        self.loading = false;
        let StoreReply::Page(page) = reply else {
            self.store_failed = Some(self.now);
            return;
        };
        // What stood then is in these pages: an answer to an earlier change of ours adds nothing to them.
        self.cache.applied = *self.load_base.get_or_insert(page.revision);
        for item in &page.items {
            self.cache.apply_item(item);
        }
        match (page.more, page.items.last()) {
            (true, Some(last)) => self.load_from = Some(last.key.clone()),
            _ => {
                self.begin_ended();
                let gone = |id: &&JobId| !self.cache.jobs.contains_key(*id);
                let gone: Vec<JobId> = self.job_states.keys().filter(gone).cloned().collect();
                gone.iter().for_each(|job| self.discard_job_state(job));
                self.loaded = true;
                // The pages are from different moments: only the next reading is complete.
                self.want_sync = true;
                self.sync_sent = Ms(sent.0.saturating_sub(self.cfg.sync_ms));
                tracing::info!(
                    jobs = self.cache.jobs.len(),
                    revision = self.cache.applied.0,
                    "loaded"
                );
            }
        }
    }

    fn on_sync(&mut self, sent: Ms, sent_at: EventNumber, reply: StoreReply) {
        self.sync_inflight = false;
        match reply {
            StoreReply::Events(events) => {
                if !events.events.is_empty() {
                    self.replan_needed = true;
                }
                for event in &events.events {
                    self.cache.apply_event(event);
                }
                self.cache.applied = self.cache.applied.max(events.revision);
                self.fresh = Some(self.fresh.map_or(sent, |f| f.max(sent)));
                self.reachability.view.worker_release.reset();
                if self.limits.blind.is_some_and(|b| b <= sent_at) {
                    self.limits.blind = None;
                }
                for job_state in self.job_states.values_mut() {
                    if job_state.stale_since.is_some_and(|s| s <= sent_at) {
                        job_state.stale_since = None;
                    }
                }
                self.after_sync(sent_at);
            }
            StoreReply::TooOld => self.reload(),
            _ => self.store_failed = Some(self.now),
        }
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

    /// Sees which pools came to us since, and under which token.
    fn note_ownership(&mut self) {
        self.note_holders();
        let mine: Vec<(PoolId, FencingToken)> = self
            .cache
            .pools
            .iter()
            .filter(|(_, h)| h.owner == self.cfg.me && Some(h.incarnation) == self.incarnation)
            .map(|(id, h)| (id.clone(), h.token))
            .collect();
        let owned: BTreeSet<&PoolId> = mine.iter().map(|m| &m.0).collect();
        self.owned_since.retain(|pool, _| owned.contains(pool));
        for (pool, token) in mine {
            if self.owned_since.get(&pool).map(|o| o.0) == Some(token) {
                continue;
            }
            tracing::info!(%pool, token = token.0, "pool is ours");
            for m in self.inventory.machines.values_mut().filter(|m| m.pool == pool) {
                m.images_changed = true;
            }
            self.owned_since.insert(pool, (token, self.now));
            self.replan_needed = true;
        }
        let cache = &self.cache;
        self.hinted
            .retain(|pool, (_, token)| cache.pools.get(pool).is_none_or(|h| h.token < *token));
    }

    /// Our token for a pool, if it is ours as far as we know.
    pub(crate) fn my_token(&self, pool: &PoolId) -> Option<FencingToken> {
        if self.hinted.contains_key(pool) {
            return None;
        }
        self.owned_since.get(pool).map(|o| o.0)
    }

    // ---- answers of the state service ----

    fn on_store(&mut self, op: u64, reply: StoreReply) {
        let Some(pending) = self.ops.remove(&op) else {
            return;
        };
        match &reply {
            StoreReply::Refused | StoreReply::Unknown => self.store_failed = Some(self.now),
            StoreReply::Bad(why) => tracing::error!(why, "state service refused a request"),
            _ => {}
        }
        match pending {
            Pending::Sync { sent, sent_at } => self.on_sync(sent, sent_at, reply),
            Pending::Load { sent } => self.on_load(sent, reply),
            Pending::Job(tx) => self.on_job_tx(op, *tx, reply),
            Pending::Submit { batch, txn, .. } => self.on_submitted(batch, txn, reply),
            Pending::Archive { job } => self.on_archive(job, reply),
            Pending::Ended { from } => self.on_ended(from, reply),
            Pending::Grant { sent } => {
                self.lease_asked = false;
                if let StoreReply::Granted(lease) = reply {
                    self.lease = Some(lease);
                    self.lease_sent = sent;
                    self.incarnation.get_or_insert(lease.0);
                }
            }
            Pending::Extend { sent } => {
                self.lease_asked = false;
                match reply {
                    StoreReply::Extended => {}
                    StoreReply::Missing => {
                        tracing::info!("our lease has ended");
                        self.lease = None;
                        self.lease_sent = Ms(sent.0.saturating_sub(1000));
                    }
                    // Not renewed: ask again soon.
                    _ => {
                        self.lease_sent =
                            Ms(self.now.0.saturating_sub(self.cfg.controller_lease_ms / 3 - 300))
                    }
                }
            }
            Pending::Format => self.on_format(reply),
            Pending::FormatWritten => self.on_format_written(reply),
            Pending::Enlist => {
                self.enlisting = false;
                self.enlisted = Some(self.now);
                if let StoreReply::Bad(_) = reply {
                    self.lease = None;
                }
                self.want_sync = true;
            }
            Pending::Role(role) => self.on_role_written(role, reply),
            Pending::ScaleOutIntents(step) => self.on_scale_out_written(*step, reply),
            Pending::PoolAssignment => {
                self.pending_assignment = None;
                self.assignment_confirmed_at = self.now;
                self.want_sync = true;
                if matches!(reply, StoreReply::Committed(_)) {
                    self.tell(None, Message::Changed);
                }
            }
            Pending::Slice(sent) => self.on_slice(op, *sent, reply),
            Pending::LossLog => self.on_loss_log(reply),
            Pending::LossGroup { team, token, count, txn } => {
                self.on_loss_group(op, (team, token), count, txn, reply)
            }
            Pending::TeamLosses { rid, since } => self.on_team_losses_read(rid, since, reply),
            Pending::Workspaces(teams, holder) => self.on_workspaces(teams, holder, reply),
            Pending::History(write) => self.on_history(op, *write, reply),
            Pending::Oldest { team, token } => self.on_oldest(team, token, reply),
            Pending::ArchivePage => self.on_archive_page(reply),
            Pending::TeamHistory(read) => self.on_team_history(*read, reply),
            Pending::OverloadQuota => self.on_overload_quota_written(),
            Pending::Preemption(making) => self.on_preemption_written(*making, reply),
            Pending::Origin { txn, record } => self.on_origin(op, txn, record, reply),
            Pending::Spread => self.on_spread(),
            Pending::GarbageCollection => {
                self.garbage_collection_inflight = false;
                self.want_sync = true;
            }
            _ => {}
        }
    }

    /// Sends a transaction with an unknown outcome once more: the same guards decide.
    pub(crate) fn again(
        &mut self,
        op: u64,
        priority: CallPriority,
        txn: Txn,
        pending: Pending,
        ms: u64,
    ) {
        self.ops.insert(op, pending);
        self.resend.push((self.now.plus(ms), op, priority, StoreRequest::Txn(txn)));
    }
}
