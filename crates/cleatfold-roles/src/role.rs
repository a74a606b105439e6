//! Roles by name.

/// What one controller does for all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Role {
    /// Assigning pools to controllers and sending jobs to pools.
    PoolAssignment,
    /// Requests machines from the cloud.
    ScaleOut,
    /// Removing records that nothing refers to any more.
    GarbageCollection,
    /// Deciding what is done about overload that lasts.
    OverloadQuota,
}

const KEYS: [(Role, &str); 4] = [
    // The key of the time when one controller had all roles.
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

    /// The role that a key stands for.
    pub fn of_key(key: &str) -> Option<Role> {
        KEYS.iter().find(|k| k.1 == key).map(|k| k.0)
    }
}
