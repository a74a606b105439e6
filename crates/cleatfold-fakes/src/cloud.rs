//! The cloud: rents and deletes machines.

use cleatfold_wire::cloud::{ListedMachine, MachineState, MachineType, ScaleOutRequest};
use cleatfold_wire::{MachineId, Ms, TypeId, ZoneId};
use std::collections::BTreeMap;

pub struct Rented {
    pub machine_type: TypeId,
    pub zone: ZoneId,
    pub spot: bool,
    pub at: Ms,
    pub up: Ms,
}

#[derive(Default)]
pub struct Cloud {
    pub types: Vec<MachineType>,
    pub machines: BTreeMap<MachineId, Rented>,
    /// How many machines may exist.
    pub capacity: usize,
    /// How old the list is.
    pub lag_ms: u64,
    /// Requests as they came, and how many machines each rented anew.
    pub asked: Vec<(Ms, ScaleOutRequest, usize)>,
    requests: BTreeMap<String, Vec<MachineId>>,
    next: u64,
}

impl Cloud {
    /// The machines rented; `None` where there is no capacity.
    pub fn rent(&mut self, now: Ms, request: &ScaleOutRequest) -> Option<Vec<MachineId>> {
        if let Some(before) = self.requests.get(&request.request) {
            self.asked.push((now, request.clone(), 0));
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
                Rented {
                    machine_type: request.machine_type.clone(),
                    zone: request.zone.clone(),
                    spot: request.spot,
                    at: now,
                    up: now.plus(boot_ms),
                },
            );
            names.push(id);
        }
        self.asked.push((now, request.clone(), names.len()));
        if names.is_empty() {
            return None;
        }
        self.requests.insert(request.request.clone(), names.clone());
        Some(names)
    }

    pub fn delete(&mut self, ids: &[MachineId]) {
        for id in ids {
            self.machines.remove(id);
        }
    }

    pub fn list(&self, now: Ms) -> Vec<ListedMachine> {
        self.machines
            .iter()
            .filter(|(_, m)| now.since(m.at) >= self.lag_ms)
            .map(|(id, m)| ListedMachine {
                id: id.clone(),
                endpoint: Some(format!("{id}:9000")),
                machine_type: m.machine_type.clone(),
                zone: m.zone.clone(),
                spot: m.spot,
                state: if m.up <= now { MachineState::Running } else { MachineState::Booting },
                age_s: now.since(m.at) as f64 / 1000.0,
            })
            .collect()
    }
}
