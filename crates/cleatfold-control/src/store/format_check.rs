//! The state of the check that this program supports the format of the stored records.

use cleatfold_wire::Ms;

/// Progress of the format check.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) enum FormatState {
    /// The format marker has not been read.
    #[default]
    Unread,
    /// A read or a write of the marker is in flight.
    Pending,
    /// The format is supported; all other work may begin.
    Supported,
    /// The format is not supported, and the program exits.
    Unsupported,
}

/// The check of the record format, which precedes all other use of the state service.
#[derive(Debug, Default)]
pub(crate) struct FormatCheck {
    pub state: FormatState,
    /// Earliest time of the next attempt.
    pub not_before: Ms,
}

impl FormatCheck {
    /// Whether this program may read and write the records.
    pub(crate) fn is_supported(&self) -> bool {
        self.state == FormatState::Supported
    }
}
