//! Fake of the cloud API: creates, deletes and lists machines.

use cleatfold_wire::cloud::{ListedMachine, MachineState, MachineType, ScaleOutRequest};
use cleatfold_wire::{MachineId, Ms, TypeId, ZoneId};
use std::collections::BTreeMap;

/// A machine that was created and not deleted.
pub struct FakeMachine {
    /// The machine's type.
    pub machine_type: TypeId,
    /// The machine's zone.
    pub zone: ZoneId,
    /// Whether the cloud may reclaim the machine at any time.
    pub spot: bool,
    /// When the machine was requested.
    pub requested_at: Ms,
    /// When the machine finishes booting.
    pub booted_at: Ms,
}

/// A fake of the cloud.
#[derive(Default)]
pub struct Cloud {
    /// Available machine types.
    pub types: Vec<MachineType>,
    /// Existing machines, including those that are still booting.
    pub machines: BTreeMap<MachineId, FakeMachine>,
    /// Maximum number of machines.
    pub capacity: usize,
    /// Age below which machines are missing from the list.
    pub list_lag_ms: u64,
    /// Scale-out requests in order of arrival, with the number of machines that each created. A
    /// repeated request creates none.
    pub scale_out_log: Vec<(Ms, ScaleOutRequest, usize)>,
    created_by_request: BTreeMap<String, Vec<MachineId>>,
    next_id: u64,
}

impl Cloud {
    /// Creates machines, or returns those of the same earlier request. `None` if there is no capacity
    /// or no such machine type.
    pub fn scale_out(&mut self, now: Ms, request: &ScaleOutRequest) -> Option<Vec<MachineId>> {
        if let Some(ids) = self.created_by_request.get(&request.request) {
            self.scale_out_log.push((now, request.clone(), 0));
            return Some(ids.clone());
        }
        let machine_type = self.types.iter().find(|t| t.name == request.machine_type)?;
        let boot_ms = (machine_type.boot_s * 1000.0) as u64;
        let mut ids = Vec::new();
        for _ in 0..request.count {
            if self.machines.len() >= self.capacity {
                break;
            }
            let id = MachineId::new(format!("vm-{:06}", self.next_id));
            self.next_id += 1;
            self.machines.insert(
                id.clone(),
                FakeMachine {
                    machine_type: request.machine_type.clone(),
                    zone: request.zone.clone(),
                    spot: request.spot,
                    requested_at: now,
                    booted_at: now.plus(boot_ms),
                },
            );
            ids.push(id);
        }
        self.scale_out_log.push((now, request.clone(), ids.len()));
        if ids.is_empty() {
            return None;
        }
        self.created_by_request.insert(request.request.clone(), ids.clone());
        Some(ids)
    }

    /// Deletes machines.
    pub fn delete(&mut self, ids: &[MachineId]) {
        for id in ids {
            self.machines.remove(id);
        }
    }

    /// Lists the machines that are older than the list's lag.
    pub fn list(&self, now: Ms) -> Vec<ListedMachine> {
        self.machines
            .iter()
            .filter(|(_, m)| now.since(m.requested_at) >= self.list_lag_ms)
            .map(|(id, m)| ListedMachine {
                id: id.clone(),
                endpoint: Some(format!("{id}:9000")),
                machine_type: m.machine_type.clone(),
                zone: m.zone.clone(),
                spot: m.spot,
                state: if m.booted_at <= now {
                    MachineState::Running
                } else {
                    MachineState::Booting
                },
                age_s: now.since(m.requested_at) as f64 / 1000.0,
            })
            .collect()
    }
}
