//! How far it is known that the records are in a version that this program reads.

use cleatfold_wire::Ms;

/// What is known of the version of the records.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) enum Format {
    #[default]
    Unread,
    Asked,
    /// Ours; all else may begin.
    Known,
    /// Not ours.
    Refused,
}

/// The check of the records' version, which comes before everything else.
#[derive(Debug, Default)]
pub(crate) struct FormatCheck {
    pub state: Format,
    /// Not to be asked again before.
    pub not_before: Ms,
}

impl FormatCheck {
    /// The records are ours to read and write.
    pub(crate) fn is_known(&self) -> bool {
        self.state == Format::Known
    }
}
