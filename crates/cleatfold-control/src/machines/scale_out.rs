//! Scaling out, by the controller that holds the scale-out role: an intent is written before the
//! call.
//!
//! The cloud cannot tell a former holder of the role from its successor. Every request is therefore
//! first recorded as an intent under the role's epoch: a former holder's write fails, so it makes
//! no request. The successor repeats the recorded requests under the same names.

use crate::controller::{Controller, EventNumber, Pending};
use crate::effects::{CallPriority, CloudReply, CloudRequest, StoreReply, StoreRequest};
use crate::machines::inventory::Machine;
use crate::machines::shortfall::{DemandTotals, Offer, Shortfalls};
use crate::store::cache::Versioned;
use crate::store::records::SCALE_OUT_KEY;
use cleatfold_roles::scale_out::ScaleOutStep;
use cleatfold_roles::{Role, ScaleOutIntent, ScaleOutOutcome, ScaleOutTracker};
use cleatfold_wire::cloud::ScaleOutRequest;
use cleatfold_wire::mesh::Message;
use cleatfold_wire::store::Txn;
use cleatfold_wire::{MachineId, Ms, PoolId};

const SCALE_OUT_INTERVAL_MS: u64 = 500;
/// A job that has waited for longer than this without a request to the cloud is explained in the log.
const EXPLAINED_WAIT_S: f64 = 30.0;
/// Time between two such explanations.
const EXPLANATION_INTERVAL_MS: u64 = 10_000;
/// Maximum number of open intents in the record.
const MAX_OPEN_INTENTS: usize = 4;
/// Machines that one request may ask for, by the cloud's protocol.
const MAX_MACHINES_PER_REQUEST: u32 = 50;

/// State of the scale-out role.
#[derive(Debug, Default)]
pub(crate) struct ScaleOutState {
    pub tracker: ScaleOutTracker,
    request_counter: u64,
    last_checked: Ms,
    write_in_flight: bool,
    /// The event at which the reply to a write arrived without confirming it. The cache may lack the effect of
    /// the write until a read that was sent later has completed.
    unconfirmed_since: Option<EventNumber>,
    /// When the log last said why no machine is requested for jobs that wait.
    explained_at: Ms,
}

impl Controller {
    /// Requests machines for the CPU shortfall, while this controller holds the role and is in
    /// contact with the state service.
    pub(crate) fn maintain_scale_out(&mut self) {
        let is_due = self.now.since(self.scale_out.last_checked)
            >= SCALE_OUT_INTERVAL_MS * self.backpressure;
        if !is_due
            || !self.holds(Role::ScaleOut)
            || !self.has_store_contact()
            || self.cloud_state.list_read_at.is_none()
        {
            return;
        }
        self.scale_out.last_checked = self.now;
        let is_read =
            self.scale_out.unconfirmed_since.is_none_or(|since| self.session.has_read_since(since));
        if self.scale_out.write_in_flight || !is_read {
            return;
        }
        self.scale_out.unconfirmed_since = None;
        let new_intents = self.new_scale_out_intents();
        let Some(epoch) = self.epoch(Role::ScaleOut) else { return };
        let list_lag_ms = 2 * self.cfg.list_lag_ms + 5000;
        let Versioned { version, value: intents } = &self.cache.scale_out_intents;
        let times = (self.now, self.wall_ms);
        let Some(step) =
            self.scale_out.tracker.next_step(intents, epoch, new_intents, times, list_lag_ms)
        else {
            return;
        };
        let mut txn = Txn::default();
        txn.guard(SCALE_OUT_KEY, *version);
        txn.guard(Role::ScaleOut.key(), epoch);
        txn.put(SCALE_OUT_KEY, &step.record, None);
        self.scale_out.write_in_flight = true;
        self.call_store(
            CallPriority::Renewal,
            StoreRequest::Txn(txn),
            Pending::ScaleOutIntents(Box::new(step)),
        );
    }

    /// Intents for the largest shortfalls that have no open intent yet.
    fn new_scale_out_intents(&mut self) -> Vec<ScaleOutIntent> {
        let Some(incarnation) = self.session.incarnation else { return vec![] };
        // Intents that are answered but not yet removed from the record do not count as open.
        let pending = self.scale_out.tracker.pending(&self.cache.scale_out_intents.value);
        let open: Vec<Offer> = pending.map(Offer::of).collect();
        let free_slots = MAX_OPEN_INTENTS.saturating_sub(open.len());
        if free_slots == 0 {
            return vec![];
        }
        let mut new_intents = Vec::new();
        let Shortfalls { by_offer, totals } = self.shortfalls();
        if by_offer.is_empty() {
            self.explain_no_request(totals);
        }
        for (offer, shortfall) in by_offer {
            // At most one open intent per offer.
            if new_intents.len() >= free_slots || open.contains(&offer) {
                continue;
            }
            let Offer { pool, spot } = offer;
            let cpus =
                self.inventory.types.get(&pool.machine_type).map_or(1.0, |t| t.cpus.max(0.1));
            let count = ((shortfall / cpus).ceil() as u32).clamp(1, MAX_MACHINES_PER_REQUEST);
            self.scale_out.request_counter += 1;
            tracing::info!(%pool, spot, count, lack = shortfall, "scaling out");
            new_intents.push(ScaleOutIntent {
                name: format!(
                    "{}-{}-{}",
                    self.cfg.controller_id, incarnation, self.scale_out.request_counter
                ),
                machine_type: pool.machine_type,
                zone: pool.zone,
                spot,
                count,
                inherited: false,
            });
        }
        new_intents
    }

    /// Logs why no machine is requested for jobs that have waited for long.
    fn explain_no_request(&mut self, totals: DemandTotals) {
        let DemandTotals { longest_wait_s, needed, limited, covered } = totals;
        if longest_wait_s < EXPLAINED_WAIT_S
            || self.now.since(self.scale_out.explained_at) < EXPLANATION_INTERVAL_MS
        {
            return;
        }
        self.scale_out.explained_at = self.now;
        tracing::info!(longest_wait_s, needed, limited, covered, "no scale-out for waiting jobs");
    }

    /// Makes the cloud requests once their intents are durable.
    pub(crate) fn on_scale_out_written(&mut self, step: ScaleOutStep, reply: StoreReply) {
        self.scale_out.write_in_flight = false;
        match reply {
            StoreReply::Committed(version) => {
                if self.cache.scale_out_intents.version < version {
                    self.cache.scale_out_intents = Versioned::new(version, step.record);
                }
                self.scale_out.tracker.requests_sent(&step.requests);
                for intent in step.requests {
                    if intent.inherited {
                        tracing::info!(request = %intent.name, "repeating inherited scale-out request");
                    }
                    let request = intent.request();
                    let pending = Pending::ScaleOut { request: request.clone(), tries: 0 };
                    self.call_cloud(CloudRequest::ScaleOut(request), pending);
                }
            }
            // The write may have succeeded: the intents are then treated like those of a former
            // holder.
            _ => {
                self.scale_out.unconfirmed_since = Some(self.event);
                self.session.sync_wanted = true;
            }
        }
    }

    /// Handles the cloud's response to a scale-out request.
    pub(crate) fn on_scale_out(&mut self, request: ScaleOutRequest, tries: u32, reply: CloudReply) {
        let pool =
            PoolId { machine_type: request.machine_type.clone(), zone: request.zone.clone() };
        let outcome = match reply {
            CloudReply::Created(machines) => {
                tracing::info!(%pool, spot = request.spot, ?machines, "machines created");
                let is_short = (machines.len() as u32) < request.count;
                let names = machines.iter().map(|m| m.to_string()).collect();
                let message = Message::MachinesCreated {
                    pool: pool.to_string(),
                    spot: request.spot,
                    machines: names,
                };
                self.send_to_peers(None, message);
                self.add_created_machines(&pool, request.spot, machines);
                if is_short {
                    ScaleOutOutcome::Shortfall
                } else {
                    ScaleOutOutcome::Fulfilled
                }
            }
            CloudReply::NoCapacity => ScaleOutOutcome::Shortfall,
            // Requests are idempotent by name: a retry creates no further machines.
            _ if tries < 3 => {
                let pending = Pending::ScaleOut { request: request.clone(), tries: tries + 1 };
                return self.call_cloud(CloudRequest::ScaleOut(request), pending);
            }
            _ => ScaleOutOutcome::Unknown,
        };
        self.scale_out.tracker.record_outcome(&request.request, outcome, self.now);
    }

    /// Adds machines that the cloud has just created for this controller or for the holder of the
    /// scale-out role.
    pub(crate) fn add_created_machines(
        &mut self,
        pool: &PoolId,
        spot: bool,
        machines: Vec<MachineId>,
    ) {
        let now = self.now;
        for id in machines {
            if !self.inventory.is_deleted(&id) {
                let new_machine = || Machine::new(pool.clone(), spot, now);
                self.inventory.machines.entry(id).or_insert_with(new_machine);
            }
        }
        self.replan_needed = true;
    }
}
