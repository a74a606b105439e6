//! Limits of the HTTP server with more machines than are supported.

use cleatfold_ingress::{ConnectionTable, RequestClass, RequestQueue};

const MACHINES: u64 = 4_500;
/// The default maximum of sockets of a controller.
const DEFAULT_MAX_SOCKETS: usize = 8_192;

#[test]
fn heartbeats_of_all_workers_fit_into_one_request_queue() {
    for class in [RequestClass::BusyHeartbeat, RequestClass::IdleHeartbeat] {
        let mut request_queue = RequestQueue::default();
        for worker in 0..MACHINES {
            assert_eq!(request_queue.push(class, 0, worker), None, "{class:?}");
        }
        let served = (0..MACHINES).filter(|_| request_queue.pop(1).is_some()).count();
        assert_eq!(served as u64, MACHINES, "{class:?}");
    }
}

#[test]
fn connections_of_all_workers_and_users_fit_into_table() {
    let mut connections = ConnectionTable::new(DEFAULT_MAX_SOCKETS, 30_000);
    for at in 0..MACHINES {
        let (connection, closed) = connections.open(at);
        assert_eq!(closed, None, "at {at} connections");
        connections.record_request(connection, at, true, true);
        connections.record_request(connection, at, false, true);
    }
    for at in MACHINES..MACHINES + 3_000 {
        let (_, closed) = connections.open(at);
        assert_eq!(closed, None, "at {at} connections");
    }
}
