//! Which version of the records the state service holds.
//!
//! A controller that does not know the version may misread what it finds, so it changes nothing and ends. The marker is
//! read before anything is written, a lease included; a store without one is ours or an earlier version's, which had
//! none, and gets it before it gets anything else. Guarded by its absence, and never removed: two versions that start on
//! an empty store at the same time can't both succeed, and one that is executed late meets its own or another's.

use crate::controller::{Controller, Pending};
use crate::effects::{CallPriority, Effect, StoreReply, StoreRequest};
use crate::store::format_check::Format;
use crate::store::records::FORMAT_KEY;
use cleatfold_wire::store::Txn;
use cleatfold_wire::Version;
use serde::{Deserialize, Serialize};

/// Changes when an earlier version would misread what we write, or we what it wrote.
pub const FORMAT: u64 = 1;

const AGAIN_MS: u64 = 200;

#[derive(Debug, Serialize, Deserialize)]
struct Marker {
    version: u64,
}

impl Controller {
    pub(crate) fn keep_format(&mut self) {
        if self.format_check.state == Format::Unread && self.now >= self.format_check.not_before {
            self.format_check.state = Format::Asked;
            self.store(
                CallPriority::Renewal,
                StoreRequest::Get(FORMAT_KEY.into()),
                Pending::Format,
            );
        }
    }

    pub(crate) fn on_format(&mut self, reply: StoreReply) {
        self.format_check.state = match reply {
            StoreReply::Item(item) => match serde_json::from_str::<Marker>(item.value.get()) {
                Ok(Marker { version: FORMAT }) => Format::Known,
                Ok(Marker { version }) => self.refuse_format(&format!(
                    "the records of the state service are of version {version}, this program knows version {FORMAT}"
                )),
                Err(error) => self.refuse_format(&format!("{FORMAT_KEY} cannot be read: {error}")),
            },
            StoreReply::Missing => {
                let mut txn = Txn::default();
                txn.guard(FORMAT_KEY, Version(0));
                txn.put(FORMAT_KEY, &Marker { version: FORMAT }, None);
                self.store(CallPriority::Renewal, StoreRequest::Txn(txn), Pending::FormatWritten);
                Format::Asked
            }
            _ => self.ask_format_again(),
        };
    }

    /// Ours if the change is known to be durable; whatever else came of it, what stands there is read.
    pub(crate) fn on_format_written(&mut self, reply: StoreReply) {
        self.format_check.state = match reply {
            StoreReply::Committed(_) => Format::Known,
            _ => self.ask_format_again(),
        };
    }

    fn ask_format_again(&mut self) -> Format {
        self.format_check.not_before = self.now.plus(AGAIN_MS);
        Format::Unread
    }

    fn refuse_format(&mut self, why: &str) -> Format {
        tracing::error!("{why}");
        self.out.push(Effect::Refuse { why: why.into() });
        Format::Refused
    }
}
