//! State of the cancellation broadcast.

use cleatfold_cancellation_broadcast::CancellationBroadcast;
use cleatfold_wire::Ms;

/// Cancellations that are sent to the peers until each peer has acknowledged them.
#[derive(Debug, Default)]
pub(crate) struct Cancellations {
    pub broadcast: CancellationBroadcast,
    /// When unacknowledged cancellations were last checked for being due again.
    pub last_checked: Ms,
}
