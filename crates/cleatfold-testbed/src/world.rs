//! Three controllers in a simulated region, under crashes, cuts with held packets,
//! outages, lost answers and late transactions; watched for the protocol's rules.
//!
//! Time is simulated and all luck is seeded: a seed always plays the same day.

mod answers;
mod arrivals;
mod cancelled;
mod commands;
mod digest;
mod drawn;
mod fault_schedule;
mod faults;
mod images;
mod late;
mod leaders;
mod load_generator;
mod meetings;
mod polls;
mod priority_watch;
mod queries;
mod quick_restarts;
mod scale_out_watch;
mod service_users;
mod services;
mod size;
mod sizes;
mod small_jobs;
mod starvation;
mod users;
mod watch;
mod workers;
mod written;

pub use answers::Query;
pub use digest::BehaviorDigest;
pub use drawn::{Aim, Fault};
pub use late::Purpose;
pub use polls::TurnedAway;
pub use quick_restarts::{Back, Blink, Moment, Step, Who};
pub use size::{controller_id, team_id, Size, Times, CONTROLLERS};
pub use sizes::SizeRow;
pub use written::{ChangeCounts, ChangeKind};

use crate::history::StepWatch;
use cleatfold_control::{
    records, CloudReply, CloudRequest, Config, Controller, Effect, Event, Request, Response,
    StoreReply, StoreRequest, Team,
};
use cleatfold_fakes::cloud::Cloud;
use cleatfold_fakes::store::{Store, TxnError};
use cleatfold_fakes::worker::{Worker, WorkerEvent};
use cleatfold_wire::cloud::MachineType;
use cleatfold_wire::job::{JobSpec, JobState, Kind, Urgency};
use cleatfold_wire::losses::TeamLosses;
use cleatfold_wire::mesh::Message;
use cleatfold_wire::steps::StepReport;
use cleatfold_wire::store::Txn;
use cleatfold_wire::worker::{Exit, Heartbeat, Orders};
use cleatfold_wire::{
    Attempt, ClassId, ControllerId, ImageId, JobId, MachineId, Ms, PoolId, TaskId, TeamId, TypeId,
    Version, ZoneId,
};
pub use images::ImageSettings;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use size::{config, kind, LEASE_MS, ZONES};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

#[derive(Debug)]
pub enum SimulationEvent {
    Tick(usize),
    /// To a controller's incarnation.
    Controller(usize, u32, Box<Event>),
    StoreRequest {
        controller: usize,
        life: u32,
        op: u64,
        request: StoreRequest,
        answered: bool,
    },
    CloudRequest {
        controller: usize,
        life: u32,
        op: u64,
        request: CloudRequest,
    },
    WorkerReports(MachineId),
    ReportArrives {
        controller: usize,
        machine: MachineId,
        sent: Ms,
        report: Heartbeat,
    },
    WorkerAnswer {
        machine: MachineId,
        number: u64,
        sent: Ms,
        agent_epoch: u64,
        response: Response,
    },
    WorkerTimeout {
        machine: MachineId,
        number: u64,
    },
    User(usize),
    Crash(usize),
    Blink(usize),
    /// A controller's incarnation goes on after it stood still.
    Thaw(usize, u32),
    Restart(usize),
    /// A controller ends, and is back after so long.
    Ends {
        controller: usize,
        back_ms: u64,
    },
    /// It ends again once one of these pools has another token.
    OnceMoved {
        controller: usize,
        tokens: BTreeMap<PoolId, Option<Version>>,
        until: Ms,
    },
    /// Whoever leads ends, so many times more until then.
    LeaderEnds {
        left: u32,
        until: Ms,
    },
    /// Users of one-task jobs.
    SmallJobs,
    Cut {
        controller: usize,
        until: Ms,
    },
    StoreCut {
        controller: usize,
        until: Ms,
    },
    Outage {
        until: Ms,
    },
    Die(MachineId),
    /// One of the drawn troubles, who it befalls being drawn now.
    ApplyFault(Fault, u64),
    /// The same, befalling whom the pair of troubles says.
    Meets(Fault, u64, Aim),
    /// Users of services.
    ServiceUsers,
    /// Users that submit and cancel all the time.
    GenerateLoad,
    /// A copy of a report comes to a controller; nobody waits for the answer.
    Copy(usize, Box<Heartbeat>),
    /// A user cancels a job, and repeats that until there is an answer.
    Cancels(JobId),
    /// Looks whether a leader or an owner has changed, for the reports that are kept until then.
    LeadershipCheck,
    /// A user asks about a job that it has submitted.
    Asks(JobId),
    /// A user does something about a job that has just changed.
    Looks {
        controller: usize,
        job: JobId,
        what: Query,
    },
    /// One of the odd requests.
    Odd,
    /// A worker may have something to do by itself.
    Wake(MachineId),
    MemberAsks {
        controller: usize,
        machine: MachineId,
        key: MemberKey,
        number: u64,
        report: StepReport,
    },
    MemberAnswered {
        machine: MachineId,
        key: MemberKey,
        number: u64,
        response: Option<Response>,
    },
    Orders {
        controller: usize,
        life: u32,
        machine: MachineId,
        orders: Orders,
        /// Whether the controller still waits for the answer.
        answered: bool,
    },
}

pub type MemberKey = (TaskId, Attempt);

pub struct Link {
    target: usize,
    /// The number of the report that is in flight.
    waiting: Option<u64>,
    /// When the next one is due.
    due: Ms,
}

#[derive(Default)]
pub struct JobWatch {
    pub spec: Option<JobSpec>,
    pub done: BTreeSet<u32>,
    pub accepted: bool,
    pub answered_state: Option<JobState>,
    pub cancel_confirmed: Option<Ms>,
    pub cancel_asked: bool,
    pub accepted_at: Option<Ms>,
    /// When the first of its tasks did.
    pub begun: Option<Ms>,
    /// When a question about it was last answered, by a status or "not known".
    pub answered: Option<Ms>,
}

/// What a user's request was about, to judge the answer.
pub enum Asked {
    Submit(JobId),
    Poll(JobId, Option<JobState>, bool),
    Withdraw(JobId),
    Heartbeat(MachineId, Ms, u64, u64),
    Steps(MachineId, MemberKey, u64),
    TeamLosses,
    /// What a team asked of its workspace.
    Team,
}

pub struct World {
    pub rng: SmallRng,
    pub now: Ms,
    pub queue: BinaryHeap<Reverse<(Ms, u64)>>,
    pub events: BTreeMap<u64, SimulationEvent>,
    pub number: u64,
    pub controllers: Vec<Option<Controller>>,
    pub lives: Vec<u32>,
    pub cut: Vec<Ms>,
    pub store_cut: Vec<Ms>,
    pub outage: Ms,
    pub store: Store,
    pub cloud: Cloud,
    pub workers: BTreeMap<MachineId, Worker>,
    pub links: BTreeMap<MachineId, Link>,
    pub jobs: BTreeMap<JobId, JobWatch>,
    pub running: BTreeMap<TaskId, MachineId>,
    /// What the tasks of each team use.
    pub in_use: BTreeMap<TeamId, f64>,
    pub last_checked: Ms,
    /// When each worker is to be looked at next.
    pub wakes: BTreeMap<MachineId, Ms>,
    pub steps: StepWatch,
    /// Machines that hang, and until when.
    pub hung: BTreeMap<MachineId, Ms>,
    /// Steps whose work was refused.
    pub refused: u32,
    pub member_links: BTreeMap<MemberKey, (usize, u64)>,
    pub stopped: u32,
    /// Tasks that ended with their worker's lease.
    pub dropped: u32,
    /// Events that the controllers handled, and the time that took. (The only thing here that
    /// is not simulated; nothing depends on it.)
    pub handled: u64,
    pub busy: std::time::Duration,
    /// Bytes of records that they read, and changes that came above the service's limit.
    pub bytes_read: u64,
    pub refused_changes: u64,
    /// Changes above the limit are refused, as the real service does; otherwise they are only counted.
    pub refuses_above_rate: bool,
    /// Controllers that ended by themselves, and what they said.
    pub refused_starts: Vec<(usize, String)>,
    /// Questions about single ended jobs.
    pub archive_reads: u64,
    /// The last answer to a team that asked for its losses.
    pub team_losses: Option<TeamLosses>,
    /// The last answer to a team that asked what its workspace holds.
    pub team_answer: Option<Response>,
    /// Revisions that the state service keeps for whoever reads what has changed since.
    pub keeps: u64,
    /// Readings that were refused for it.
    pub too_old: u32,
    budget: (Ms, f64),
    pub asked: BTreeMap<(usize, u64), Asked>,
    pub next_rid: u64,
    pub next_job: u32,
    pub broken: Vec<String>,
    pub size: Size,
    /// When changes reached the state service, and how many.
    pub changes: Vec<(Ms, usize)>,
    pub booted: usize,
    /// Machines that were ever rented.
    ever_up: BTreeSet<MachineId>,
    pub fault: bool,
    pub started: u32,
    pub absences: u32,
    pub mesh_off: bool,
    /// From whom to whom nothing comes through.
    pub mesh_cut: BTreeSet<(usize, usize)>,
    pub cloud_off: bool,
    /// How much later than usual the state service's answers reach a controller.
    pub slow_answers: Vec<u64>,
    pub faults: faults::FaultState,
    /// Large images on the machines.
    pub net: Option<cleatfold_fakes::images::ImageNetwork>,
    images_moved: Ms,
    pub polls: polls::Polls,
    pub priority_watch: priority_watch::PriorityWatch,
    /// Changes that came too late.
    pub conflicts: u32,
    pub quick_restarts: quick_restarts::QuickRestarts,
    pub meetings: meetings::Meetings,
    pub fault_schedule: fault_schedule::FaultSchedule,
    pub late: late::Late,
    pub leaders: leaders::Leaders,
    pub small: small_jobs::SmallJobs,
    pub load_generator: load_generator::LoadGenerator,
    pub answers: answers::Answers,
    pub command_faults: commands::CommandFaults,
    pub cancel_watch: cancelled::CancelWatch,
    pub starvation: starvation::Starvation,
    pub scale_out_watch: scale_out_watch::ScaleOutWatch,
    pub service_users: service_users::ServiceUsers,
    /// What changes were spent on.
    pub written: ChangeCounts,
    /// What the controllers asked for, if that is wanted.
    pub digest: Option<BehaviorDigest>,
}

impl World {
    pub fn new(seed: u64, fault: bool) -> Self {
        Self::sized(seed, fault, Size::SMALL)
    }

    pub fn sized(seed: u64, fault: bool, size: Size) -> Self {
        let mut cloud = Cloud::default();
        cloud.types = vec![kind("small", &ZONES, size), kind("other", &["a"], size)];
        cloud.capacity = size.machines;
        let mut world = World {
            rng: SmallRng::seed_from_u64(seed),
            now: Ms(1000),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            number: 0,
            controllers: (0..size.controllers)
                .map(|i| Some(Controller::new(config(i, size))))
                .collect(),
            lives: vec![0; size.controllers],
            cut: vec![Ms(0); size.controllers],
            store_cut: vec![Ms(0); size.controllers],
            outage: Ms(0),
            store: Store::default(),
            cloud,
            workers: BTreeMap::new(),
            links: BTreeMap::new(),
            jobs: BTreeMap::new(),
            running: BTreeMap::new(),
            in_use: BTreeMap::new(),
            last_checked: Ms(0),
            wakes: BTreeMap::new(),
            steps: StepWatch::default(),
            refused: 0,
            hung: BTreeMap::new(),
            member_links: BTreeMap::new(),
            stopped: 0,
            dropped: 0,
            handled: 0,
            busy: Default::default(),
            bytes_read: 0,
            refused_changes: 0,
            refuses_above_rate: false,
            refused_starts: Vec::new(),
            archive_reads: 0,
            team_losses: None,
            team_answer: None,
            keeps: 10_000,
            too_old: 0,
            budget: (Ms(0), 0.0),
            asked: BTreeMap::new(),
            next_rid: 0,
            next_job: 0,
            broken: Vec::new(),
            size,
            changes: Vec::new(),
            booted: 0,
            ever_up: BTreeSet::new(),
            fault,
            started: 0,
            absences: 0,
            mesh_off: false,
            mesh_cut: BTreeSet::new(),
            cloud_off: false,
            slow_answers: vec![0; size.controllers],
            faults: Default::default(),
            net: size.images.map(|w| w.net()),
            images_moved: Ms(0),
            polls: Default::default(),
            priority_watch: Default::default(),
            conflicts: 0,
            quick_restarts: Default::default(),
            meetings: Default::default(),
            fault_schedule: Default::default(),
            late: Default::default(),
            leaders: Default::default(),
            small: Default::default(),
            load_generator: Default::default(),
            answers: Default::default(),
            command_faults: Default::default(),
            cancel_watch: Default::default(),
            starvation: Default::default(),
            scale_out_watch: Default::default(),
            service_users: Default::default(),
            written: Default::default(),
            digest: None,
        };
        for i in 0..size.controllers {
            world.at(10 + i as u64, SimulationEvent::Tick(i));
        }
        // Without jobs of their own, users are left out.
        for u in 0..if size.most_jobs > 0 { 4 } else { 0 } {
            world.at(3000 + 100 * u as u64, SimulationEvent::User(u));
        }
        if fault {
            world.schedule_faults();
        }
        world
    }

    pub fn at(&mut self, ms: u64, event: SimulationEvent) {
        self.number += 1;
        self.queue.push(Reverse((self.now.plus(ms), self.number)));
        self.events.insert(self.number, event);
    }

    /// Network delay: short, unless the controller is cut off and the packets are held.
    fn delay(&mut self, controller: usize) -> u64 {
        let usual = self.rng.random_range(1..8);
        let held = self.cut[controller].since(self.now);
        if held > 0 {
            held + usual
        } else {
            usual
        }
    }

    pub fn run(&mut self, until: Ms) {
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at > until {
                self.queue.push(Reverse((at, number)));
                break;
            }
            self.now = at;
            // What was put off has another number by now.
            let Some(event) = self.events.remove(&number) else { continue };
            self.handle_event(event);
            self.watch();
            if self.broken.len() > 3 {
                return;
            }
        }
        self.now = self.now.max(until);
    }

    pub fn give(&mut self, controller: usize, event: Event) {
        let Some(event) = self.kept_back(controller, event) else { return };
        let (now, wall) = (self.now, 1_000_000 + self.now.0);
        let Some(n) = &mut self.controllers[controller] else { return };
        let began = std::time::Instant::now();
        let effects = n.handle(now, wall, event);
        self.handled += 1;
        self.busy += began.elapsed();
        if let Some(digest) = &mut self.digest {
            digest.add(controller, now, &effects);
        }
        let life = self.lives[controller];
        for effect in effects {
            match effect {
                Effect::Reply { rid, response } => self.on_reply(controller, rid, response),
                Effect::Store { op, request, .. } => {
                    self.send_store_request(controller, op, request)
                }
                Effect::Cloud { op, request, .. } => {
                    let delay = self.delay(controller) + 100;
                    self.at(delay, SimulationEvent::CloudRequest { controller, life, op, request });
                }
                Effect::Order { machine, orders, .. } => {
                    self.send_command(controller, machine, orders);
                }
                Effect::Probe { machine, .. } => self.send_probe(controller, &machine),
                Effect::Mesh { to, message } => self.on_mesh(controller, to, &message),
                Effect::Exit { reason } => {
                    // Its process ends; whoever started it sees why.
                    self.controllers[controller] = None;
                    self.lives[controller] += 1;
                    self.refused_starts.push((controller, reason));
                }
            }
        }
    }

    fn on_mesh(&mut self, controller: usize, to: Option<ControllerId>, message: &Message) {
        if self.mesh_off {
            return;
        }
        for peer in (0..self.controllers.len()).filter(|p| *p != controller) {
            if to.as_ref().is_some_and(|t| *t != controller_id(peer)) {
                continue;
            }
            let cut = self.mesh_cut.contains(&(controller, peer));
            if cut || self.faults.apart(controller, peer, self.now) {
                continue;
            }
            let delay = self.delay(controller).max(self.delay(peer));
            let event = Event::Mesh { from: controller_id(controller), message: message.clone() };
            self.at(delay, SimulationEvent::Controller(peer, self.lives[peer], Box::new(event)));
        }
    }

    pub fn handle_event(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::Tick(i) => {
                self.give(i, Event::Tick);
                self.at(50, SimulationEvent::Tick(i));
            }
            SimulationEvent::Controller(i, life, event) => {
                if self.lives[i] == life {
                    self.give(i, *event);
                }
            }
            SimulationEvent::StoreRequest { controller, life, op, request, answered } => {
                self.store_request_arrives(controller, life, op, request, answered);
            }
            SimulationEvent::CloudRequest { controller, life, op, request } => {
                self.cloud_request_arrives(controller, life, op, request);
            }
            SimulationEvent::WorkerReports(id) => self.worker_reports(id),
            SimulationEvent::ReportArrives { controller, machine, sent, report } => {
                self.heartbeat_arrives(controller, machine, sent, report);
            }
            SimulationEvent::WorkerAnswer { machine, number, sent, agent_epoch, response } => {
                self.worker_answer(machine, number, sent, agent_epoch, response)
            }
            SimulationEvent::WorkerTimeout { machine, number } => {
                self.worker_times_out(machine, number);
            }
            SimulationEvent::User(u) => self.user(u),
            SimulationEvent::Crash(i) => {
                if self.controllers[i].is_some() {
                    let back = self.rng.random_range(3000..6000);
                    self.crash(i, back);
                }
            }
            SimulationEvent::Blink(i) => self.blink_node(i),
            SimulationEvent::Thaw(i, life) => self.thaw(i, life),
            SimulationEvent::Restart(i) if self.controllers[i].is_some() => {}
            SimulationEvent::Restart(i) if self.stays_away(i) => {}
            SimulationEvent::Restart(i) => {
                self.controllers[i] = Some(Controller::new(config(i, self.size)))
            }
            SimulationEvent::Ends { controller, back_ms } => self.crash(controller, back_ms),
            SimulationEvent::LeaderEnds { left, until } => self.leader_ends(left, until),
            SimulationEvent::SmallJobs => self.small_jobs_go_on(),
            SimulationEvent::OnceMoved { controller, tokens, until } => {
                self.once_moved(controller, tokens, until)
            }
            SimulationEvent::Cut { controller, until } => {
                self.cut[controller] = self.cut[controller].max(until)
            }
            SimulationEvent::StoreCut { controller, until } => self.store_cut[controller] = until,
            SimulationEvent::Outage { until } => {
                self.outage = self.outage.max(until);
                // Whatever expired meanwhile has its full time again.
                self.store.renew_all_leases(self.outage);
            }
            SimulationEvent::Die(id) => self.machine_dies(&id),
            SimulationEvent::Wake(id) => self.wake(&id),
            SimulationEvent::ApplyFault(fault, for_ms) => self.apply_fault(fault, for_ms),
            SimulationEvent::Meets(fault, for_ms, aim) => self.meets(fault, for_ms, aim),
            SimulationEvent::ServiceUsers => self.use_services(),
            SimulationEvent::GenerateLoad => self.generate_load(),
            SimulationEvent::Copy(controller, report) => self.copy_arrives(controller, *report),
            SimulationEvent::Cancels(job) => self.cancels(job),
            SimulationEvent::LeadershipCheck => self.leadership_check(),
            SimulationEvent::Asks(job) => self.asks(job),
            SimulationEvent::Looks { controller, job, what } => self.looks(controller, job, what),
            SimulationEvent::Odd => self.odd(),
            SimulationEvent::MemberAsks { controller, machine, key, number, report } => {
                self.step_report_arrives(controller, machine, key, number, report);
            }
            SimulationEvent::MemberAnswered { machine, key, number, response } => {
                self.member_answered(machine, key, number, response)
            }
            held @ SimulationEvent::Orders { .. } if self.orders_held(&held) => {}
            SimulationEvent::Orders { controller, life, machine, orders, answered } => {
                self.orders_arrive(controller, life, machine, orders, answered);
            }
        }
    }
}
