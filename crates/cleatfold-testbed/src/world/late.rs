//! Transactions of chosen kinds that get no answer and are carried out seconds later, after newer ones of the same
//! controller; and what of all that was ever written would show one that should have failed.

use super::{BTreeMap, BTreeSet, JobId, Ms, Rng, StoreReply, StoreRequest, Txn, Version, World};
use cleatfold_control::records::{self, HistoryGroup, Key, TaskTable};
use cleatfold_wire::store::Event as Written;

/// What a transaction is for, by what it writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Purpose {
    Enlist,
    AcquireRole,
    ReleaseRole,
    PoolAssignment,
    Submit,
    /// Claims, ends and cancellations in a job's own record.
    Record,
    /// The same in the record of a part.
    Part,
    Steps,
    Archive,
    Slice,
    Workspace,
    History,
    LossLog,
    ScaleOutIntents,
    Preemptions,
    Slots,
    Holders,
    OverloadQuota,
    CleanUp,
}

impl Purpose {
    pub const ALL: [Purpose; 19] = [
        Purpose::Enlist,
        Purpose::AcquireRole,
        Purpose::ReleaseRole,
        Purpose::PoolAssignment,
        Purpose::Submit,
        Purpose::Record,
        Purpose::Part,
        Purpose::Steps,
        Purpose::Archive,
        Purpose::Slice,
        Purpose::Workspace,
        Purpose::History,
        Purpose::LossLog,
        Purpose::ScaleOutIntents,
        Purpose::Preemptions,
        Purpose::Slots,
        Purpose::Holders,
        Purpose::OverloadQuota,
        Purpose::CleanUp,
    ];

    pub fn of(txn: &Txn) -> Option<Purpose> {
        let puts = || txn.changes.iter().filter_map(|c| c.put.as_deref());
        let guarded =
            |key: &str, version| txn.guards.iter().any(|g| g.key == key && g.version == version);
        if puts().any(|k| k.starts_with(records::ARCHIVE_PREFIX)) {
            return Some(Purpose::Archive);
        }
        let of_key = |key: &str| {
            Some(match records::parse_key(key)? {
                Key::Job(_) if guarded(key, Version(0)) => Purpose::Submit,
                Key::Job(_) => Purpose::Record,
                Key::Part(..) => Purpose::Part,
                Key::Progress(..) => Purpose::Steps,
                Key::Pool(_) => Purpose::PoolAssignment,
                Key::Controller(_) => Purpose::Enlist,
                Key::Slice(_) => Purpose::Slice,
                Key::LossHead(_) => Purpose::LossLog,
                Key::Workspace(_) => Purpose::Workspace,
                Key::History(_) => Purpose::History,
                Key::Preemption(_) => Purpose::Preemptions,
                Key::ImageHolders(_) => Purpose::Holders,
                Key::Role(_) => Purpose::AcquireRole,
                Key::ScaleOutIntents => Purpose::ScaleOutIntents,
                Key::OverloadQuota => Purpose::OverloadQuota,
                Key::Origin => Purpose::Slots,
            })
        };
        // A transaction of a job that writes steps or parts may write its record as well.
        let rank = |p: &Purpose| !matches!(p, Purpose::Steps | Purpose::Part);
        if let Some(purpose) = puts().filter_map(of_key).min_by_key(rank) {
            return Some(purpose);
        }
        let mut removed = txn.changes.iter().filter_map(|c| c.delete.as_deref());
        removed.find_map(|key| match records::parse_key(key)? {
            Key::Role(_) => Some(Purpose::ReleaseRole),
            Key::ImageHolders(_) => Some(Purpose::Holders),
            Key::Part(..) | Key::Progress(..) => Some(Purpose::CleanUp),
            _ => None,
        })
    }
}

pub(super) fn purpose(request: &StoreRequest) -> Option<Purpose> {
    let StoreRequest::Txn(txn) = request else { return None };
    Purpose::of(txn)
}

/// Which transactions get no answer and are late.
#[derive(Default)]
pub struct Late {
    pub kinds: BTreeSet<Purpose>,
    pub share: f64,
    pub until: Ms,
    /// The next transaction of this kind is kept instead: never answered, and carried out by the test.
    pub keep: Option<Purpose>,
    pub kept: Option<Txn>,
    /// How many were late, and how many of these were carried out all the same.
    pub late: BTreeMap<Purpose, (u32, u32)>,
    /// What was written so far, as the watcher has read it.
    pub audit: Audit,
}

impl Late {
    /// When the last of them has been carried out.
    pub(super) fn over(&self) -> Ms {
        match self.kinds.is_empty() {
            true => Ms(0),
            false => self.until.plus(LATE_MS.end),
        }
    }
}

const LATE_MS: std::ops::Range<u64> = 2_000..12_000;
/// Parts and steps of a job that is gone are removed within this time where somebody has the role of it.
const CLEAN_UP_MS: u64 = 30_000;
/// No client waits that long for an answer: what is so late is never answered.
const NEVER_MS: u64 = 1 << 40;

impl World {
    /// How much later than usual the request is carried out.
    pub(super) fn late_by(&mut self, request: &StoreRequest) -> u64 {
        let StoreRequest::Txn(txn) = request else { return 0 };
        let late = &mut self.late;
        if late.keep.is_none() && late.until <= self.now {
            return 0;
        }
        let Some(purpose) = Purpose::of(txn) else { return 0 };
        if late.keep == Some(purpose) {
            (late.keep, late.kept) = (None, Some(txn.clone()));
            return NEVER_MS;
        }
        let falls = late.until > self.now && late.kinds.contains(&purpose);
        if !falls || !self.rng.random_bool(late.share) {
            return 0;
        }
        late.late.entry(purpose).or_default().0 += 1;
        self.rng.random_range(LATE_MS)
    }

    pub(super) fn note_late(&mut self, purpose: Option<Purpose>, reply: &StoreReply) {
        if let (Some(purpose), StoreReply::Committed(_)) = (purpose, reply) {
            self.late.late.entry(purpose).or_default().1 += 1;
        }
    }

    /// From now on a share of the transactions of these kinds is late.
    pub fn writes_late(&mut self, kinds: impl IntoIterator<Item = Purpose>, share: f64, until: Ms) {
        self.late.kinds = kinds.into_iter().collect();
        (self.late.share, self.late.until) = (share, until);
    }

    /// Reads what was written since it last did, and says what should never have been.
    pub fn audit(&mut self) {
        let (now, audit) = (self.now, &mut self.late.audit);
        let changes = self.store.changes("", audit.read);
        audit.read = changes.revision;
        for event in &changes.events {
            audit.see(now, event);
        }
        for (key, since) in &audit.orphans {
            if now.since(*since) > CLEAN_UP_MS {
                audit.wrong.push(format!("{key} without its job since {since:?}"));
            }
        }
        let over = self.store.keys_of_expired_leases().map(|key| format!("{key} beyond its lease"));
        audit.wrong.extend(over);
        let wrong = std::mem::take(&mut audit.wrong);
        self.broken.extend(wrong.into_iter().map(|what| format!("{now:?} {what}")));
    }
}

/// A plain reading of all that was ever written.
#[derive(Default)]
pub struct Audit {
    read: Version,
    live: BTreeSet<JobId>,
    /// The revision that ended each job.
    archived: BTreeMap<JobId, Version>,
    /// Parts and steps, by job, with the number of claims in them; and since when they are without it.
    parts: BTreeMap<JobId, BTreeMap<String, usize>>,
    orphans: BTreeMap<String, Ms>,
    /// By team: entries of its history, and the last one's revision.
    histories: BTreeMap<String, (u64, Version)>,
    wrong: Vec<String>,
}

impl Audit {
    fn see(&mut self, now: Ms, event: &Written) {
        let Some(key) = event.put.as_ref().or(event.delete.as_ref()) else { return };
        let put = event.put.is_some();
        if let Some(job) = key.strip_prefix(records::ARCHIVE_PREFIX).map(JobId::new) {
            if !put || self.archived.insert(job, event.version).is_some() {
                self.wrong.push(format!("{key} written twice or removed"));
            }
        } else if let Some(group) = key.strip_prefix(records::HISTORY_LOG_PREFIX) {
            self.see_group(group, event);
        }
        match records::parse_key(key) {
            Some(Key::Job(job)) if put => {
                if self.archived.contains_key(&job) {
                    self.wrong.push(format!("{job} is live beside its archive"));
                }
                self.live.insert(job);
            }
            Some(Key::Job(job)) => {
                self.live.remove(&job);
                // The record of its end is part of the same change, before it.
                if self.archived.get(&job) != Some(&event.version) {
                    self.wrong.push(format!("{job} removed without its end"));
                }
                for (key, claims) in self.parts.remove(&job).unwrap_or_default() {
                    if claims > 0 {
                        self.wrong.push(format!("{job} ended with {claims} claims in {key}"));
                    }
                    self.orphans.insert(key, now);
                }
            }
            Some(Key::Part(job, _) | Key::Progress(job, _)) if put => {
                let value = event.value.as_ref().map_or("{}", |v| v.get());
                // Steps are no table; they hold no claims.
                let table: TaskTable = serde_json::from_str(value).unwrap_or_default();
                let claims = table.claims.iter().map(|g| g.tasks.len()).sum();
                if self.live.contains(&job) {
                    self.parts.entry(job).or_default().insert(key.clone(), claims);
                } else {
                    self.wrong.push(format!("{key} written without its job"));
                }
            }
            Some(Key::Part(job, _) | Key::Progress(job, _)) => {
                self.orphans.remove(key);
                self.parts.get_mut(&job).map(|parts| parts.remove(key));
            }
            // What is guarded by its absence once is never absent again.
            Some(
                Key::Pool(_)
                | Key::Slice(_)
                | Key::LossHead(_)
                | Key::Workspace(_)
                | Key::History(_)
                | Key::Preemption(_)
                | Key::ScaleOutIntents
                | Key::OverloadQuota
                | Key::Origin,
            ) if !put => self.wrong.push(format!("{key} removed")),
            _ => {}
        }
    }

    fn see_group(&mut self, group: &str, event: &Written) {
        let (Some((team, number)), Some(value)) = (group.rsplit_once('/'), &event.value) else {
            return;
        };
        let group: HistoryGroup = serde_json::from_str(value.get()).expect("a group");
        let (written, last) = self.histories.entry(team.to_string()).or_default();
        if number.parse() != Ok(*written) {
            self.wrong.push(format!("{team}: group {number} after {written} entries"));
        }
        for entry in &group.entries {
            let ended = self.archived.get(&entry.job).copied().unwrap_or_default();
            if ended <= *last {
                self.wrong.push(format!("{team}: {} out of order or twice", entry.job));
            }
            (*written, *last) = (*written + 1, ended);
        }
    }
}
