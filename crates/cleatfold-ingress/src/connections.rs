//! Bounds the number of HTTP connections and selects the ones to close.

use std::collections::BTreeMap;

/// Identifies a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// The state of a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Connection {
    /// When a request last began or ended on it.
    pub last_active_ms: u64,
    /// Whether a request is being processed.
    pub is_busy: bool,
    /// Whether it has carried a worker's heartbeat.
    pub is_worker: bool,
}

/// The connections of the HTTP server. Above `max_connections` the connection that is idle longest
/// is closed, users' before workers': a worker's connection is used again within a heartbeat
/// interval, and opening a new one costs more than the heartbeat.
#[derive(Debug)]
pub struct ConnectionTable {
    max_connections: usize,
    idle_timeout_ms: u64,
    last_id: u64,
    connections: BTreeMap<ConnectionId, Connection>,
}

/// A request may occupy its connection for at most this time. A client behind a network partition
/// cannot close its abandoned request.
const REQUEST_TIMEOUT_MS: u64 = 20_000;

impl ConnectionTable {
    /// Creates a table. `max_sockets`: all sockets of the process. `idle_timeout_ms`: a connection
    /// without a request for this time is closed.
    pub fn new(max_sockets: usize, idle_timeout_ms: u64) -> Self {
        // Reserved for the state service, the cloud, the mesh and commands to workers: a controller
        // with many user connections must still be able to renew its lease.
        let reserved = (max_sockets / 8).clamp(16, 512);
        Self {
            max_connections: max_sockets.saturating_sub(reserved).max(8),
            idle_timeout_ms,
            last_id: 0,
            connections: BTreeMap::new(),
        }
    }

    /// Adds a connection. Also returns the one to close for it, if any, which may be the new one.
    pub fn open(&mut self, now: u64) -> (ConnectionId, Option<ConnectionId>) {
        self.last_id += 1;
        let id = ConnectionId(self.last_id);
        self.connections
            .insert(id, Connection { last_active_ms: now, is_busy: false, is_worker: false });
        if self.connections.len() <= self.max_connections {
            return (id, None);
        }
        let idle = self.connections.iter().filter(|(other, c)| **other != id && !c.is_busy);
        let evicted = idle.min_by_key(|(_, c)| (c.is_worker, c.last_active_ms)).map(|(id, _)| *id);
        (id, Some(evicted.unwrap_or(id)))
    }

    /// Removes a closed connection.
    pub fn close(&mut self, id: ConnectionId) {
        self.connections.remove(&id);
    }

    /// Records that a request began (`is_busy`) or ended on the connection.
    pub fn record_request(&mut self, id: ConnectionId, now: u64, is_busy: bool, is_worker: bool) {
        if let Some(connection) = self.connections.get_mut(&id) {
            (connection.last_active_ms, connection.is_busy) = (now, is_busy);
            connection.is_worker |= is_worker;
        }
    }

    /// Connections whose idle or request timeout has expired.
    pub fn expired(&self, now: u64) -> Vec<ConnectionId> {
        let timeout_ms =
            |c: &Connection| if c.is_busy { REQUEST_TIMEOUT_MS } else { self.idle_timeout_ms };
        let expired = self
            .connections
            .iter()
            .filter(|(_, c)| now.saturating_sub(c.last_active_ms) > timeout_ms(c));
        expired.map(|(id, _)| *id).collect()
    }

    /// The number of connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Whether there are no connections.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }
}
