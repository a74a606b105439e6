//! What befalls controllers, machines and what goes between them.

use super::{
    BTreeMap, BTreeSet, Event, Fault, Heartbeat, JobId, MachineId, Ms, Rng, SimulationEvent,
    TypeId, Worker, World, ZoneId,
};

#[derive(Default)]
pub struct FaultState {
    /// Controllers that workers, of one zone or of all, cannot reach, nor they them; until when.
    pub cuts: BTreeMap<usize, (Ms, Option<ZoneId>)>,
    /// Controllers that stand still, until when, with what has come for them meanwhile.
    frozen: BTreeMap<usize, (Ms, Vec<Event>)>,
    /// Jobs that fail on every machine.
    pub broken: BTreeSet<JobId>,
    /// Controllers without the state service and the other controllers, until when, and whether
    /// their calls are held until then.
    apart: BTreeMap<usize, (Ms, bool)>,
    /// Machines that nothing told reaches, until when.
    partitioned: BTreeMap<MachineId, Ms>,
    /// The same of a zone, or of its machines of a type.
    partitioned_zones: Vec<(ZoneId, Option<TypeId>, Ms)>,
    copies: Option<Copies>,
    /// Copies that came so far.
    pub copied: u32,
    /// Until then what is rented is up within a second.
    quick_boots: Ms,
    /// What was drawn, and until when there is more to come.
    pub applied_faults: Vec<(Ms, Fault, Ms)>,
    pub drawn_until: Ms,
}

/// A share of all reports comes again, so much later.
struct Copies {
    share: f64,
    late_ms: (u64, u64),
    until: Ms,
}

impl FaultState {
    pub fn cut_off(&self, controller: usize, zone: &ZoneId, now: Ms) -> bool {
        let cut = self.cuts.get(&controller).filter(|c| c.0 > now);
        cut.is_some_and(|c| c.1.as_ref().is_none_or(|z| z == zone))
    }

    pub fn stands_still(&self, controller: usize, now: Ms) -> bool {
        self.frozen.get(&controller).is_some_and(|f| f.0 > now)
    }

    /// Whether nothing told reaches the machine.
    pub fn is_partitioned(&self, worker: &Worker, now: Ms) -> bool {
        let alone = self.partitioned.get(&worker.id).is_some_and(|until| *until > now);
        alone
            || self.partitioned_zones.iter().any(|(zone, kind, until)| {
                *until > now
                    && *zone == worker.zone
                    && kind.as_ref().is_none_or(|k| *k == worker.machine_type)
            })
    }

    fn apart_until(&self, controller: usize, now: Ms) -> Option<(Ms, bool)> {
        self.apart.get(&controller).filter(|a| a.0 > now).copied()
    }

    /// For how long a call of the controller is held.
    pub(super) fn held_apart(&self, controller: usize, now: Ms) -> u64 {
        self.apart_until(controller, now).filter(|a| a.1).map_or(0, |a| a.0.since(now))
    }

    pub(super) fn refused_apart(&self, controller: usize, now: Ms) -> bool {
        self.apart_until(controller, now).is_some_and(|a| !a.1)
    }

    /// Whether the two controllers do not hear of one another.
    pub(super) fn apart(&self, a: usize, b: usize, now: Ms) -> bool {
        self.apart_until(a, now).is_some() || self.apart_until(b, now).is_some()
    }
}

impl World {
    /// The controller stands still while its clocks run on.
    pub fn freeze(&mut self, controller: usize, for_ms: u64) {
        self.faults.frozen.insert(controller, (self.now.plus(for_ms), Vec::new()));
        self.at(for_ms, SimulationEvent::Thaw(controller, self.lives[controller]));
    }

    /// Keeps back what comes for a controller that stands still; its clock's ticks are not made up for.
    pub(super) fn kept_back(&mut self, controller: usize, event: Event) -> Option<Event> {
        let Some((until, kept)) = self.faults.frozen.get_mut(&controller) else {
            return Some(event);
        };
        if *until <= self.now {
            return Some(event);
        }
        if !matches!(event, Event::Tick) {
            kept.push(event);
        }
        None
    }

    /// It goes on, with all that has come meanwhile before its first tick.
    pub(super) fn thaw(&mut self, controller: usize, life: u32) {
        let kept = self.faults.frozen.remove(&controller).map(|f| f.1).unwrap_or_default();
        if self.lives[controller] == life {
            kept.into_iter().for_each(|event| self.give(controller, event));
        }
    }

    /// The troubles of a day as they always were drawn.
    pub(super) fn schedule_faults(&mut self) {
        for _ in 0..14 {
            let at = self.rng.random_range(5_000..110_000u64);
            let controller = self.rng.random_range(0..self.controllers.len());
            let long = Ms(1000 + at + self.rng.random_range(2_000..45_000u64));
            let event = match self.rng.random_range(0..7) {
                0 | 1 => SimulationEvent::Crash(controller),
                2 | 3 => SimulationEvent::Cut { controller, until: long },
                4 => SimulationEvent::StoreCut { controller, until: long },
                5 => SimulationEvent::Outage {
                    until: Ms(1000 + at + self.rng.random_range(1_000..20_000)),
                },
                _ => SimulationEvent::Die(MachineId::new(format!(
                    "vm-{:06}",
                    self.rng.random_range(0..self.size.machines)
                ))),
            };
            self.at(at, event);
        }
        // All at once, now and then.
        if self.rng.random_bool(0.3) {
            let at = self.rng.random_range(30_000..100_000);
            for controller in 0..self.controllers.len() {
                self.at(at, SimulationEvent::Crash(controller));
            }
        }
    }

    /// Ends a controller at once; it is back after a while. What it had sent is still executed.
    pub fn crash(&mut self, controller: usize, back_ms: u64) {
        if self.controllers[controller].take().is_some() {
            // What had come for it while it stood still is lost with it.
            self.faults.frozen.remove(&controller);
            self.lives[controller] += 1;
            self.at(back_ms, SimulationEvent::Restart(controller));
        }
    }

    /// The controller's process is back within a fraction of a second. Its lease still stands,
    /// and some of what it had sent is only executed in its next life.
    pub fn blink_node(&mut self, controller: usize) {
        let back_ms = self.rng.random_range(50..400);
        self.put_off(controller, 2_500);
        self.crash(controller, back_ms);
    }

    /// Puts off some of what the controller has sent and is still on its way.
    fn put_off(&mut self, controller: usize, most_ms: u64) {
        let of_it = |event: &SimulationEvent| match event {
            SimulationEvent::StoreRequest { controller: n, .. }
            | SimulationEvent::CloudRequest { controller: n, .. }
            | SimulationEvent::Orders { controller: n, .. } => *n == controller,
            _ => false,
        };
        let sent = self.events.iter().filter(|e| of_it(e.1)).map(|e| *e.0);
        for number in sent.collect::<Vec<_>>() {
            if self.rng.random_bool(0.5) {
                let late = self.rng.random_range(0..most_ms);
                let event = self.events.remove(&number).expect("just seen");
                self.at(late, event);
            }
        }
    }

    /// The controller loses the state service and the other controllers, but not its workers and
    /// not its users. Its calls are refused, or held until the end.
    pub fn set_apart(&mut self, controller: usize, until: Ms, held: bool) {
        self.faults.apart.insert(controller, (until, held));
    }

    /// Nothing that is told the machine reaches it; its reports arrive.
    pub fn deafen(&mut self, machine: &MachineId, until: Ms) {
        self.faults.partitioned.insert(machine.clone(), until);
    }

    /// The same of a zone's machines, or of those of a type.
    pub fn deafen_zone(&mut self, zone: ZoneId, kind: Option<TypeId>, until: Ms) {
        self.faults.partitioned_zones.push((zone, kind, until));
    }

    /// Until then a share of all reports comes once more, so many milliseconds later: to any
    /// controller and whatever became of the machine. The answer goes nowhere.
    pub fn copies(&mut self, share: f64, late_ms: (u64, u64), until: Ms) {
        self.faults.copies = Some(Copies { share, late_ms, until });
    }

    pub(super) fn copy_perhaps(&mut self, report: &Heartbeat) {
        let Some(copies) = &self.faults.copies else { return };
        if copies.until <= self.now || !self.rng.random_bool(copies.share) {
            return;
        }
        let late = self.rng.random_range(copies.late_ms.0..copies.late_ms.1);
        let controller = self.rng.random_range(0..self.controllers.len());
        self.at(late, SimulationEvent::Copy(controller, Box::new(report.clone())));
    }

    pub(super) fn copy_arrives(&mut self, controller: usize, report: Heartbeat) {
        if self.controllers[controller].is_none() {
            return;
        }
        self.faults.copied += 1;
        self.next_rid += 1;
        let rid = self.next_rid;
        self.give(controller, Event::Heartbeat { rid, heartbeat: report.into_raw() });
    }

    /// The machine stands still for a moment; its connection is gone, its session goes on.
    pub fn hiccup(&mut self, machine: &MachineId) {
        let for_ms = self.rng.random_range(50..900);
        self.hung.insert(machine.clone(), self.now.plus(for_ms));
        self.reconnects(machine, for_ms);
    }

    /// The machine is back in a moment under its name, without its tasks, in its next session.
    pub fn anew(&mut self, machine: &MachineId) {
        let for_ms = self.rng.random_range(50..900);
        let now = self.now;
        let Some(worker) = self.workers.get_mut(machine) else { return };
        let lost = worker.restart(now.plus(for_ms));
        self.judge(machine, lost);
        self.hung.insert(machine.clone(), now.plus(for_ms));
        self.reconnects(machine, for_ms);
    }

    fn reconnects(&mut self, machine: &MachineId, after_ms: u64) {
        let target = self.rng.random_range(0..self.controllers.len());
        let Some(link) = self.links.get_mut(machine) else { return };
        (link.waiting, link.target) = (None, target);
        self.report_in(after_ms + 1, machine.clone());
    }

    /// The machine is gone, and what is rented in its place is up within a second.
    pub fn replaced(&mut self, machine: &MachineId) {
        self.faults.quick_boots = self.now.plus(60_000);
        self.handle_event(SimulationEvent::Die(machine.clone()));
    }

    pub(super) fn boot_ms(&mut self) -> u64 {
        match self.faults.quick_boots > self.now {
            true => self.rng.random_range(200..900),
            false => (self.size.boot_s * 1000.0) as u64,
        }
    }

    /// When all troubles that are known of are over.
    pub fn faults_over(&self) -> Ms {
        let t = &self.faults;
        let cuts = t.cuts.values().map(|c| c.0).chain(t.apart.values().map(|a| a.0));
        let partitioned =
            t.partitioned.values().copied().chain(t.partitioned_zones.iter().map(|d| d.2));
        let frozen = t.frozen.values().map(|f| f.0).chain(self.hung.values().copied());
        let copies = t.copies.iter().map(|c| c.until.plus(c.late_ms.1));
        let stores = self.cut.iter().chain(&self.store_cut).copied();
        let all = cuts.chain(partitioned).chain(frozen).chain(copies).chain(stores);
        all.chain([self.outage, t.drawn_until, self.meetings.over]).max().unwrap_or_default()
    }
}
