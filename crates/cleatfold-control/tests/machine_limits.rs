//! Bounds on a controller's memory of deleted machines, tested with more machines than are supported.

use cleatfold_control::DeletedMachines;
use cleatfold_wire::MachineId;

const MACHINE_COUNT: usize = 4_500;

fn machine(number: usize) -> MachineId {
    MachineId::new(format!("vm-{number:06}"))
}

#[test]
fn all_machines_deleted_at_once_are_remembered() {
    let mut deleted = DeletedMachines::default();
    for number in 0..MACHINE_COUNT {
        deleted.insert(&machine(number));
    }
    let forgotten: Vec<usize> =
        (0..MACHINE_COUNT).filter(|n| !deleted.contains(&machine(*n))).collect();
    assert!(forgotten.is_empty(), "{} forgotten", forgotten.len());
    assert!(!deleted.contains(&machine(MACHINE_COUNT)));
}

#[test]
fn deleted_machines_are_bounded_and_evict_oldest() {
    let mut deleted = DeletedMachines::default();
    let inserted = DeletedMachines::CAPACITY + 100;
    for number in 0..inserted {
        deleted.insert(&machine(number));
        deleted.insert(&machine(number));
    }
    let kept: Vec<usize> = (0..inserted).filter(|n| deleted.contains(&machine(*n))).collect();
    assert_eq!(kept, (100..inserted).collect::<Vec<_>>());
}
