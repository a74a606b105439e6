//! Ids, versions and times, each a type of its own so that they cannot be mixed up.

use crate::name::Name;
use serde::de::Visitor;
use serde::{Deserialize, Serialize};
use std::fmt;

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Name);

        impl $name {
            /// Creates a name from its text.
            pub fn new(text: impl AsRef<str>) -> Self {
                Self(Name::new(text.as_ref()))
            }
            /// The text of the name.
            pub fn as_str(&self) -> &str {
                self.0.as_str()
            }
        }
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }
        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }
        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }
    };
}

name_type!(
    /// A job's id, chosen by its user.
    JobId
);
name_type!(
    /// A machine's name.
    MachineId
);
name_type!(
    /// A controller's name.
    ControllerId
);
name_type!(
    /// A machine type's name.
    TypeId
);
name_type!(
    /// A zone's name.
    ZoneId
);
name_type!(
    /// A team's name.
    TeamId
);
name_type!(
    /// An image's name.
    ImageId
);
name_type!(
    /// A class of jobs, for which objectives are set.
    ClassId
);

/// One machine type in one zone: the unit that is assigned to controllers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PoolId {
    /// The machine type.
    pub machine_type: TypeId,
    /// The zone.
    pub zone: ZoneId,
}

impl PoolId {
    /// Parses the displayed form `TYPE/ZONE`.
    pub fn parse(text: &str) -> Option<Self> {
        let (machine_type, zone) = text.split_once('/')?;
        Some(Self { machine_type: TypeId::new(machine_type), zone: ZoneId::new(zone) })
    }
}

impl fmt::Display for PoolId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.machine_type, self.zone)
    }
}

impl Serialize for PoolId {
    fn serialize<S: serde::Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for PoolId {
    fn deserialize<D: serde::Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        struct Text;
        impl Visitor<'_> for Text {
            type Value = PoolId;
            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a pool, TYPE/ZONE")
            }
            fn visit_str<E: serde::de::Error>(self, text: &str) -> Result<PoolId, E> {
                PoolId::parse(text).ok_or_else(|| E::custom("a pool is TYPE/ZONE"))
            }
        }
        d.deserialize_str(Text)
    }
}

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
            bitcode::Encode, bitcode::Decode,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    };
}

number_type!(
    /// The revision of the last change to a key of the state service (0: no such key), or of
    /// the whole store.
    Version(u64)
);
number_type!(
    /// Proves the right to command a worker: the version of its pool's key.
    FencingToken(u64)
);
number_type!(
    /// The number of a task's start. Only increases.
    Attempt(u64)
);
number_type!(
    /// The number of a worker's session. Increases when its lease expires.
    AgentEpoch(u64)
);
number_type!(
    /// Orders the messages of one worker session.
    Seq(u64)
);
number_type!(
    /// A task's number within its job.
    TaskIx(u32)
);
number_type!(
    /// A lease of the state service.
    LeaseId(u64)
);

/// A point in time of this process's monotonic clock, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ms(pub u64);

impl Ms {
    /// The point this many seconds later.
    pub fn plus_s(self, seconds: f64) -> Ms {
        Ms(self.0 + (seconds.max(0.0) * 1000.0) as u64)
    }
    /// The point this many milliseconds later.
    pub fn plus(self, ms: u64) -> Ms {
        Ms(self.0 + ms)
    }
    /// Milliseconds from `earlier` to this point, 0 if `earlier` is later.
    pub fn since(self, earlier: Ms) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// A task of a job, spelled `run-000412/3` on the wire.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// The task's number within its job.
    pub ix: TaskIx,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.ix)
    }
}

impl Serialize for TaskId {
    fn serialize<S: serde::Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for TaskId {
    fn deserialize<D: serde::Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        struct Text;
        impl Visitor<'_> for Text {
            type Value = TaskId;
            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a task, JOB/NUMBER")
            }
            fn visit_str<E: serde::de::Error>(self, text: &str) -> Result<TaskId, E> {
                text.rsplit_once('/')
                    .and_then(|(job, ix)| {
                        Some(TaskId { job: JobId::new(job), ix: TaskIx(ix.parse().ok()?) })
                    })
                    .ok_or_else(|| E::custom("a task is JOB/NUMBER"))
            }
        }
        d.deserialize_str(Text)
    }
}
