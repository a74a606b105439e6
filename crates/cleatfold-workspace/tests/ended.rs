//! Ungrouped entries and groups against a simple list, for arbitrary orders of reads and writes.

use cleatfold_wire::job::{JobState, Urgency};
use cleatfold_wire::{ClassId, JobId, TeamId};
use cleatfold_workspace::{
    HistoryEntry, HistoryHead, HistoryRetention, JobEnd, Summary, UngroupedHistory,
    MAX_GROUP_ENTRIES, MAX_HEAD_LAG,
};
use proptest::prelude::*;

fn team() -> TeamId {
    TeamId::new("t")
}

fn end(version: u64, number: usize, team: &TeamId) -> JobEnd {
    let summary = Summary {
        class: ClassId::new("c"),
        urgency: Urgency::Normal,
        tasks: 1,
        accepted_ms: 1,
        begun_ms: None,
        ended_ms: 2,
        cpu_ms: 3,
    };
    let job = JobId::new(format!("run-{number:06}"));
    let entry = HistoryEntry::new(job, JobState::Done, 1, Some(summary), 0, [].into_iter());
    JobEnd { version, team: team.clone(), entry }
}

/// Archive records with increasing revisions. Some share a revision, some belong to another team.
fn archive(steps: &[(u64, bool)]) -> Vec<JobEnd> {
    let mut version = 1;
    let ends = steps.iter().enumerate().map(|(i, (step, ours))| {
        version += step;
        end(version, i, &if *ours { team() } else { TeamId::new("other") })
    });
    ends.collect()
}

fn between(all: &[JobEnd], from: u64, to: u64) -> Vec<JobEnd> {
    all.iter().filter(|e| e.version > from && e.version <= to).cloned().collect()
}

proptest! {
    /// Two owners alternate. Each reads the archive on its own: late, repeatedly and with gaps. A write succeeds
    /// only if it is based on the stored head.
    #[test]
    fn concurrent_owners_write_each_ended_job_once_in_order(
        steps in prop::collection::vec((0u64..40, prop::bool::weighted(0.7)), 1..400),
        moves in prop::collection::vec((0usize..2, 0u8..6, 0u64..4000), 1..120),
        bytes in 300usize..6000,
    ) {
        let all = archive(&steps);
        let last = all.last().map_or(0, |e| e.version);
        let ours: Vec<JobId> =
            all.iter().filter(|e| e.team == team()).map(|e| e.entry.job.clone()).collect();
        let mut controllers = [UngroupedHistory::default(), UngroupedHistory::default()];
        let mut heads = [HistoryHead::default(), HistoryHead::default()];
        let mut stored_head = HistoryHead::default();
        let mut written: Vec<JobId> = Vec::new();
        let mut now = 0;
        for (n, what, amount) in moves {
            now = (now + amount / 8).min(last);
            let ended = &mut controllers[n];
            let head = &mut heads[n];
            match what {
                // Continues reading, reads all changes since the head, or restarts from the current revision.
                0 => {
                    let from = ended.read_up_to().unwrap_or(now);
                    ended.add_revisions(from, now, between(&all, from, now));
                }
                1 => ended.add_revisions(head.upto.min(now), now, between(&all, head.upto.min(now), now)),
                2 if amount < 400 => ended.add_revisions(now, now, []),
                // Lists the whole archive.
                3 if ended.read_since().is_some() => {
                    let at = ended.read_up_to().unwrap_or_default();
                    let ends = between(&all, head.upto, now);
                    let ends = ends.into_iter().filter(|e| e.team == team()).collect();
                    ended.add_archive_listing(&team(), head.upto, at, ends);
                }
                // Reads the head.
                4 => {
                    *head = stored_head.clone();
                    ended.remove_grouped(&team(), head);
                }
                _ => {}
            }
            if !ended.covers(&team(), head) {
                continue;
            }
            if head.upto == stored_head.upto {
                // Every controller assigns the same numbers.
                for (number, entry) in ended.ungrouped(&team(), head) {
                    prop_assert_eq!(&entry.job, &ours[number as usize]);
                }
            }
            if let Some(piece) = ended.next_group(&team(), head, bytes) {
                prop_assert!(piece.entries.len() <= MAX_GROUP_ENTRIES + 40);
                prop_assert_eq!(piece.head.entries, head.entries + piece.entries.len() as u64);
                if *head == stored_head {
                    written.extend(piece.entries.into_iter().map(|e| e.job));
                    stored_head = piece.head.clone();
                    *head = piece.head;
                }
            }
            let expected: Vec<&JobId> = all
                .iter()
                .filter(|e| e.team == team() && e.version <= stored_head.upto)
                .map(|e| &e.entry.job)
                .collect();
            prop_assert_eq!(written.iter().collect::<Vec<_>>(), expected);
        }
    }
}

#[test]
fn lagging_head_is_updated_without_full_group() {
    let mut ended = UngroupedHistory::default();
    ended.add_revisions(0, MAX_HEAD_LAG - 1, []);
    let head = HistoryHead::default();
    assert_eq!(ended.next_group(&team(), &head, 16_384), None);
    ended.add_revisions(MAX_HEAD_LAG - 1, MAX_HEAD_LAG, [end(5, 1, &team())]);
    let piece = ended.next_group(&team(), &head, 16_384).expect("lags");
    assert!(piece.is_urgent && piece.entries.len() == 1 && piece.head.upto == MAX_HEAD_LAG);
}

#[test]
fn gap_in_revisions_drops_earlier_entries() {
    let mut ended = UngroupedHistory::default();
    ended.add_revisions(0, 10, [end(5, 1, &team())]);
    ended.add_revisions(20, 30, [end(25, 2, &team())]);
    assert!(!ended.covers(&team(), &HistoryHead { upto: 10, ..HistoryHead::default() }));
    assert!(ended.covers(&team(), &HistoryHead { upto: 20, ..HistoryHead::default() }));
    // A listing begun at 15 may miss jobs that ended between 15 and 20 with keys that it had already passed.
    assert!(!ended.add_archive_listing(&team(), 0, 15, vec![end(5, 1, &team())]));
    assert!(ended.add_archive_listing(&team(), 0, 22, vec![end(5, 1, &team())]));
    assert!(ended.covers(&team(), &HistoryHead::default()));
}

#[test]
fn retention_expires_whole_groups_from_the_oldest() {
    let retention = HistoryRetention { jobs: 100, days: 1.0 };
    let head = HistoryHead { first: 0, entries: 260, upto: 9 };
    let day = 86_400_000;
    let groups = [(0, 80, Some(10)), (80, 80, Some(20)), (160, 60, Some(day * 3)), (220, 40, None)];
    assert_eq!(retention.expired_groups(&head, &groups, day), (vec![0, 80], 160));
    // A group of unknown age is retained, and so are all groups after it.
    assert_eq!(retention.expired_groups(&head, &groups, day * 5), (vec![0, 80, 160], 220));
    let few = HistoryHead { entries: 120, ..head };
    assert_eq!(retention.expired_groups(&few, &groups[..1], day), (vec![], 0));
}
