//! The cloud: rents and deletes machines.

use cleatfold_wire::cloud::{ListedMachine, MachineState, MachineType, ScaleOutRequest};
use cleatfold_wire::{MachineId, Ms, TypeId, ZoneId};
use std::collections::BTreeMap;

/// A machine that exists.
pub struct FakeMachine {
    /// Its type.
    pub machine_type: TypeId,
    /// Where it is.
    pub zone: ZoneId,
    /// Whether it may be reclaimed.
    pub spot: bool,
    /// When it was requested.
    pub requested: Ms,
    /// When it has booted.
    pub booted: Ms,
}

/// A fake of the cloud.
#[derive(Default)]
pub struct Cloud {
    /// The types on offer.
    pub types: Vec<MachineType>,
    /// The machines that exist.
    pub machines: BTreeMap<MachineId, FakeMachine>,
    /// How many machines may exist.
    pub capacity: usize,
    /// How old the list is.
    pub lag_ms: u64,
    /// Requests as they came, and how many machines each rented anew.
    pub scale_out_log: Vec<(Ms, ScaleOutRequest, usize)>,
    requests: BTreeMap<String, Vec<MachineId>>,
    next: u64,
}

impl Cloud {
    /// The machines rented; `None` where there is no capacity.
    pub fn scale_out(&mut self, now: Ms, request: &ScaleOutRequest) -> Option<Vec<MachineId>> {
        if let Some(before) = self.requests.get(&request.request) {
            self.scale_out_log.push((now, request.clone(), 0));
            return Some(before.clone());
        }
        let kind = self.types.iter().find(|t| t.name == request.machine_type)?;
        let boot_ms = (kind.boot_s * 1000.0) as u64;
        let mut names = Vec::new();
        for _ in 0..request.count {
            if self.machines.len() >= self.capacity {
                break;
            }
            let id = MachineId::new(format!("vm-{:06}", self.next));
            self.next += 1;
            self.machines.insert(
                id.clone(),
                FakeMachine {
                    machine_type: request.machine_type.clone(),
                    zone: request.zone.clone(),
                    spot: request.spot,
                    requested: now,
                    booted: now.plus(boot_ms),
                },
            );
            names.push(id);
        }
        self.scale_out_log.push((now, request.clone(), names.len()));
        if names.is_empty() {
            return None;
        }
        self.requests.insert(request.request.clone(), names.clone());
        Some(names)
    }

    /// Deletes machines.
    pub fn delete(&mut self, ids: &[MachineId]) {
        for id in ids {
            self.machines.remove(id);
        }
    }

    /// The list of machines, as old as the cloud's lag.
    pub fn list(&self, now: Ms) -> Vec<ListedMachine> {
        self.machines
            .iter()
            .filter(|(_, m)| now.since(m.requested) >= self.lag_ms)
            .map(|(id, m)| ListedMachine {
                id: id.clone(),
                endpoint: Some(format!("{id}:9000")),
                machine_type: m.machine_type.clone(),
                zone: m.zone.clone(),
                spot: m.spot,
                state: if m.booted <= now { MachineState::Running } else { MachineState::Booting },
                age_s: now.since(m.requested) as f64 / 1000.0,
            })
            .collect()
    }
}
