//! What controllers tell one another. All of it is hints: nothing a rule rests on.

use bitcode::{Decode, Encode};

/// When a pool promises to have finished some of a job's tasks, counted from the sending.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Promise {
    pub job: String,
    /// (milliseconds from now, tasks), soonest first.
    pub finishes: Vec<(u64, u32)>,
}

#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Message {
    /// The leader sends jobs to pools. Replaces what an earlier message said.
    Assign { pools: Vec<String>, jobs: Vec<(String, Vec<u16>)> },
    /// The promises of one owner's chart. Also tells who holds the pool under which token.
    Promises { pool: String, token: u64, promises: Vec<Promise> },
    /// Which images an owner's machines hold, least recently used first. Whoever takes the
    /// pool over then still knows where a task need not wait for its image.
    Images { machines: Vec<(String, Vec<(String, f64)>)> },
    /// How long ago the sender last read the state service.
    Alive { contact_age_ms: u64 },
    /// Something was written that the others will want to read now.
    Changed,
    /// The cloud has just rented these: whoever owns their pool need not wait for the list.
    Rented { pool: String, spot: bool, machines: Vec<String> },
    /// By zone: how long ago the sender heard of any of its workers, and whether it has asked them in
    /// vain since.
    ZoneContact { zones: Vec<(String, u64, bool)> },
    /// These jobs are cancelled: durably, and for ever.
    Cancelled { jobs: Vec<String> },
    /// The sender knows that these are.
    CancelledAck { jobs: Vec<String> },
}
