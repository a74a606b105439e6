//! Reads machine types and the machine list from the cloud, and handles its responses.

use crate::controller::{Controller, Pending};
use crate::effects::{CloudReply, CloudRequest};
use crate::jobs::state::EndReason;
use crate::machines::inventory::Machine;
use cleatfold_roles::Role;
use cleatfold_wire::cloud::{ListedMachine, MachineState};
use cleatfold_wire::{Ms, PoolId};

/// Freshness of the data read from the cloud, and the requests in flight.
#[derive(Debug, Default)]
pub(crate) struct CloudState {
    /// When machine types and prices were last read, or kept after a failed read.
    pub types_read_at: Option<Ms>,
    types_requested: bool,
    /// The time from which the next read of the machine list is due: when the last complete list
    /// arrived or, after a failed read, 2.5 s before the failure, so that the retry comes sooner.
    /// When the last complete list itself arrived is in `Inventory::list_received_at`.
    pub list_read_at: Option<Ms>,
    list_requested: bool,
    /// Machines from the pages of the list that have been received so far.
    partial_list: Vec<ListedMachine>,
}

impl Controller {
    /// Interval between calls to the cloud: the controller that scales out may use half of the
    /// cloud's rate limit, and the others share the rest.
    pub(crate) fn cloud_call_interval_ms(&self) -> u64 {
        let peer_count = self.cfg.peers.len();
        let share = match (peer_count, self.holds(Role::ScaleOut)) {
            (0, _) => 1.0,
            (_, true) => 0.5,
            (count, false) => 0.5 / count as f64,
        };
        (1000.0 / (self.cfg.cloud_calls_per_s * share).max(0.1)) as u64
    }

    /// Interval between reads of the machine list: they take at most half of this controller's
    /// calls, however many pages the list has.
    fn list_interval_ms(&self) -> u64 {
        let pages = 1 + self.inventory.machines.len() as u64 / 500;
        (2 * pages * self.cloud_call_interval_ms()).max(4000)
    }

    /// Reads machine types and the machine list again when they are due.
    pub(crate) fn maintain_cloud_state(&mut self) {
        let types_due = self.cloud_state.types_read_at.is_none_or(|at| self.now.since(at) > 60_000);
        if types_due && !self.cloud_state.types_requested {
            self.cloud_state.types_requested = true;
            self.call_cloud(CloudRequest::Types, Pending::Types);
        }
        let list_due = self
            .cloud_state
            .list_read_at
            .is_none_or(|at| self.now.since(at) > self.list_interval_ms());
        if list_due && !self.cloud_state.list_requested && self.cloud_state.types_read_at.is_some()
        {
            self.cloud_state.list_requested = true;
            let sent = self.now;
            self.cloud_state.partial_list.clear();
            self.call_cloud(CloudRequest::List { from: None }, Pending::List { sent });
        }
    }

    /// Handles a response from the cloud.
    pub(crate) fn on_cloud(&mut self, op: u64, reply: CloudReply) {
        match (self.calls.pending.remove(&op), reply) {
            (Some(Pending::Types), reply) => {
                self.cloud_state.types_requested = false;
                match reply {
                    // An empty list of machine types is ignored: with no types, every submitted job
                    // would be refused for good.
                    CloudReply::Types(types) if !types.is_empty() => {
                        self.inventory.types =
                            types.into_iter().map(|t| (t.name.clone(), t)).collect();
                        self.cloud_state.types_read_at = Some(self.now);
                    }
                    _ if self.cloud_state.types_read_at.is_some() => {
                        self.cloud_state.types_read_at = Some(self.now)
                    }
                    _ => {}
                }
            }
            (Some(Pending::List { sent }), CloudReply::List { machines, more }) => {
                self.cloud_state.partial_list.extend(machines);
                match self.cloud_state.partial_list.last().map(|m| m.id.clone()) {
                    Some(last) if more => self.call_cloud(
                        CloudRequest::List { from: Some(last) },
                        Pending::List { sent },
                    ),
                    _ => {
                        self.cloud_state.list_requested = false;
                        self.cloud_state.list_read_at = Some(self.now);
                        let list = std::mem::take(&mut self.cloud_state.partial_list);
                        self.on_machine_list(list);
                    }
                }
            }
            (Some(Pending::List { .. }), _) => {
                self.cloud_state.list_requested = false;
                self.cloud_state.list_read_at =
                    self.cloud_state.list_read_at.map(|_| Ms(self.now.0.saturating_sub(2500)));
            }
            (Some(Pending::ScaleOut { request, tries }), reply) => {
                self.on_scale_out(request, tries, reply)
            }
            (Some(Pending::Delete { machines }), CloudReply::Deleted) => {
                for id in machines {
                    self.end_machine_claims(&id, EndReason::MachineDeleted, None);
                    self.inventory.record_deletion(&id);
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

    /// Updates the inventory from a complete machine list, and removes machines that have been
    /// missing from the list, without heartbeats and without claims for long enough.
    fn on_machine_list(&mut self, list: Vec<ListedMachine>) {
        let now = self.now;
        self.inventory.list_received_at = now;
        for listed in &list {
            if self.inventory.is_deleted(&listed.id) {
                continue;
            }
            let pool =
                PoolId { machine_type: listed.machine_type.clone(), zone: listed.zone.clone() };
            let machine = self.inventory.machines.entry(listed.id.clone()).or_insert_with(|| {
                self.replan_needed = true;
                let mut m = Machine::new(pool.clone(), listed.spot, now);
                m.created_at = Ms(now.0.saturating_sub((listed.age_s * 1000.0) as u64));
                m
            });
            machine.last_listed_at = now;
            machine.ever_listed = true;
            if machine.endpoint.is_none() {
                machine.endpoint.clone_from(&listed.endpoint);
            }
            // A stale list must not set a reporting machine back to booting.
            if machine.heartbeat.is_none() || listed.state == MachineState::Failed {
                machine.state = Some(listed.state);
            }
        }
        let retention_ms = 30_000 + 2 * self.cfg.list_lag_ms;
        let claims = &self.cache.claims;
        self.inventory.machines.retain(|id, m| {
            now.since(m.last_listed_at) < retention_ms
                || m.last_heartbeat_at().is_some_and(|at| now.since(at) < retention_ms)
                || claims.contains_key(id)
        });
    }

    /// Whether a machine that may report to another controller may still exist: it has sent a
    /// heartbeat recently, is in the last list, or has not been in any list yet. Used only to
    /// decide how many machines to request.
    pub(crate) fn may_still_exist(&self, machine: &Machine) -> bool {
        let reported_recently = machine
            .last_heartbeat_at()
            .is_some_and(|at| self.now.since(at) <= self.heartbeat_timeout_ms());
        let in_last_list = machine.last_listed_at >= self.inventory.list_received_at;
        reported_recently || in_last_list || !machine.ever_listed
    }
}
