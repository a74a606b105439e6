//! The roles and their keys in the state service.

/// A task that exactly one controller performs for all of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Role {
    /// Assigning pools to controllers and sending jobs to pools.
    PoolAssignment,
    /// Requesting machines from the cloud.
    ScaleOut,
    /// Removing records that are no longer referenced.
    GarbageCollection,
    /// Deciding the overload quota.
    OverloadQuota,
}

const KEYS: [(Role, &str); 4] = [
    // This key dates from when one controller held all roles.
    (Role::PoolAssignment, "cf/leader"),
    (Role::ScaleOut, "cf/duty/rent"),
    (Role::GarbageCollection, "cf/duty/tidy"),
    (Role::OverloadQuota, "cf/duty/allot"),
];

impl Role {
    /// All roles.
    pub const ALL: [Role; 4] =
        [Role::PoolAssignment, Role::ScaleOut, Role::GarbageCollection, Role::OverloadQuota];

    /// The role's key in the state service.
    pub fn key(self) -> &'static str {
        KEYS[self as usize].1
    }

    /// The role with this key.
    pub fn from_key(key: &str) -> Option<Role> {
        KEYS.iter().find(|k| k.1 == key).map(|k| k.0)
    }
}
