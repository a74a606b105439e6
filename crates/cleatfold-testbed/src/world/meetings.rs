//! Faults that last over several moments of their own: what is carried out late, what is held
//! up, and controllers that end more than once.

use super::{
    BTreeMap, Event, Fault, MachineId, Ms, PoolId, Rng, SimulationEvent, StoreRequest, Version,
    World,
};
use cleatfold_control::records;

/// The clients of the controllers wait so long, for the state service and for a machine.
pub(super) const STORE_MS: u64 = 1_500;
const ORDER_MS: u64 = 1_000;
/// A transaction without an answer is carried out so much later.
const LATE_MS: std::ops::Range<u64> = 2_000..12_000;

#[derive(Default)]
pub struct Meetings {
    late_writes: Option<LateWrites>,
    /// The state service's usual time to answer, until when.
    slow: Option<(u64, Ms)>,
    /// How much later than usual answers come back, by the controller's life and its call.
    pub(super) back: BTreeMap<(usize, u32, u64), u64>,
    /// Machines for which whatever is told them is held up, until when.
    held: BTreeMap<MachineId, Ms>,
    /// When all of these are over.
    pub(super) over: Ms,
    /// Transactions that were carried out late.
    pub late: u32,
    /// Orders that were carried out late.
    pub held_orders: u32,
    /// Whom the next trouble befalls, where that is a controller.
    pub(super) aim: Option<usize>,
    /// Whom the last one befell.
    pub(super) last: Option<usize>,
}

struct LateWrites {
    share: f64,
    /// Of transactions that have changes alone.
    changes_only: bool,
    until: Ms,
}

impl Meetings {
    pub(super) fn held_until(&self, machine: &MachineId, now: Ms) -> Option<Ms> {
        self.held.get(machine).copied().filter(|until| *until > now)
    }
}

impl World {
    /// How much later than usual a request comes to the state service, and its answer back.
    pub(super) fn lateness(&mut self, request: &StoreRequest) -> (u64, u64) {
        let (now, meetings, rng) = (self.now, &mut self.meetings, &mut self.rng);
        if let (StoreRequest::Txn(txn), Some(late)) = (request, &meetings.late_writes) {
            let meant = !late.changes_only || !txn.changes.is_empty();
            if late.until > now && meant && rng.random_bool(late.share) {
                meetings.late += 1;
                return (rng.random_range(LATE_MS), 0);
            }
        }
        match meetings.slow.filter(|s| s.1 > now) {
            Some((usual, _)) => {
                let all = rng.random_range(usual / 2..usual * 2);
                let there = rng.random_range(0..=all);
                (there, all - there)
            }
            None => (0, 0),
        }
    }

    /// From now on so large a share of transactions gets no answer and is carried out 2 to 12 s
    /// later, after newer ones of the same controller.
    pub fn late_writes(&mut self, share: f64, changes_only: bool, until: Ms) {
        self.meetings.late_writes = Some(LateWrites { share, changes_only, until });
        self.over_at(until.plus(LATE_MS.end));
    }

    /// The state service takes about so long to answer, whoever asks.
    pub fn slow(&mut self, usual_ms: u64, until: Ms) {
        self.meetings.slow = Some((usual_ms, until));
        self.over_at(until.plus(2 * usual_ms));
    }

    /// The state service refuses the controller, then everybody.
    pub fn refused_then_outage(&mut self, controller: usize, gap_ms: u64, outage_ms: u64) {
        let (begins, until) = (self.now.plus(gap_ms), self.now.plus(gap_ms + outage_ms));
        self.store_cut[controller] = self.store_cut[controller].max(begins);
        self.at(gap_ms, SimulationEvent::Outage { until });
        self.over_at(until);
    }

    /// Whatever is told the machine, by command or by answer, comes at the end of that time.
    pub fn hold_orders(&mut self, machine: &MachineId, for_ms: u64) {
        let until = self.now.plus(for_ms);
        self.meetings.held.insert(machine.clone(), until);
        self.over_at(until);
    }

    /// The machine stands still and then goes on with whatever has come for it.
    pub fn hang(&mut self, machine: &MachineId, for_ms: u64) {
        self.hung.insert(machine.clone(), self.now.plus(for_ms));
    }

    /// Holds orders to a machine up; true if they are.
    pub(super) fn orders_held(&mut self, event: &SimulationEvent) -> bool {
        let SimulationEvent::Orders { controller, life, machine, orders, .. } = event else {
            return false;
        };
        let Some(until) = self.meetings.held_until(machine, self.now) else { return false };
        let (controller, life, machine, orders) =
            (*controller, *life, machine.clone(), orders.clone());
        self.meetings.held_orders += 1;
        let answer = Box::new(Event::OrderResult { machine: machine.clone(), heartbeat: None });
        self.at(ORDER_MS, SimulationEvent::Controller(controller, life, answer));
        let ms = until.since(self.now) + 1;
        self.at(ms, SimulationEvent::Orders { controller, life, machine, orders, answered: false });
        true
    }

    /// The controller ends and is back within a second; once a pool of its has a new token or a
    /// new owner it ends again.
    pub fn over_and_back(&mut self, controller: usize) {
        let pools = self.holders().into_iter().filter(|h| h.1 .0 == controller);
        let version = |w: &World, p: &PoolId| w.store.get(&records::pool_key(p)).map(|i| i.version);
        let tokens = pools.map(|(p, _)| (p.clone(), version(self, &p))).collect();
        let back_ms = self.rng.random_range(100..900);
        self.crash(controller, back_ms);
        let until = self.now.plus(25_000);
        self.over_at(until.plus(6_000));
        self.at(back_ms + 50, SimulationEvent::OnceMoved { controller, tokens, until });
    }

    pub(super) fn once_moved(
        &mut self,
        controller: usize,
        tokens: BTreeMap<PoolId, Option<Version>>,
        until: Ms,
    ) {
        let moved = tokens
            .iter()
            .any(|(p, t)| self.store.get(&records::pool_key(p)).map(|i| i.version) != *t);
        if moved || self.now >= until {
            let back_ms = self.rng.random_range(100..6_000);
            return self.crash(controller, back_ms);
        }
        self.at(100, SimulationEvent::OnceMoved { controller, tokens, until });
    }

    /// All controllers end within a second; one is back at once, the others much later.
    pub fn all_but_one(&mut self) {
        let one = self.rng.random_range(0..self.controllers.len());
        for controller in 0..self.controllers.len() {
            let at = self.rng.random_range(0..1_000);
            let back_ms = match controller == one {
                true => self.rng.random_range(50..400),
                false => self.rng.random_range(10_000..30_000),
            };
            self.at(at, SimulationEvent::Ends { controller, back_ms });
            self.over_at(self.now.plus(at + back_ms));
        }
    }

    pub(super) fn over_at(&mut self, at: Ms) {
        self.meetings.over = self.meetings.over.max(at);
    }

    /// One of these troubles, drawn in all that is left open.
    pub(super) fn meeting(&mut self, kind: Fault, controller: usize, until: Ms) {
        let most = self.most().unwrap_or(controller);
        match kind {
            Fault::LateWrites => {
                let share = [0.1, 0.3, 0.6][self.rng.random_range(0..3)];
                let changes_only = self.rng.random_bool(0.5);
                self.late_writes(share, changes_only, until);
            }
            Fault::Slow => {
                let usual = self.rng.random_range(200..1_200);
                self.slow(usual, until);
            }
            Fault::RefusedThenOutage => {
                let gap = self.rng.random_range(1_000..20_000);
                let outage = self.size.cancel_ms + self.rng.random_range(2_000..15_000);
                self.refused_then_outage(most, gap, outage);
            }
            Fault::HeldOrders => {
                let hangs = self.rng.random_bool(0.5);
                let shorter = self.rng.random_bool(0.5);
                let lease_ms = self.size.lease_ms;
                for _ in 0..self.rng.random_range(1..5) {
                    let Some(machine) = self.some_machine() else { return };
                    let for_ms = match shorter {
                        true => self.rng.random_range(2_000..lease_ms - 1_000),
                        false => self.rng.random_range(lease_ms + 500..lease_ms * 5 / 2),
                    };
                    match hangs {
                        true => self.hang(&machine, for_ms),
                        false => self.hold_orders(&machine, for_ms),
                    }
                }
            }
            Fault::OverAndBack => self.over_and_back(most),
            Fault::AllButOne => self.all_but_one(),
            _ => {}
        }
    }
}
