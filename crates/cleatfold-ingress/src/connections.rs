//! Connections: a bounded number, and who leaves for whom.

use std::collections::BTreeMap;

/// The number of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// What is known of a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Connection {
    /// When a request last began or ended on it.
    pub active: u64,
    /// A request is being worked on.
    pub busy: bool,
    /// It has brought a worker's report.
    pub worker: bool,
}

/// The connections of the HTTP server. What is above `most` is made room for by those that are
/// idle longest, users' before workers': a worker's connection is used again within a report's
/// interval, and a new one costs more than the report.
#[derive(Debug)]
pub struct ConnectionTable {
    most: usize,
    idle_ms: u64,
    next: u64,
    taken: BTreeMap<ConnectionId, Connection>,
}

/// An abandoned request (its asker is behind a cut and will never say so) holds its connection
/// no longer than this.
const ABANDONED_MS: u64 = 20_000;

impl ConnectionTable {
    /// `sockets`: all that the process may have. `idle_ms`: a connection without a request for
    /// so long is closed.
    pub fn new(sockets: usize, idle_ms: u64) -> Self {
        // The state service, the cloud, the mesh and orders to workers have theirs in any case:
        // a controller full of users must still be able to renew its lease.
        let kept = (sockets / 8).clamp(16, 512);
        Self { most: sockets.saturating_sub(kept).max(8), idle_ms, next: 0, taken: BTreeMap::new() }
    }

    /// A new connection; the one that has to be closed for it, which may be the new one itself.
    pub fn open(&mut self, now: u64) -> (ConnectionId, Option<ConnectionId>) {
        self.next += 1;
        let id = ConnectionId(self.next);
        self.taken.insert(id, Connection { active: now, busy: false, worker: false });
        if self.taken.len() <= self.most {
            return (id, None);
        }
        let idle = self.taken.iter().filter(|(other, s)| **other != id && !s.busy);
        let leaves = idle.min_by_key(|(_, s)| (s.worker, s.active)).map(|(id, _)| *id);
        (id, Some(leaves.unwrap_or(id)))
    }

    /// The connection is closed.
    pub fn close(&mut self, id: ConnectionId) {
        self.taken.remove(&id);
    }

    /// A request has begun (`busy`) or ended on the connection.
    pub fn note(&mut self, id: ConnectionId, now: u64, busy: bool, worker: bool) {
        if let Some(connection) = self.taken.get_mut(&id) {
            (connection.active, connection.busy) = (now, busy);
            connection.worker |= worker;
        }
    }

    /// Connections that nobody uses any more.
    pub fn unused(&self, now: u64) -> Vec<ConnectionId> {
        let over = |s: &Connection| if s.busy { ABANDONED_MS } else { self.idle_ms };
        let unused = self.taken.iter().filter(|(_, s)| now.saturating_sub(s.active) > over(s));
        unused.map(|(id, _)| *id).collect()
    }

    /// How many connections there are.
    pub fn len(&self) -> usize {
        self.taken.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.taken.is_empty()
    }
}
