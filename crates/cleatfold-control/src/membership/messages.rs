//! Handling of mesh messages from the other controllers. All of them are hints: what is
//! authoritative is recorded in the state service.

use crate::controller::Controller;
use cleatfold_wire::mesh::Message;
use cleatfold_wire::{ControllerId, FencingToken, ImageId, MachineId, Ms, PoolId};

impl Controller {
    /// Handles a message from a peer.
    pub(crate) fn on_mesh(&mut self, from: ControllerId, message: Message) {
        self.reachability.view.peers.record_message(&from, self.now);
        match message {
            Message::Heartbeat { contact_age_ms } => {
                let read_at = Ms(self.now.0.saturating_sub(contact_age_ms));
                self.reachability.view.peers.record_store_read(&from, read_at);
            }
            Message::Changed => {
                self.session.sync_wanted = true;
                self.sync_if_due();
            }
            Message::Images { machines } => {
                for (id, images) in machines {
                    let id = MachineId::new(id);
                    let Some(machine) = self.inventory.machines.get_mut(&id) else { continue };
                    if !self.pools.owned.contains_key(&machine.pool) {
                        machine.images = images
                            .into_iter()
                            .map(|(image, gb)| (ImageId::new(image), gb))
                            .collect();
                    }
                }
            }
            Message::MachinesCreated { pool, spot, machines } => {
                if let Some(pool) = PoolId::parse(&pool) {
                    let machines = machines.into_iter().map(MachineId::new).collect();
                    self.add_created_machines(&pool, spot, machines);
                }
            }
            Message::Cancelled { jobs } => self.on_cancellation(from, jobs),
            Message::CancelledAck { jobs } => self.on_cancellation_ack(&from, &jobs),
            Message::ZoneContact { zones } => self.on_zone_contacts(&from, zones),
            Message::Assign { pools, jobs } => self.on_assign(&from, pools, jobs),
            Message::Promises { pool, token, promises } => {
                let Some(pool) = PoolId::parse(&pool) else {
                    return;
                };
                let token = FencingToken(token);
                let known_token = self
                    .cache
                    .pools
                    .get(&pool)
                    .map(|ownership| ownership.token)
                    .unwrap_or_default();
                if token > known_token {
                    self.pools.superseded_by.insert(pool.clone(), (from, token));
                    self.session.sync_wanted = true;
                }
                if token >= known_token {
                    self.planning.record_remote_promises(pool, token, self.now, promises);
                    self.replan_needed = true;
                }
            }
        }
    }
}
