//! The order of events within one millisecond.

/// The number of a handled event. It orders what happens within one millisecond: what an event brings comes before
/// whatever is sent while it is handled, and after all that was sent at earlier events.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct EventNumber(pub u64);
