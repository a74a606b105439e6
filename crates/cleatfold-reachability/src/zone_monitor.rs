//! Monitors the contact with one zone's workers and schedules probes of them.

use cleatfold_wire::{MachineId, Ms, ZoneId};
use std::collections::BTreeSet;

/// Time settings for probes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProbeTiming {
    /// Time between two heartbeats of a worker.
    pub heartbeat_interval_ms: u64,
}

impl Default for ProbeTiming {
    fn default() -> Self {
        Self { heartbeat_interval_ms: 1000 }
    }
}

/// Minimum time between two probes of a zone.
const MIN_PROBE_INTERVAL_MS: u64 = 1_000;
/// Minimum time between two probes of a zone without workers that report to this controller, unless
/// there is a sign of lost contact.
const IDLE_PROBE_INTERVAL_MS: u64 = 5_000;
/// A zone counts as lost after this many unanswered probes in a row, to as many different machines
/// if the zone has that many: then the machines are not the cause.
const LOST_AFTER_UNANSWERED: usize = 3;

impl ProbeTiming {
    /// Time without contact after which a zone is probed, if `reporting` of its machines report to
    /// this controller. In that time three heartbeats should have arrived; at least 1.5 s. Zones
    /// whose machines all report to other controllers are probed every `IDLE_PROBE_INTERVAL_MS`.
    fn probe_after_ms(&self, reporting: usize) -> u64 {
        match reporting {
            0 => IDLE_PROBE_INTERVAL_MS,
            n => (3 * self.heartbeat_interval_ms / n as u64)
                .clamp(1_500, 2 * self.heartbeat_interval_ms + 1_500),
        }
    }
}

/// A probe to send to a machine.
#[derive(Clone, Debug, PartialEq)]
pub struct Probe {
    /// The machine's zone.
    pub zone: ZoneId,
    /// The machine to probe.
    pub machine: MachineId,
}

/// The state of contact with one zone's workers.
#[derive(Clone, Debug, Default)]
pub struct ZoneMonitor {
    last_contact: Ms,
    last_probe: Ms,
    /// Selects the next machine to probe.
    next_machine: usize,
    /// Unanswered probes since the last contact, and the machines that were probed.
    unanswered_probes: usize,
    unanswered_machines: BTreeSet<MachineId>,
    /// Number of running machines in the zone.
    machine_count: usize,
}

impl ZoneMonitor {
    /// Records contact with a worker of the zone.
    pub fn record_contact(&mut self, now: Ms) {
        self.last_contact = now;
        self.unanswered_probes = 0;
        self.unanswered_machines.clear();
    }

    /// Records that a machine did not answer a probe.
    pub fn record_unanswered(&mut self, machine: &MachineId) {
        self.unanswered_probes += 1;
        self.unanswered_machines.insert(machine.clone());
    }

    /// Time of the last contact with a worker of the zone.
    pub fn last_contact(&self) -> Ms {
        self.last_contact
    }

    /// Whether this controller cannot reach the zone's workers.
    pub fn is_lost(&self) -> bool {
        self.unanswered_probes >= LOST_AFTER_UNANSWERED
            && self.unanswered_machines.len() >= self.machine_count.min(LOST_AFTER_UNANSWERED)
    }

    /// Discards the evidence collected so far, as if there had been contact now.
    pub fn reset(&mut self, now: Ms) {
        (self.last_contact, self.last_probe) = (now, now);
        self.unanswered_probes = 0;
        self.unanswered_machines.clear();
    }

    /// The probe to send now, if one is due.
    pub fn next_probe(
        &mut self,
        timing: &ProbeTiming,
        now: Ms,
        zone: &ZoneId,
        machines: &[MachineId],
        reporting: usize,
        peer_lost_zone: bool,
    ) -> Option<Probe> {
        self.machine_count = machines.len();
        // If a peer has lost the zone, a prompt probe shows whether the machines or the peer's
        // connection failed.
        let is_quiet =
            peer_lost_zone || now.since(self.last_contact) >= timing.probe_after_ms(reporting);
        // After a first unanswered probe, further results are needed soon.
        let interval_ms = match (reporting, self.unanswered_probes) {
            (0, 0) if !peer_lost_zone => IDLE_PROBE_INTERVAL_MS,
            _ => MIN_PROBE_INTERVAL_MS,
        };
        if machines.is_empty() || !is_quiet || now.since(self.last_probe) < interval_ms {
            return None;
        }
        self.last_probe = now;
        self.next_machine += 1;
        // Consecutive probes go to machines far apart in the list: machines that were created
        // together often fail together.
        let step = machines.len() / 2 + 1;
        let machine = machines[self.next_machine.wrapping_mul(step) % machines.len()].clone();
        Some(Probe { zone: zone.clone(), machine })
    }
}
