//! Troubles drawn by the seed.

use super::*;

/// What can go wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, clap::ValueEnum)]
pub enum Trouble {
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
    Deaf,
    /// The same of a pool, or of a zone.
    DeafMany,
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

impl Trouble {
    /// The five that the operators added.
    pub const ADDED: &'static [Trouble] = &[
        Trouble::Blink,
        Trouble::AllBlink,
        Trouble::Apart,
        Trouble::Hiccup,
        Trouble::Anew,
        Trouble::Replaced,
        Trouble::Deaf,
        Trouble::DeafMany,
        Trouble::Copies,
    ];
    pub const ALL: &'static [Trouble] = &[
        Trouble::Kill,
        Trouble::Blink,
        Trouble::AllBlink,
        Trouble::Freeze,
        Trouble::Cut,
        Trouble::StoreCut,
        Trouble::Apart,
        Trouble::WorkersCut,
        Trouble::Outage,
        Trouble::Die,
        Trouble::Hiccup,
        Trouble::Anew,
        Trouble::Replaced,
        Trouble::Deaf,
        Trouble::DeafMany,
        Trouble::Copies,
        Trouble::LateWrites,
        Trouble::Slow,
        Trouble::RefusedThenOutage,
        Trouble::HeldOrders,
        Trouble::OverAndBack,
        Trouble::AllButOne,
        Trouble::CloseLooks,
        Trouble::AnswersLost,
        Trouble::CancelAtEnd,
        Trouble::OddRequests,
        Trouble::TenLeaders,
        Trouble::AllAway,
        Trouble::SmallJobs,
        Trouble::LateCommands,
        Trouble::ReportsForNextLeader,
        Trouble::Mute,
        Trouble::CancelNow,
    ];

    /// Lasts less than so long, where it does not say itself.
    pub fn most_ms(self) -> u64 {
        match self {
            Trouble::Outage => 20_000,
            Trouble::Freeze => 25_000,
            Trouble::Deaf | Trouble::DeafMany | Trouble::Copies => 60_000,
            Trouble::TenLeaders => 120_000,
            _ => 45_000,
        }
    }
}

impl World {
    /// Draws `count` troubles of these kinds that begin and end within the time given. Whom each
    /// befalls is drawn when it comes.
    pub fn draw_troubles(&mut self, kinds: &[Trouble], from: Ms, until: Ms, count: usize) {
        for _ in 0..count {
            let kind = kinds[self.rng.random_range(0..kinds.len())];
            let at = self.rng.random_range(from.0..until.0);
            let for_ms = self.rng.random_range(1_500..kind.most_ms()).min(until.0 - at);
            self.at(at.saturating_sub(self.now.0), Happens::Befalls(kind, for_ms));
        }
        self.troubles.drawn_until = self.troubles.drawn_until.max(until);
    }

    pub(super) fn meets(&mut self, kind: Trouble, for_ms: u64, aim: Aim) {
        self.meetings.aim = match aim {
            Aim::Any => None,
            Aim::Most => self.most(),
            Aim::Same => self.meetings.last,
        };
        self.befalls(kind, for_ms);
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

    pub(super) fn befalls(&mut self, kind: Trouble, for_ms: u64) {
        let controller = self.rng.random_range(0..self.controllers.len());
        let controller = self.meetings.aim.take().unwrap_or(controller);
        self.meetings.last = Some(controller);
        let (now, until) = (self.now, self.now.plus(for_ms));
        let machine = self.some_machine();
        self.troubles.befell.push((now, kind, until));
        match (kind, machine) {
            (Trouble::Kill, _) => self.happen(Happens::Crash(controller)),
            (Trouble::Blink, _) => self.blink_node(controller),
            (Trouble::AllBlink, _) => {
                let apart = self.rng.random_range(0..150);
                for i in 0..self.controllers.len() {
                    self.at(1 + apart * i as u64, Happens::Blink(i));
                }
            }
            (Trouble::Freeze, _) => self.freeze(controller, for_ms),
            (Trouble::Cut, _) => self.happen(Happens::Cut { controller, until }),
            (Trouble::StoreCut, _) => self.happen(Happens::StoreCut { controller, until }),
            (Trouble::Apart, _) => {
                let held = self.rng.random_bool(0.5);
                self.set_apart(controller, until, held);
            }
            (Trouble::WorkersCut, _) => {
                let zone = self.rng.random_range(0..ZONES.len() * 2);
                let zone = ZONES.get(zone).map(|z| ZoneId::new(*z));
                self.troubles.cuts.insert(controller, (until, zone));
            }
            (Trouble::Outage, _) => self.happen(Happens::Outage { until }),
            (Trouble::Copies, _) => {
                let share = [0.02, 0.1, 0.4][self.rng.random_range(0..3)];
                self.copies(share, (2_000, 3 * LEASE_MS), until);
            }
            (
                Trouble::LateWrites
                | Trouble::Slow
                | Trouble::RefusedThenOutage
                | Trouble::HeldOrders
                | Trouble::OverAndBack
                | Trouble::AllButOne,
                _,
            ) => self.meeting(kind, controller, until),
            (
                Trouble::CloseLooks
                | Trouble::AnswersLost
                | Trouble::CancelAtEnd
                | Trouble::OddRequests,
                _,
            ) => self.answers_trouble(kind, until),
            (Trouble::TenLeaders | Trouble::AllAway, _) => self.leader_trouble(kind, until),
            (Trouble::SmallJobs, _) => self.small_jobs(until),
            (
                Trouble::LateCommands
                | Trouble::ReportsForNextLeader
                | Trouble::Mute
                | Trouble::CancelNow,
                _,
            ) => self.command_fault(kind, until),
            (_, None) => {}
            (Trouble::Die, Some(machine)) => self.happen(Happens::Die(machine)),
            (Trouble::Hiccup, Some(machine)) => self.hiccup(&machine),
            (Trouble::Anew, Some(machine)) => self.anew(&machine),
            (Trouble::Replaced, Some(machine)) => self.replaced(&machine),
            (Trouble::Deaf, Some(machine)) => self.deafen(&machine, until),
            (Trouble::DeafMany, Some(machine)) => {
                let Some(worker) = self.workers.get(&machine) else { return };
                let (kind, zone) = (worker.machine_type.clone(), worker.zone.clone());
                let kind = self.rng.random_bool(0.7).then_some(kind);
                self.deafen_zone(zone, kind, until);
            }
        }
    }
}
