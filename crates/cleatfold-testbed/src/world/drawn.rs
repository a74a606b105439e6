//! Faults drawn by the seed.

use super::{MachineId, Ms, Rng, SimulationEvent, World, ZoneId, LEASE_MS, ZONES};

/// What can go wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, clap::ValueEnum)]
pub enum Fault {
    /// A controller ends, and is back after seconds.
    Kill,
    /// Back within a fraction of a second, its connections half open.
    Blink,
    /// All controllers, one right after the other, each back within a fraction of a second.
    AllBlink,
    /// A controller stands still.
    Freeze,
    /// A controller is cut off from everything, packets held.
    Cut,
    /// A controller alone is refused by the state service.
    StoreCut,
    /// A controller loses the state service and the other controllers, but not its workers and
    /// not its users: refused, or held.
    Apart,
    /// Workers, of a zone or all, do not reach a controller.
    WorkersCut,
    /// The state service is out for all.
    Outage,
    /// A machine is gone at once.
    Die,
    /// A machine is back within a fraction of a second, as it was.
    Hiccup,
    /// A machine is back within a fraction of a second, without its tasks.
    Anew,
    /// A machine is gone, and what is rented from now on is up within a second.
    Replaced,
    /// What is told a machine does not reach it, its reports arrive.
    #[value(name = "deaf")]
    OneWayPartition,
    /// The same of a pool, or of a zone.
    #[value(name = "deaf-many")]
    OneWayPartitions,
    /// Copies of reports come late.
    Copies,
    /// A share of transactions gets no answer and is carried out late, after newer ones.
    LateWrites,
    /// The state service answers slowly.
    Slow,
    /// The state service refuses the controller with most machines, then everybody for longer than a
    /// cancellation may take.
    RefusedThenOutage,
    /// What machines are told is held up, or they stand still and go on.
    HeldOrders,
    /// The controller with most machines ends, is back at once, and ends again.
    OverAndBack,
    /// All controllers end and one alone is back soon.
    AllButOne,
    /// Users ask at all controllers within milliseconds after a job was accepted, has ended or was cancelled.
    CloseLooks,
    /// A share of transactions is carried out at once, and only the answer is lost.
    AnswersLost,
    /// Users cancel a share of jobs as their last tasks end.
    CancelAtEnd,
    /// Users repeat submissions, cancel what is done, and submit what can't run or lacks a field.
    OddRequests,
    /// Whoever leads ends, up to ten times, each back within seconds.
    TenLeaders,
    /// All controllers are away for longer than the workers' lease, and come back one by one or together.
    AllAway,
    /// One-task jobs come four a second, and a quarter of them are cancelled.
    SmallJobs,
    /// A share of direct commands is executed late, unanswered.
    LateCommands,
    /// Copies of reports arrive everywhere once a leader or an owner has changed.
    ReportsForNextLeader,
    /// Machines reach no controller, while direct commands reach them.
    Mute,
    /// Many long jobs are cancelled at once, and machines of theirs hang.
    CancelNow,
}

/// Which controller the second of two troubles befalls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Aim {
    Any,
    /// The one with most machines.
    Most,
    /// The one that the trouble before it befell.
    Same,
}

impl Fault {
    /// The five that the operators added.
    pub const ADDED: &'static [Fault] = &[
        Fault::Blink,
        Fault::AllBlink,
        Fault::Apart,
        Fault::Hiccup,
        Fault::Anew,
        Fault::Replaced,
        Fault::OneWayPartition,
        Fault::OneWayPartitions,
        Fault::Copies,
    ];
    pub const ALL: &'static [Fault] = &[
        Fault::Kill,
        Fault::Blink,
        Fault::AllBlink,
        Fault::Freeze,
        Fault::Cut,
        Fault::StoreCut,
        Fault::Apart,
        Fault::WorkersCut,
        Fault::Outage,
        Fault::Die,
        Fault::Hiccup,
        Fault::Anew,
        Fault::Replaced,
        Fault::OneWayPartition,
        Fault::OneWayPartitions,
        Fault::Copies,
        Fault::LateWrites,
        Fault::Slow,
        Fault::RefusedThenOutage,
        Fault::HeldOrders,
        Fault::OverAndBack,
        Fault::AllButOne,
        Fault::CloseLooks,
        Fault::AnswersLost,
        Fault::CancelAtEnd,
        Fault::OddRequests,
        Fault::TenLeaders,
        Fault::AllAway,
        Fault::SmallJobs,
        Fault::LateCommands,
        Fault::ReportsForNextLeader,
        Fault::Mute,
        Fault::CancelNow,
    ];

    /// Lasts less than so long, where it does not say itself.
    pub fn most_ms(self) -> u64 {
        match self {
            Fault::Outage => 20_000,
            Fault::Freeze => 25_000,
            Fault::OneWayPartition | Fault::OneWayPartitions | Fault::Copies => 60_000,
            Fault::TenLeaders => 120_000,
            _ => 45_000,
        }
    }
}

impl World {
    /// Draws `count` troubles of these kinds that begin and end within the time given. Whom each
    /// befalls is drawn when it comes.
    pub fn draw_faults(&mut self, kinds: &[Fault], from: Ms, until: Ms, count: usize) {
        for _ in 0..count {
            let kind = kinds[self.rng.random_range(0..kinds.len())];
            let at = self.rng.random_range(from.0..until.0);
            let for_ms = self.rng.random_range(1_500..kind.most_ms()).min(until.0 - at);
            self.at(at.saturating_sub(self.now.0), SimulationEvent::ApplyFault(kind, for_ms));
        }
        self.faults.drawn_until = self.faults.drawn_until.max(until);
    }

    pub(super) fn meets(&mut self, kind: Fault, for_ms: u64, aim: Aim) {
        self.meetings.aim = match aim {
            Aim::Any => None,
            Aim::Most => self.most(),
            Aim::Same => self.meetings.last,
        };
        self.apply_fault(kind, for_ms);
    }

    pub(super) fn some_machine(&mut self) -> Option<MachineId> {
        // What runs something is worth more trouble.
        let busy: Vec<&MachineId> = self.running.values().collect();
        if !busy.is_empty() && self.rng.random_bool(0.7) {
            return Some(busy[self.rng.random_range(0..busy.len())].clone());
        }
        let all: Vec<&MachineId> = self.workers.keys().collect();
        (!all.is_empty()).then(|| all[self.rng.random_range(0..all.len())].clone())
    }

    pub(super) fn apply_fault(&mut self, kind: Fault, for_ms: u64) {
        let controller = self.rng.random_range(0..self.controllers.len());
        let controller = self.meetings.aim.take().unwrap_or(controller);
        self.meetings.last = Some(controller);
        let (now, until) = (self.now, self.now.plus(for_ms));
        let machine = self.some_machine();
        self.faults.applied_faults.push((now, kind, until));
        match (kind, machine) {
            (Fault::Kill, _) => self.handle_event(SimulationEvent::Crash(controller)),
            (Fault::Blink, _) => self.blink_node(controller),
            (Fault::AllBlink, _) => {
                let apart = self.rng.random_range(0..150);
                for i in 0..self.controllers.len() {
                    self.at(1 + apart * i as u64, SimulationEvent::Blink(i));
                }
            }
            (Fault::Freeze, _) => self.freeze(controller, for_ms),
            (Fault::Cut, _) => self.handle_event(SimulationEvent::Cut { controller, until }),
            (Fault::StoreCut, _) => {
                self.handle_event(SimulationEvent::StoreCut { controller, until })
            }
            (Fault::Apart, _) => {
                let held = self.rng.random_bool(0.5);
                self.set_apart(controller, until, held);
            }
            (Fault::WorkersCut, _) => {
                let zone = self.rng.random_range(0..ZONES.len() * 2);
                let zone = ZONES.get(zone).map(|z| ZoneId::new(*z));
                self.faults.cuts.insert(controller, (until, zone));
            }
            (Fault::Outage, _) => self.handle_event(SimulationEvent::Outage { until }),
            (Fault::Copies, _) => {
                let share = [0.02, 0.1, 0.4][self.rng.random_range(0..3)];
                self.copies(share, (2_000, 3 * LEASE_MS), until);
            }
            (
                Fault::LateWrites
                | Fault::Slow
                | Fault::RefusedThenOutage
                | Fault::HeldOrders
                | Fault::OverAndBack
                | Fault::AllButOne,
                _,
            ) => self.meeting(kind, controller, until),
            (
                Fault::CloseLooks | Fault::AnswersLost | Fault::CancelAtEnd | Fault::OddRequests,
                _,
            ) => self.answers_trouble(kind, until),
            (Fault::TenLeaders | Fault::AllAway, _) => self.leader_trouble(kind, until),
            (Fault::SmallJobs, _) => self.small_jobs(until),
            (
                Fault::LateCommands | Fault::ReportsForNextLeader | Fault::Mute | Fault::CancelNow,
                _,
            ) => self.command_fault(kind, until),
            (_, None) => {}
            (Fault::Die, Some(machine)) => self.handle_event(SimulationEvent::Die(machine)),
            (Fault::Hiccup, Some(machine)) => self.hiccup(&machine),
            (Fault::Anew, Some(machine)) => self.anew(&machine),
            (Fault::Replaced, Some(machine)) => self.replaced(&machine),
            (Fault::OneWayPartition, Some(machine)) => self.deafen(&machine, until),
            (Fault::OneWayPartitions, Some(machine)) => {
                let Some(worker) = self.workers.get(&machine) else { return };
                let (kind, zone) = (worker.machine_type.clone(), worker.zone.clone());
                let kind = self.rng.random_bool(0.7).then_some(kind);
                self.deafen_zone(zone, kind, until);
            }
        }
    }
}
