//! The format version of the stored records.
//!
//! A controller that does not support the version could misread the records, so it writes nothing
//! and exits. The format marker is read before anything is written, a lease included. A store
//! without a marker is empty or was written by an early version that had none; it gets the marker
//! before any other write. The write of the marker is guarded by the marker's absence, and the
//! marker is never removed: two versions that start on an empty store at the same time cannot both
//! succeed, and a write that is executed late finds a marker and fails.

use crate::controller::{Controller, Pending};
use crate::effects::{CallPriority, Effect, StoreReply, StoreRequest};
use crate::store::format_check::FormatState;
use crate::store::records::FORMAT_KEY;
use cleatfold_wire::store::Txn;
use cleatfold_wire::Version;
use serde::{Deserialize, Serialize};

/// The supported version. It changes when an earlier program would misread the records of this one,
/// or this one those of an earlier program.
pub const FORMAT_VERSION: u64 = 1;

/// Pause before the marker is read again.
const RETRY_MS: u64 = 200;

/// The record of the format version.
#[derive(Debug, Serialize, Deserialize)]
struct Marker {
    version: u64,
}

impl Controller {
    /// At each tick: reads the format marker until the check is decided.
    pub(crate) fn check_format(&mut self) {
        if self.format_check.state == FormatState::Unread
            && self.now >= self.format_check.not_before
        {
            self.format_check.state = FormatState::Pending;
            self.call_store(
                CallPriority::Renewal,
                StoreRequest::Get(FORMAT_KEY.into()),
                Pending::Format,
            );
        }
    }

    pub(crate) fn on_format_read(&mut self, reply: StoreReply) {
        self.format_check.state = match reply {
            StoreReply::Item(item) => match serde_json::from_str::<Marker>(item.value.get()) {
                Ok(Marker { version: FORMAT_VERSION }) => FormatState::Supported,
                Ok(Marker { version }) => self.reject_format(&format!(
                    "the records of the state service have format version {version}, \
                     this program supports version {FORMAT_VERSION}"
                )),
                Err(error) => self.reject_format(&format!("{FORMAT_KEY} cannot be read: {error}")),
            },
            StoreReply::Missing => {
                let mut txn = Txn::default();
                txn.guard(FORMAT_KEY, Version(0));
                txn.put(FORMAT_KEY, &Marker { version: FORMAT_VERSION }, None);
                self.call_store(
                    CallPriority::Renewal,
                    StoreRequest::Txn(txn),
                    Pending::FormatWritten,
                );
                FormatState::Pending
            }
            _ => self.retry_format_check(),
        };
    }

    /// The format is this program's if the write is known to be durable; after any other reply the
    /// marker is read again.
    pub(crate) fn on_format_written(&mut self, reply: StoreReply) {
        self.format_check.state = match reply {
            StoreReply::Committed(_) => FormatState::Supported,
            _ => self.retry_format_check(),
        };
    }

    fn retry_format_check(&mut self) -> FormatState {
        self.format_check.not_before = self.now.plus(RETRY_MS);
        FormatState::Unread
    }

    fn reject_format(&mut self, reason: &str) -> FormatState {
        tracing::error!("{reason}");
        self.effects.push(Effect::Exit { reason: reason.into() });
        FormatState::Unsupported
    }
}
