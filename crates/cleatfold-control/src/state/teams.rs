//! What teams have asked of their workspaces and is not answered yet.

use crate::effects::TeamAsk;
use crate::event_number::EventNumber;
use cleatfold_wire::*;
use std::collections::BTreeMap;

/// A team's question that waits for a reading.
#[derive(Debug)]
pub(crate) struct Question {
    pub rid: u64,
    pub team: TeamId,
    pub what: TeamAsk,
    pub since: u64,
    pub arrived: Ms,
    /// The event that brought it.
    pub arrived_at: EventNumber,
    /// What must have been read of the archive: all that had ended by the reading that counts for it.
    pub upto: Option<u64>,
}

/// The teams' questions, and the order of the queue that answers them.
#[derive(Default)]
pub(crate) struct Teams {
    pub waiting: Vec<Question>,
    /// Which of its team's jobs is the how-manyeth in the queue's order, and when that was so.
    pub ranks: (Ms, BTreeMap<JobId, u32>),
}

/// A history that is being read.
#[derive(Debug)]
pub(crate) struct Turning {
    pub rid: u64,
    pub team: TeamId,
    pub since: u64,
    /// How many entries were in groups when the reading was sent.
    pub entries: u64,
}
