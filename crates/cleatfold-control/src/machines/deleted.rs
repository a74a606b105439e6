//! Machines that are known to be deleted.

use cleatfold_wire::MachineId;
use std::collections::{BTreeSet, VecDeque};

/// The most recently deleted machines, by name.
///
/// A deletion is proven by the cloud's response. Heartbeats, scale-out responses and machine lists
/// that were in flight at that time still name the machine; a machine in this set is not added to
/// the inventory again.
#[derive(Debug, Default)]
pub struct DeletedMachines {
    names: BTreeSet<MachineId>,
    /// The same names, the oldest deletion first.
    order: VecDeque<MachineId>,
}

impl DeletedMachines {
    /// How many deletions are remembered. Several times the largest supported number of machines
    /// (4,000): all of them may be returned and replaced within the lag of the cloud's list.
    pub const CAPACITY: usize = 16_384;

    /// Whether the machine is known to be deleted.
    pub fn contains(&self, machine: &MachineId) -> bool {
        self.names.contains(machine)
    }

    /// Remembers a deletion; forgets the oldest one beyond the capacity.
    pub fn insert(&mut self, machine: &MachineId) {
        if self.names.insert(machine.clone()) {
            self.order.push_back(machine.clone());
        }
        while self.order.len() > Self::CAPACITY {
            if let Some(oldest) = self.order.pop_front() {
                self.names.remove(&oldest);
            }
        }
    }
}
