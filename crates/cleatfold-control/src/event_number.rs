//! Order of events within one millisecond.

/// Sequence number of a handled event. It orders actions that share a millisecond: an event comes
/// before everything that is sent while it is handled, and after everything that was sent while
/// earlier events were handled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct EventNumber(pub u64);
