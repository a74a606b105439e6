//! One controller: its state, and what it does at each event.

use crate::admission::state::AdmissionState;
use crate::config::Config;
use crate::effects::{Effect, Event, Response, StoreReply};
use crate::images::state::ImageDistribution;
use crate::jobs::archive::ArchiveLookups;
use crate::jobs::cancellation_state::Cancellations;
use crate::jobs::requests::TerminalJobCache;
use crate::jobs::state::LocalJobState;
use crate::jobs::submissions::Submitting;
use crate::leadership::state::Leadership;
use crate::machines::cloud::CloudState;
use crate::machines::inventory::Inventory;
use crate::machines::scale_out::ScaleOutState;
use crate::membership::state::ReachabilityState;
use crate::namespaces::loss_logs::Losses;
use crate::namespaces::question_state::Teams;
use crate::namespaces::workspace_state::Workspaces;
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

/// A tick that comes so much after the last one shows that this process was stalled.
const STALLED_MS: u64 = 1_000;
/// Between two messages that tell the peers of our contact with the state service.
const ALIVE_INTERVAL_MS: u64 = 1_000;

/// One controller: it owns all state of its process, and hands each event to the module that the
/// event concerns. What is in the parts is described where they are defined.
pub struct Controller {
    pub(crate) cfg: Config,
    /// Steady time of the event that is being handled.
    pub(crate) now: Ms,
    /// The event that is being handled.
    pub(crate) event: EventNumber,
    /// Time of day in milliseconds; orders the queue, decides nothing else.
    pub(crate) wall_ms: u64,
    /// How many times as long the pauses between costly things are.
    pub(crate) backpressure: u64,
    started: Option<Ms>,
    last_tick: Ms,
    alive_sent: Ms,
    /// What the event that is being handled asks to be done.
    pub(crate) out: Vec<Effect>,

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
    /// When our machines were last looked at.
    pub(crate) watched: Ms,

    // Scheduling.
    pub(crate) plans: PlanningState,
    /// Something has changed since the last planning.
    pub(crate) replan_needed: bool,
    pub(crate) evictions: Evictions,
    pub(crate) quota: QuotaState,
    pub(crate) admission: AdmissionState,

    // Jobs and whoever asks about them.
    pub(crate) job_states: BTreeMap<JobId, LocalJobState>,
    /// Something may be due to be recorded.
    pub(crate) flush_due: bool,
    /// Jobs that may have something to be recorded.
    pub(crate) unsent: BTreeSet<JobId>,
    pub(crate) submitting: Submitting,
    pub(crate) waiting: Vec<WaitingRequest>,
    pub(crate) terminal_jobs: TerminalJobCache,
    pub(crate) archive: ArchiveLookups,
    pub(crate) cancellations: Cancellations,
    /// When it was last looked which jobs are complete.
    pub(crate) completed_at: Ms,

    // Namespaces.
    pub(crate) workspaces: Workspaces,
    pub(crate) teams: Teams,
    pub(crate) losses: Losses,
}

impl Controller {
    /// A controller that knows nothing but its settings.
    pub fn new(cfg: Config) -> Self {
        let reachability = ReachabilityState::new(&cfg);
        let quota = QuotaState::new(&cfg.me);
        Self {
            cfg,
            now: Ms(0),
            event: EventNumber(0),
            wall_ms: 0,
            backpressure: 1,
            started: None,
            last_tick: Ms(0),
            alive_sent: Ms(0),
            out: Vec::new(),
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
            watched: Ms(0),
            plans: PlanningState::default(),
            replan_needed: false,
            evictions: Evictions::default(),
            quota,
            admission: AdmissionState::default(),
            job_states: BTreeMap::new(),
            flush_due: false,
            unsent: BTreeSet::new(),
            submitting: Submitting::default(),
            waiting: Vec::new(),
            terminal_jobs: TerminalJobCache::default(),
            archive: ArchiveLookups::default(),
            cancellations: Cancellations::default(),
            completed_at: Ms(0),
            workspaces: Workspaces::default(),
            teams: Teams::default(),
            losses: Losses::default(),
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
            Event::Heartbeat { rid, heartbeat } => self.on_heartbeat(rid, heartbeat),
            Event::Store { op, reply } => self.on_store(op, reply),
            Event::Cloud { op, reply } => self.on_cloud(op, reply),
            Event::Mesh { from, message } => self.on_mesh(from, message),
            Event::Ordered { machine, heartbeat } => self.on_orders_reply(machine, heartbeat),
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

    pub(crate) fn tell(&mut self, to: Option<ControllerId>, message: Message) {
        self.out.push(Effect::Mesh { to, message });
    }

    fn tick(&mut self) {
        self.note_stall();
        self.resend_due();
        self.fail_stale_waits();
        self.answer_long_polls(&[]);
        self.resolve_unanswered();
        self.keep_format();
        self.keep_lease();
        self.keep_cache();
        self.keep_cloud();
        self.tell_alive();
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
        self.maintain_slices();
    }

    /// A process that was stalled itself must not take its silence for the workers'.
    fn note_stall(&mut self) {
        let gap_ms = self.now.since(self.last_tick);
        if gap_ms > STALLED_MS && self.last_tick > Ms(0) {
            tracing::info!(gap_ms, "event loop stalled");
            for m in self.inventory.machines.values_mut() {
                m.known = m.known.max(self.now);
                m.partition_detector.excuse();
            }
            self.reachability.view.stood_still(self.now);
        }
        self.last_tick = self.now;
    }

    fn tell_alive(&mut self) {
        if self.now.since(self.alive_sent) < ALIVE_INTERVAL_MS {
            return;
        }
        self.alive_sent = self.now;
        if let Some(read) = self.session.last_read {
            let contact_age_ms = self.now.since(read);
            self.tell(None, Message::Alive { contact_age_ms });
        }
        self.tell_images();
    }

    /// When this controller began.
    pub(crate) fn started(&self) -> Option<Ms> {
        self.started
    }

    /// Recovered, and entitled to act.
    pub(crate) fn serving(&self) -> bool {
        self.session.is_loaded
            && self.session.incarnation.is_some()
            && self.cloud_state.types_at.is_some()
    }

    /// Whether this controller can serve users.
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

    fn on_store(&mut self, op: u64, reply: StoreReply) {
        let Some(pending) = self.calls.pending.remove(&op) else {
            return;
        };
        match &reply {
            StoreReply::Refused | StoreReply::Unknown => self.session.last_failure = Some(self.now),
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
            Pending::Grant { sent } => self.on_lease_granted(sent, reply),
            Pending::Extend { sent } => self.on_lease_extended(sent, reply),
            Pending::Registration => self.on_registered(reply),
            Pending::Format => self.on_format(reply),
            Pending::FormatWritten => self.on_format_written(reply),
            Pending::Role(role) => self.on_role_written(role, reply),
            Pending::ScaleOutIntents(step) => self.on_scale_out_written(*step, reply),
            Pending::PoolAssignment => self.on_assignment_written(reply),
            Pending::Slice(sent) => self.on_slice_written(op, *sent, reply),
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
            Pending::GarbageCollection => self.on_garbage_collected(),
            // The cloud's; its answers come as events of their own.
            Pending::Types
            | Pending::List { .. }
            | Pending::ScaleOut { .. }
            | Pending::Delete { .. } => {}
        }
    }
}
