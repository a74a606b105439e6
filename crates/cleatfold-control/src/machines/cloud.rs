//! Calls to the cloud, and what its answers say of machines.

use crate::controller::{Controller, Pending};
use crate::effects::{CloudReply, CloudRequest};
use crate::jobs::state::EndReason;
use crate::machines::inventory::Machine;
use cleatfold_roles::Role;
use cleatfold_wire::cloud::{ListedMachine, MachineState};
use cleatfold_wire::{Ms, PoolId};

/// The last answers of the cloud, and the calls for them that are under way.
#[derive(Debug, Default)]
pub(crate) struct CloudState {
    /// When machine types and prices were last known to be current.
    pub types_at: Option<Ms>,
    types_requested: bool,
    /// When the list of machines last came whole.
    pub list_at: Option<Ms>,
    list_requested: bool,
    /// Pages of a list that has not come whole yet.
    listed: Vec<ListedMachine>,
}

impl Controller {
    /// Half of the cloud's rate is for whoever rents, the others share the rest.
    pub(crate) fn cloud_spacing_ms(&self) -> u64 {
        let others = self.cfg.peers.len();
        let share = match (others, self.holds(Role::ScaleOut)) {
            (0, _) => 1.0,
            (_, true) => 0.5,
            (n, false) => 0.5 / n as f64,
        };
        (1000.0 / (self.cfg.cloud_calls_per_s * share).max(0.1)) as u64
    }

    /// Looking takes at most half of our calls, however many pages the list has.
    fn list_ms(&self) -> u64 {
        let pages = 1 + self.inventory.machines.len() as u64 / 500;
        (2 * pages * self.cloud_spacing_ms()).max(4000)
    }

    pub(crate) fn keep_cloud(&mut self) {
        let types_due = self.cloud_state.types_at.is_none_or(|at| self.now.since(at) > 60_000);
        if types_due && !self.cloud_state.types_requested {
            self.cloud_state.types_requested = true;
            self.cloud(CloudRequest::Types, Pending::Types);
        }
        let list_due =
            self.cloud_state.list_at.is_none_or(|at| self.now.since(at) > self.list_ms());
        if list_due && !self.cloud_state.list_requested && self.cloud_state.types_at.is_some() {
            self.cloud_state.list_requested = true;
            let sent = self.now;
            self.cloud_state.listed.clear();
            self.cloud(CloudRequest::List { from: None }, Pending::List { sent });
        }
    }

    pub(crate) fn on_cloud(&mut self, op: u64, reply: CloudReply) {
        match (self.calls.pending.remove(&op), reply) {
            (Some(Pending::Types), reply) => {
                self.cloud_state.types_requested = false;
                match reply {
                    // A list of none says nothing: whoever went by it would refuse every job for good.
                    CloudReply::Types(types) if !types.is_empty() => {
                        self.inventory.types =
                            types.into_iter().map(|t| (t.name.clone(), t)).collect();
                        self.cloud_state.types_at = Some(self.now);
                    }
                    _ if self.cloud_state.types_at.is_some() => {
                        self.cloud_state.types_at = Some(self.now)
                    }
                    _ => {}
                }
            }
            (Some(Pending::List { sent }), CloudReply::List { machines, more }) => {
                self.cloud_state.listed.extend(machines);
                match self.cloud_state.listed.last().map(|m| m.id.clone()) {
                    Some(last) if more => {
                        self.cloud(CloudRequest::List { from: Some(last) }, Pending::List { sent })
                    }
                    _ => {
                        self.cloud_state.list_requested = false;
                        self.cloud_state.list_at = Some(self.now);
                        let list = std::mem::take(&mut self.cloud_state.listed);
                        self.on_list(list);
                    }
                }
            }
            (Some(Pending::List { .. }), _) => {
                self.cloud_state.list_requested = false;
                self.cloud_state.list_at =
                    self.cloud_state.list_at.map(|_| Ms(self.now.0.saturating_sub(2500)));
            }
            (Some(Pending::ScaleOut { request, tries }), reply) => {
                self.on_scale_out(request, tries, reply)
            }
            (Some(Pending::Delete { machines }), CloudReply::Deleted) => {
                for id in machines {
                    self.on_machine_gone(&id, EndReason::MachineDeleted, None);
                    self.inventory.note_deleted(&id);
                }
                self.replan_needed = true;
            }
            (Some(Pending::Delete { machines }), _) => {
                for id in machines {
                    if let Some(m) = self.inventory.machines.get_mut(&id) {
                        m.deleting = false;
                    }
                }
            }
            _ => {}
        }
    }

    fn on_list(&mut self, list: Vec<ListedMachine>) {
        let now = self.now;
        self.inventory.listed_at = now;
        for listed in &list {
            if self.inventory.is_deleted(&listed.id) {
                continue;
            }
            let pool =
                PoolId { machine_type: listed.machine_type.clone(), zone: listed.zone.clone() };
            let machine = self.inventory.machines.entry(listed.id.clone()).or_insert_with(|| {
                self.replan_needed = true;
                let mut m = Machine::new(pool.clone(), listed.spot, now);
                m.born = Ms(now.0.saturating_sub((listed.age_s * 1000.0) as u64));
                m
            });
            machine.listed_at = now;
            machine.was_listed = true;
            if machine.endpoint.is_none() {
                machine.endpoint.clone_from(&listed.endpoint);
            }
            // An old list must not take a reporting machine back to booting.
            if machine.heartbeat.is_none() || listed.state == MachineState::Failed {
                machine.listed = Some(listed.state);
            }
        }
        let silent = 30_000 + 2 * self.cfg.list_lag_ms;
        let claims = &self.cache.claims;
        self.inventory.machines.retain(|id, m| {
            now.since(m.listed_at) < silent
                || m.last_heartbeat().is_some_and(|h| now.since(h) < silent)
                || claims.contains_key(id)
        });
    }

    /// Whether a machine that reports to another controller may still be there: it is in the last list, or no list has
    /// named it yet. Decides what is rented, nothing else.
    pub(crate) fn may_be_there(&self, machine: &Machine) -> bool {
        let last_heartbeat = machine
            .last_heartbeat()
            .is_some_and(|at| self.now.since(at) <= self.heartbeat_timeout_ms());
        let listed = machine.listed_at >= self.inventory.listed_at;
        last_heartbeat || listed || !machine.was_listed
    }
}
