//! The other controllers and the workers: messages from peers, and who can talk to whom.

mod messages;
mod reachability;
pub(crate) mod state;
