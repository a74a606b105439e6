//! The controller: its state, and the dispatch of each event.

use crate::admission::state::AdmissionState;
use crate::config::Config;
use crate::effects::{Effect, Event, Response, StoreReply};
use crate::images::state::ImageDistribution;
use crate::jobs::archive::ArchiveLookups;
use crate::jobs::cancellation_state::Cancellations;
use crate::jobs::requests::TerminalJobCache;
use crate::jobs::state::LocalJobState;
use crate::jobs::submissions::SubmissionState;
use crate::leadership::state::Leadership;
use crate::machines::cloud::CloudState;
use crate::machines::inventory::Inventory;
use crate::machines::scale_out::ScaleOutState;
use crate::membership::state::ReachabilityState;
use crate::namespaces::loss_logs::LossLogs;
use crate::namespaces::team_query_state::TeamQueries;
use crate::namespaces::workspace_state::WorkspaceState;
use crate::pools::ownership::OwnedPools;
use crate::quota::QuotaState;
use crate::scheduling::evictions::Evictions;
use crate::scheduling::planning::PlanningState;
use crate::scheduling::priority_state::PriorityState;
use crate::store::cache::StateCache;
use crate::store::calls::Calls;
use crate::store::format_check::FormatCheck;
use crate::store::session::Session;
use cleatfold_ingress::ChangeRateLimiter;
use cleatfold_wire::mesh::Message;
use cleatfold_wire::{ControllerId, JobId, MachineId, Ms};
use std::collections::{BTreeMap, BTreeSet};

pub(crate) use crate::pending::{EventNumber, Pending, Submission, WaitReason, WaitingRequest};

/// A gap between two ticks above this shows that this process was stalled.
const STALL_THRESHOLD_MS: u64 = 1_000;
/// Interval at which peers are sent the age of this controller's last read of the state service.
const CONTACT_AGE_INTERVAL_MS: u64 = 1_000;

/// One controller: it owns all state of its process and dispatches each event to the module that
/// handles it. Each component of the state is documented at its type.
pub struct Controller {
    pub(crate) cfg: Config,
    /// Monotonic time of the event that is being handled.
    pub(crate) now: Ms,
    /// Number of the event that is being handled.
    pub(crate) event: EventNumber,
    /// Wall-clock time in milliseconds. It orders the queue and affects no other decision.
    pub(crate) wall_ms: u64,
    /// Factor by which the intervals of expensive periodic work are stretched.
    pub(crate) backpressure: u64,
    /// Time of the first event.
    started: Option<Ms>,
    last_tick: Ms,
    /// When peers were last sent the age of the last read of the state service.
    contact_age_sent: Ms,
    /// Effects of the event that is being handled.
    pub(crate) effects: Vec<Effect>,

    // The state service.
    pub(crate) calls: Calls,
    pub(crate) format_check: FormatCheck,
    pub(crate) session: Session,
    pub(crate) cache: StateCache,
    pub(crate) rate_limiter: ChangeRateLimiter,

    // The other controllers.
    pub(crate) leadership: Leadership,
    pub(crate) reachability: ReachabilityState,
    pub(crate) priority: PriorityState,

    // Pools and machines.
    pub(crate) pools: OwnedPools,
    pub(crate) inventory: Inventory,
    pub(crate) cloud_state: CloudState,
    pub(crate) scale_out: ScaleOutState,
    pub(crate) image_distribution: ImageDistribution,
    /// Time of the last check of the machines in owned pools.
    pub(crate) machines_checked_at: Ms,

    // Scheduling.
    pub(crate) planning: PlanningState,
    /// A change since the last planning pass requires another one.
    pub(crate) replan_needed: bool,
    pub(crate) evictions: Evictions,
    pub(crate) quota: QuotaState,
    pub(crate) admission: AdmissionState,

    // Jobs and user requests.
    pub(crate) job_states: BTreeMap<JobId, LocalJobState>,
    /// Some job may have updates that are due to be written.
    pub(crate) flush_due: bool,
    /// Jobs that may have updates to be written.
    pub(crate) dirty_jobs: BTreeSet<JobId>,
    pub(crate) submitting: SubmissionState,
    pub(crate) waiting_requests: Vec<WaitingRequest>,
    pub(crate) terminal_jobs: TerminalJobCache,
    pub(crate) archive: ArchiveLookups,
    pub(crate) cancellations: Cancellations,
    /// Time of the last check for complete jobs.
    pub(crate) completion_checked_at: Ms,

    // Namespaces.
    pub(crate) workspaces: WorkspaceState,
    pub(crate) team_queries: TeamQueries,
    pub(crate) loss_logs: LossLogs,
}

impl Controller {
    /// A controller with empty state.
    pub fn new(cfg: Config) -> Self {
        let reachability = ReachabilityState::new(&cfg);
        let quota = QuotaState::new(&cfg.controller_id);
        Self {
            cfg,
            now: Ms(0),
            event: EventNumber(0),
            wall_ms: 0,
            backpressure: 1,
            started: None,
            last_tick: Ms(0),
            contact_age_sent: Ms(0),
            effects: Vec::new(),
            calls: Calls::default(),
            format_check: FormatCheck::default(),
            session: Session::default(),
            cache: StateCache::default(),
            rate_limiter: ChangeRateLimiter::default(),
            leadership: Leadership::default(),
            reachability,
            priority: PriorityState::default(),
            pools: OwnedPools::default(),
            inventory: Inventory::default(),
            cloud_state: CloudState::default(),
            scale_out: ScaleOutState::default(),
            image_distribution: ImageDistribution::default(),
            machines_checked_at: Ms(0),
            planning: PlanningState::default(),
            replan_needed: false,
            evictions: Evictions::default(),
            quota,
            admission: AdmissionState::default(),
            job_states: BTreeMap::new(),
            flush_due: false,
            dirty_jobs: BTreeSet::new(),
            submitting: SubmissionState::default(),
            waiting_requests: Vec::new(),
            terminal_jobs: TerminalJobCache::default(),
            archive: ArchiveLookups::default(),
            cancellations: Cancellations::default(),
            completion_checked_at: Ms(0),
            workspaces: WorkspaceState::default(),
            team_queries: TeamQueries::default(),
            loss_logs: LossLogs::default(),
        }
    }

    /// Sets the factor by which expensive, non-urgent work is done less often under load.
    pub fn set_backpressure(&mut self, backpressure: u64) {
        self.backpressure = backpressure.max(1);
    }

    /// Handles one event and returns its effects.
    pub fn handle(&mut self, now: Ms, wall_ms: u64, event: Event) -> Vec<Effect> {
        self.now = now.max(self.now);
        self.event.0 += 1;
        self.started.get_or_insert(self.now);
        self.wall_ms = wall_ms;
        // The search for due updates costs time in proportion to the number of jobs, and most
        // events make none due.
        self.flush_due |= matches!(event, Event::Tick | Event::Store { .. });
        match event {
            Event::Tick => self.tick(),
            Event::Request { rid, request } => self.on_request(rid, request),
            Event::Heartbeat { rid, heartbeat } => self.on_heartbeat(rid, heartbeat),
            Event::Store { op, reply } => self.on_store(op, reply),
            Event::Cloud { op, reply } => self.on_cloud(op, reply),
            Event::Mesh { from, message } => self.on_mesh(from, message),
            Event::OrderResult { machine, heartbeat } => self.on_orders_reply(machine, heartbeat),
            Event::ProbeResult { machine, answer } => self.on_probed(machine, answer),
        }
        if std::mem::take(&mut self.flush_due) {
            self.flush();
        }
        std::mem::take(&mut self.effects)
    }

    /// Sends the response to a request or a heartbeat.
    pub(crate) fn reply(&mut self, rid: u64, response: Response) {
        self.effects.push(Effect::Reply { rid, response });
    }

    /// Sends a message to one peer, or to all of them.
    pub(crate) fn send_to_peers(&mut self, to: Option<ControllerId>, message: Message) {
        self.effects.push(Effect::Mesh { to, message });
    }

    fn tick(&mut self) {
        self.detect_stall();
        self.resend_due();
        self.expire_waiting_requests();
        self.answer_long_polls(&[]);
        self.resolve_unanswered();
        self.check_format();
        self.maintain_lease();
        self.maintain_cache();
        self.maintain_cloud_state();
        self.broadcast_contact_age();
        self.resend_cancellations();
        if !self.is_serving() {
            return;
        }
        self.maintain_reachability();
        self.maintain_roles();
        self.maintain_workspaces();
        self.maintain_priority();
        self.maintain_image_distribution();
        self.watch_machines();
        self.end_completed_jobs();
        self.plan_if_due();
        self.maintain_slices();
    }

    /// Detects that this process itself was stalled. Heartbeats that were missed during the stall
    /// must not count against the workers.
    fn detect_stall(&mut self) {
        let gap_ms = self.now.since(self.last_tick);
        if gap_ms > STALL_THRESHOLD_MS && self.last_tick > Ms(0) {
            tracing::info!(gap_ms, "event loop stalled");
            for machine in self.inventory.machines.values_mut() {
                machine.observed_since = machine.observed_since.max(self.now);
                machine.partition_detector.discard_last_answer();
            }
            self.reachability.view.reset_after_pause(self.now);
        }
        self.last_tick = self.now;
    }

    /// Sends all peers the age of this controller's last read of the state service.
    fn broadcast_contact_age(&mut self) {
        if self.now.since(self.contact_age_sent) < CONTACT_AGE_INTERVAL_MS {
            return;
        }
        self.contact_age_sent = self.now;
        if let Some(read) = self.session.last_read {
            let contact_age_ms = self.now.since(read);
            self.send_to_peers(None, Message::Heartbeat { contact_age_ms });
        }
        self.broadcast_image_changes();
    }

    /// Time of the first event.
    pub(crate) fn started(&self) -> Option<Ms> {
        self.started
    }

    /// Whether recovery is complete: the cache is loaded, a lease was granted, and the machine
    /// types are known.
    pub(crate) fn is_serving(&self) -> bool {
        self.session.is_loaded
            && self.session.incarnation.is_some()
            && self.cloud_state.types_read_at.is_some()
    }

    /// Whether this controller can serve users.
    pub fn is_ready(&self) -> bool {
        if !self.is_serving() {
            return false;
        }
        // A released worker was served by another controller, so other controllers reach the state
        // service.
        if !self.has_store_contact()
            && self.reachability.view.worker_release.any_pool_served_elsewhere()
        {
            return false;
        }
        // In an outage that affects every controller, becoming unready would only cut the users'
        // connections. If a peer still reads the state service, users are served better there.
        self.has_store_contact() || !self.reachability.view.peers.any_peer_reads_store(self.now)
    }

    /// Whether the machine gets no new tasks from this controller because it is to be returned to
    /// the cloud.
    pub fn is_draining(&self, machine: &MachineId) -> bool {
        self.inventory.machines.get(machine).is_some_and(|m| m.draining || m.deleting)
    }

    fn on_store(&mut self, op: u64, reply: StoreReply) {
        let Some(pending) = self.calls.pending.remove(&op) else {
            return;
        };
        match &reply {
            StoreReply::Refused | StoreReply::Unknown => self.session.last_failure = Some(self.now),
            StoreReply::Invalid(why) => {
                tracing::error!(why, "state service rejected a request as invalid")
            }
            _ => {}
        }
        match pending {
            Pending::Sync { sent, sent_event } => self.on_sync(sent, sent_event, reply),
            Pending::Load { sent } => self.on_load(sent, reply),
            Pending::Job(tx) => self.on_job_transaction(op, *tx, reply),
            Pending::Submit { batch, txn, .. } => self.on_submitted(batch, txn, reply),
            Pending::ArchivedJob { job } => self.on_archive_record(job, reply),
            Pending::EndedJobs { from } => self.on_archive_changes(from, reply),
            Pending::Grant { sent } => self.on_lease_granted(sent, reply),
            Pending::Extend { sent } => self.on_lease_extended(sent, reply),
            Pending::Registration => self.on_registered(reply),
            Pending::Format => self.on_format_read(reply),
            Pending::FormatWritten => self.on_format_written(reply),
            Pending::Role(role) => self.on_role_written(role, reply),
            Pending::ScaleOutIntents(step) => self.on_scale_out_written(*step, reply),
            Pending::PoolAssignment => self.on_assignment_written(reply),
            Pending::QuotaSlice(sent) => self.on_slice_written(op, *sent, reply),
            Pending::LossLog => self.on_loss_logs_read(reply),
            Pending::LossGroup { team, token, count, txn } => {
                self.on_loss_group_written(op, (team, token), count, txn, reply)
            }
            Pending::TeamLosses { rid, since } => self.on_team_losses_read(rid, since, reply),
            Pending::Workspaces(teams, holder) => {
                self.on_workspace_owners_written(teams, holder, reply)
            }
            Pending::History(write) => self.on_history_written(op, *write, reply),
            Pending::OldestHistory { team, token } => {
                self.on_oldest_groups_listed(team, token, reply)
            }
            Pending::ArchivePage => self.on_archive_page(reply),
            Pending::TeamHistory(read) => self.on_team_history_read(*read, reply),
            Pending::OverloadQuota => self.on_overload_quota_written(),
            Pending::Preemption(preemption) => self.on_preemption_written(*preemption, reply),
            Pending::Origin { txn, record } => self.on_origin_slots_written(op, txn, record, reply),
            Pending::ImageHolders => self.on_image_holders_written(),
            Pending::GarbageCollection => self.on_garbage_collected(),
            // Calls to the cloud; their replies arrive as `Event::Cloud`.
            Pending::Types
            | Pending::List { .. }
            | Pending::ScaleOut { .. }
            | Pending::Delete { .. } => {}
        }
    }
}
