//! Messages between controllers. They are only hints: no invariant depends on them.

use bitcode::{Decode, Encode};

/// Predicted finish times of a job's tasks in a pool, relative to the time of sending.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Promise {
    /// The job's id.
    pub job: String,
    /// (milliseconds from now, tasks), soonest first.
    pub finishes: Vec<(u64, u32)>,
}

/// A message from one controller to another.
///
/// The encoding is positional: variants and fields keep their order, and new ones are appended.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Message {
    /// The leader assigns jobs to pools. Replaces earlier assignments.
    Assign {
        /// Pools by name.
        pools: Vec<String>,
        /// Jobs, each with its pools by their numbers in `pools`.
        jobs: Vec<(String, Vec<u16>)>,
    },
    /// The promises of a pool owner. Also announces the owner and its fencing token.
    Promises {
        /// The pool's name.
        pool: String,
        /// The owner's fencing token.
        token: u64,
        /// Predicted finish times by job.
        promises: Vec<Promise>,
    },
    /// The images on a pool owner's machines, least recently used first. After a failover, the next owner
    /// knows from it on which machines a task does not have to wait for its image.
    Images {
        /// Machines, each with its images and their sizes in GB.
        machines: Vec<(String, Vec<(String, f64)>)>,
    },
    /// The sender is running.
    Heartbeat {
        /// How long ago it last read the state service, in milliseconds.
        contact_age_ms: u64,
    },
    /// The sender wrote a change that the other controllers should read now.
    Changed,
    /// The cloud has just created these machines, so that their pool's owner does not have to wait for the list.
    MachinesCreated {
        /// The pool's name.
        pool: String,
        /// Spot machines.
        spot: bool,
        /// The machines' names.
        machines: Vec<String>,
    },
    /// When the sender last received a report from each zone's workers.
    ZoneContact {
        /// Zones, each with the time since the last report of any worker, in milliseconds, and whether the
        /// sender's requests to them have failed since.
        zones: Vec<(String, u64, bool)>,
    },
    /// These jobs are cancelled, durably and permanently.
    Cancelled {
        /// The jobs' ids.
        jobs: Vec<String>,
    },
    /// The sender has recorded that these jobs are cancelled.
    CancelledAck {
        /// The jobs' ids.
        jobs: Vec<String>,
    },
}
