//! Duties by name.

/// What one controller does for all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Duty {
    /// Dealing pools to controllers and sending jobs to pools.
    Deal,
    /// Renting machines.
    Rent,
    /// Removing what nothing refers to any more.
    Tidy,
    /// Deciding what is done about overload that lasts.
    Allot,
}

const KEYS: [(Duty, &str); 4] = [
    // The name that the whole of them had when one controller had them all.
    (Duty::Deal, "cf/leader"),
    (Duty::Rent, "cf/duty/rent"),
    (Duty::Tidy, "cf/duty/tidy"),
    (Duty::Allot, "cf/duty/allot"),
];

impl Duty {
    pub const ALL: [Duty; 4] = [Duty::Deal, Duty::Rent, Duty::Tidy, Duty::Allot];

    pub fn key(self) -> &'static str {
        KEYS[self as usize].1
    }

    pub fn of_key(key: &str) -> Option<Duty> {
        KEYS.iter().find(|k| k.1 == key).map(|k| k.0)
    }
}
