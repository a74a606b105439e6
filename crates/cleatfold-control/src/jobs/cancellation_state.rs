//! Cancellations that are being told to the peers, until each has acknowledged them.

use cleatfold_cancellation_broadcast::CancellationBroadcast;
use cleatfold_wire::Ms;

/// A controller's part in the broadcast of cancellations.
#[derive(Debug, Default)]
pub(crate) struct Cancellations {
    pub broadcast: CancellationBroadcast,
    /// When it was last looked what has to be told again.
    pub last_checked: Ms,
}
