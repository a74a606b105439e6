//! What controllers tell one another. All of it is hints: nothing a rule rests on.

use bitcode::{Decode, Encode};

/// When a pool promises to have finished some of a job's tasks, counted from the sending.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Promise {
    /// The job's id.
    pub job: String,
    /// (milliseconds from now, tasks), soonest first.
    pub finishes: Vec<(u64, u32)>,
}

/// What controllers tell one another.
///
/// The encoding goes by position: variants and fields stay in their order, new ones go last.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Message {
    /// The leader sends jobs to pools. Replaces what an earlier message said.
    Assign {
        /// Pools by name.
        pools: Vec<String>,
        /// Jobs, each with its pools by their numbers in `pools`.
        jobs: Vec<(String, Vec<u16>)>,
    },
    /// The promises of one owner's profile. Also tells who owns the pool under which token.
    Promises {
        /// The pool's name.
        pool: String,
        /// The owner's fencing token.
        token: u64,
        /// When it promises to finish what.
        promises: Vec<Promise>,
    },
    /// Which images an owner's machines hold, least recently used first. Whoever takes the
    /// pool over then still knows where a task need not wait for its image.
    Images {
        /// Machines, each with its images and their sizes in GB.
        machines: Vec<(String, Vec<(String, f64)>)>,
    },
    /// The sender lives.
    Heartbeat {
        /// How long ago it last read the state service, in milliseconds.
        contact_age_ms: u64,
    },
    /// Something was written that the others will want to read now.
    Changed,
    /// The cloud has just rented these: whoever owns their pool need not wait for the list.
    MachinesCreated {
        /// The pool's name.
        pool: String,
        /// Spot machines.
        spot: bool,
        /// The machines' names.
        machines: Vec<String>,
    },
    /// What the sender receives from each zone's workers.
    ZoneContact {
        /// Zones, each with how long ago any worker was heard of, in milliseconds, and whether the
        /// sender has asked them in vain since.
        zones: Vec<(String, u64, bool)>,
    },
    /// These jobs are cancelled: durably, and for ever.
    Cancelled {
        /// The jobs' ids.
        jobs: Vec<String>,
    },
    /// The sender knows that these are.
    CancelledAck {
        /// The jobs' ids.
        jobs: Vec<String>,
    },
}
