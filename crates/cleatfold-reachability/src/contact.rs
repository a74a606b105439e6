//! What this controller hears of one zone's workers.

use cleatfold_wire::{MachineId, Ms, ZoneId};
use std::collections::BTreeSet;

/// From the workers' report interval.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    /// Time between two heartbeats of a worker.
    pub heartbeat_interval_ms: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Self { heartbeat_interval_ms: 1000 }
    }
}

/// Nothing is asked more often than this, and quiet zones no more often than `SELDOM_MS`.
const OFTEN_MS: u64 = 1_000;
const SELDOM_MS: u64 = 5_000;
/// So many questions in a row were not answered, by as many machines where there are so many: it is
/// not the machines.
const UNANSWERED: usize = 3;

impl Timing {
    /// How long a zone of which so many machines report to us may be quiet before it is asked: three
    /// reports should have come, and never sooner than a second or two; machines that report to
    /// others are asked from time to time.
    fn quiet_ms(&self, reporting: usize) -> u64 {
        match reporting {
            0 => SELDOM_MS,
            n => (3 * self.heartbeat_interval_ms / n as u64)
                .clamp(1_500, 2 * self.heartbeat_interval_ms + 1_500),
        }
    }
}

/// A question to be put to a machine.
#[derive(Clone, Debug, PartialEq)]
pub struct Probe {
    /// The machine's zone.
    pub zone: ZoneId,
    /// The machine.
    pub machine: MachineId,
}

/// The contact with one zone's workers.
#[derive(Clone, Debug, Default)]
pub struct Contact {
    last_contact: Ms,
    asked: Ms,
    /// Turns the questions over the machines.
    turn: usize,
    /// Questions that were not answered since anything was heard, and the machines they went to.
    in_vain: usize,
    unanswered: BTreeSet<MachineId>,
    /// Machines of the zone that are up.
    machines: usize,
}

impl Contact {
    /// Something was heard of a worker.
    pub fn note_contact(&mut self, now: Ms) {
        self.last_contact = now;
        self.in_vain = 0;
        self.unanswered.clear();
    }

    /// A machine did not answer a question.
    pub fn unanswered(&mut self, machine: &MachineId) {
        self.in_vain += 1;
        self.unanswered.insert(machine.clone());
    }

    /// When a worker was last heard of.
    pub fn last_contact(&self) -> Ms {
        self.last_contact
    }

    /// Whether the zone's workers are out of reach.
    pub fn is_lost(&self) -> bool {
        self.in_vain >= UNANSWERED && self.unanswered.len() >= self.machines.min(UNANSWERED)
    }

    /// What was noted before says nothing any more.
    pub fn begin_anew(&mut self, now: Ms) {
        (self.last_contact, self.asked) = (now, now);
        self.in_vain = 0;
        self.unanswered.clear();
    }

    /// The question that should be put to a machine now, if any.
    pub fn probe(
        &mut self,
        timing: &Timing,
        now: Ms,
        zone: &ZoneId,
        machines: &[MachineId],
        reporting: usize,
        doubted: bool,
    ) -> Option<Probe> {
        self.machines = machines.len();
        // Whether it is the machines or whoever lost them is for the others to say, soon.
        let quiet = doubted || now.since(self.last_contact) >= timing.quiet_ms(reporting);
        // Once something seems wrong, three answers, or none, are wanted soon.
        let pause = match (reporting, self.in_vain) {
            (0, 0) if !doubted => SELDOM_MS,
            _ => OFTEN_MS,
        };
        if machines.is_empty() || !quiet || now.since(self.asked) < pause {
            return None;
        }
        self.asked = now;
        self.turn += 1;
        // Far apart in the order: machines that were rented together fall together.
        let step = machines.len() / 2 + 1;
        let machine = machines[self.turn.wrapping_mul(step) % machines.len()].clone();
        Some(Probe { zone: zone.clone(), machine })
    }
}
