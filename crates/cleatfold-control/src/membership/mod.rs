//! Messages from the other controllers, and reachability between controllers and workers.

mod messages;
mod reachability;
pub(crate) mod state;
